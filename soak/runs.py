"""One soak from its start to its verdict."""

import asyncio
from collections import Counter
from pathlib import Path
from random import Random

from attrs import field, frozen

from cherrylane.errors import PlatformError
from soak.callers import Callers, Kind
from soak.checks import Observed, find_breaches
from soak.faults import Injector, draw_faults
from soak.fleet import VERSION_INTERVAL_S, SoakFleet, SoakHost
from soak.upstreams import SoakUpstream

UPSTREAMS = 6
# Seconds after the last fault within which every host serves again, on a busy machine too.
RECOVERY_S = 30.0
# Requests in a row that a host has to serve to count as recovered.
RECOVERED_AFTER = 5
POLL_S = 0.1


@frozen
class SoakOptions:
    """What to run."""

    seed: int
    seconds: float
    hosts: int
    callers: int


@frozen
class SoakReport:
    """What a soak found."""

    summary: str
    breaches: list[str] = field(factory=list)


async def run_soak(options: SoakOptions, folder: Path) -> SoakReport:
    """Run one soak and check the promises."""
    random = Random(options.seed)
    faults = draw_faults(random, options.seconds)
    fleet = SoakFleet(folder)
    upstreams = [
        await SoakUpstream(f"i-{number}", Random(options.seed + number)).open()
        for number in range(UPSTREAMS)
    ]
    callers = Callers(fleet, Random(options.seed))
    injector = Injector(fleet)
    try:
        await fleet.start(options.hosts, upstreams)
        unserved = await _wait_until_served(fleet, callers)
        operator = asyncio.create_task(_write_configurations(fleet))
        watching = asyncio.create_task(_watch_processes(fleet))
        until = asyncio.get_running_loop().time() + options.seconds
        load = [callers.run(until) for _ in range(options.callers)]
        await asyncio.gather(injector.run(faults), *load)
        operator.cancel()
        unserved += await _wait_until_served(fleet, callers)
        watching.cancel()
    finally:
        await asyncio.to_thread(fleet.stop)
    runs = sum((one.runs for one in upstreams), Counter[str]())
    observed = Observed(
        callers.history,
        runs,
        [arrival for one in upstreams for arrival in one.arrivals],
        injector.stops,
        {host.name: host.exits for host in fleet.hosts},
        unserved,
    )
    statuses = Counter(one.answer.status for one in callers.history)
    counted = ", ".join(f"{status or 'none'}: {n}" for status, n in sorted(statuses.items()))
    return SoakReport(f"{len(faults)} faults, answers {counted}", find_breaches(observed))


async def _write_configurations(fleet: SoakFleet) -> None:
    while True:
        await asyncio.sleep(VERSION_INTERVAL_S)
        try:
            await fleet.write_configuration()
        except PlatformError:
            # The store is away; whether the write took effect is found out by the next one.
            continue


async def _watch_processes(fleet: SoakFleet) -> None:
    while True:
        for host in fleet.hosts:
            host.note_end()
        await asyncio.sleep(POLL_S)


async def _wait_until_served(fleet: SoakFleet, callers: Callers) -> list[str]:
    """Return the hosts that do not serve every kind of request in time."""
    served = await asyncio.gather(*(_is_served(host, callers) for host in fleet.hosts))
    return [host.name for host, ok in zip(fleet.hosts, served, strict=True) if not ok]


async def _is_served(host: SoakHost, callers: Callers) -> bool:
    deadline = asyncio.get_running_loop().time() + RECOVERY_S
    in_a_row = 0
    while asyncio.get_running_loop().time() < deadline:
        kinds = list(Kind)
        exchange = await callers.ask_once(host, kinds[in_a_row % len(kinds)])
        in_a_row = in_a_row + 1 if exchange.answer.status == 200 and exchange.answer.whole else 0
        if in_a_row >= RECOVERED_AFTER:
            return True
        if not in_a_row:
            await asyncio.sleep(POLL_S)
    return False
