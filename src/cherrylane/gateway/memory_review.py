"""The memory account of a gateway process: its size, its regular review and its metrics."""

import asyncio
from functools import partial
from os import sysconf
from pathlib import Path

from cherrylane.http.memory import SHARE_OF_MEMORY, SHARE_OF_REST, Held, MemoryAccount
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.telemetry.counters import Telemetry

# Seconds between measurements of the callers that are behind.
REVIEW_INTERVAL_S = 0.25
STATM = Path("/proc/self/statm")


def make_account(settings: GatewaySettings) -> MemoryAccount:
    """Return the account of this process, by the memory that it has not taken when it starts."""
    rest = settings.memory_bytes - measure_resident_bytes()
    limit = max(settings.memory_bytes * SHARE_OF_MEMORY, rest * SHARE_OF_REST)
    return MemoryAccount(int(limit))


def measure_resident_bytes() -> int:
    """Return the resident memory of this process, 0 if the system does not tell."""
    try:
        resident_pages = int(STATM.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * sysconf("SC_PAGE_SIZE")


async def review_account(account: MemoryAccount) -> None:
    """Review an account for as long as the process runs."""
    while True:
        await asyncio.sleep(REVIEW_INTERVAL_S)
        account.review()


def add_memory_gauges(telemetry: Telemetry, account: MemoryAccount) -> None:
    """Add a gauge of the account's limit, and one of what is held of each kind."""
    telemetry.add_gauge("memory_limit_bytes", lambda: account.limit_bytes)
    for kind in Held:
        name = f"memory_{kind.name.lower()}_bytes"
        telemetry.add_gauge(name, partial(account.held_by_kind.__getitem__, kind))
