"""Entries with which upstreams register in the platform's store."""

from typing import Any

from cherrylane.errors import DECODING_ERRORS, SettingsError
from cherrylane.fields import read_count, read_endpoint, read_name, show
from cherrylane.platform.partial import Unreadable
from cherrylane.routing.upstreams import Upstream, UpstreamState

UPSTREAM_KIND = "servers"
STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}
STATE_NAMES = {state: name for name, state in STATES.items()}
# Most requests that an upstream processes concurrently.
MAX_SLOTS = 1_000_000
MS_PER_S = 1000
REMEDY = "correct the entry; it is ignored until then"


def decode_upstream(name: str, entry: Any) -> Upstream:
    """Decode one entry; raises :class:`SettingsError` if it is invalid."""
    try:
        if not isinstance(entry, dict):
            raise TypeError(entry.reason if isinstance(entry, Unreadable) else show(entry))
        return Upstream(
            name=read_name(name),
            service=read_name(entry["service"]),
            endpoint=read_endpoint(entry["address"]),
            zone=read_name(entry["zone"]),
            slots=read_count(entry["slots"], most=MAX_SLOTS),
            state=STATES[entry["state"]],
            # Start time of the upstream, in Unix milliseconds.
            incarnation=read_count(entry.get("born", 0)),
            software=read_name(entry["version"]),
            slow_start_s=read_count(entry.get("cold_remaining_ms", 0)) / MS_PER_S,
            is_slow_start_known="cold_remaining_ms" in entry,
        )
    except DECODING_ERRORS as error:
        raise SettingsError(
            f"invalid entry of upstream {show(name)} ({type(error).__name__}: {error})"[:500],
            remedy=REMEDY,
        ) from error


def encode_upstream(upstream: Upstream) -> dict[str, Any]:
    """Return the entry of an upstream, with the fields that are read and no others."""
    return {
        "service": upstream.service,
        "address": str(upstream.endpoint),
        "zone": upstream.zone,
        "version": upstream.software,
        "slots": upstream.slots,
        "state": STATE_NAMES[upstream.state],
        "cold_remaining_ms": round(upstream.slow_start_s * MS_PER_S),
        "born": upstream.incarnation,
    }
