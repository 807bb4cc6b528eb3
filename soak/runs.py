"""Runs a single soak and checks its results."""

import asyncio
from collections import Counter
from pathlib import Path
from random import Random

from attrs import field, frozen

from cherrylane.errors import PlatformError
from soak.callers import Callers, RequestKind
from soak.checks import Observations, find_violations
from soak.faults import FaultInjector, draw_faults
from soak.fleet import SERVICES, VERSION_INTERVAL_S, SoakFleet, SoakHost
from soak.silences import Silences
from soak.upstreams import SOFTWARE, SoakUpstream

UPSTREAMS = 6
# All hosts must serve again within this time after the last fault; enough for a busy machine.
RECOVERY_TIMEOUT_S = 30.0
# Number of consecutive successes after which a host counts as recovered.
RECOVERY_SUCCESSES = 5
POLL_INTERVAL_S = 0.1


def choose_software(seed: int, number: int) -> str:
    """Return the version of an upstream.

    Each service has one version twice and another once, or for even seeds only one version, until
    an upstream of the other one joins.
    """
    return SOFTWARE[number // len(SERVICES) % len(SOFTWARE)] if seed % 2 else SOFTWARE[0]


@frozen
class SoakOptions:
    """Parameters of a soak; ``seconds`` is the duration of fault injection."""

    seed: int
    seconds: float
    hosts: int
    callers: int


@frozen
class SoakReport:
    """Summary of a soak, and the violations that it found."""

    summary: str
    violations: list[str] = field(factory=list)


async def run_soak(options: SoakOptions, work_dir: Path) -> SoakReport:
    """Run a soak, with its files in ``work_dir``, and check the guarantees."""
    random = Random(options.seed)
    faults = draw_faults(random, options.seconds)
    fleet = SoakFleet(work_dir)
    silences = Silences(options.seed)
    upstreams = [
        await SoakUpstream(
            f"i-{number}",
            Random(options.seed + number),
            silences,
            choose_software(options.seed, number),
            options.seed,
        ).open()
        for number in range(UPSTREAMS)
    ]
    own_random = Random(f"long and repeated requests {options.seed}")
    callers = Callers(fleet, Random(options.seed), own_random=own_random)
    injector = FaultInjector(fleet)
    delays = [0.0]
    try:
        await fleet.start(options.hosts, upstreams)
        unrecovered = await _wait_until_serving(fleet, callers)
        writer = asyncio.create_task(_write_configurations(fleet))
        watcher = asyncio.create_task(_watch_processes(fleet, delays))
        until = asyncio.get_running_loop().time() + options.seconds
        caller_loops = [callers.run(until) for _ in range(options.callers)]
        caller_loops.append(callers.send_long_requests(until))
        await asyncio.gather(injector.run(faults), *caller_loops)
        writer.cancel()
        unrecovered += await _wait_until_serving(fleet, callers)
        watcher.cancel()
    finally:
        await asyncio.to_thread(fleet.stop)
    executions = sum((item.executions for item in upstreams), Counter[str]())
    observed = Observations(
        callers.history,
        executions,
        [arrival for item in upstreams for arrival in item.arrivals],
        injector.stops,
        {host.name: host.exits for host in fleet.hosts},
        unrecovered,
        upstreams,
        list(silences.by_request.values()),
        injector.disturbances,
    )
    statuses = Counter(item.response.status for item in callers.history)
    status_counts = ", ".join(f"{status or 'none'}: {n}" for status, n in sorted(statuses.items()))
    odd = sum(len(item.odd_answers) for item in upstreams)
    summary = (
        f"{len(faults)} faults, {len(observed.silences)} silences, {odd} odd answers, "
        f"responses by status: {status_counts}, the soak was up to {max(delays):.2f} s late"
    )
    return SoakReport(summary, find_violations(observed))


async def _write_configurations(fleet: SoakFleet) -> None:
    while True:
        await asyncio.sleep(VERSION_INTERVAL_S)
        try:
            await fleet.write_configuration()
        except PlatformError:
            # The store is unavailable. The next iteration writes the same version again, whether or
            # not this write took effect.
            continue


async def _watch_processes(fleet: SoakFleet, delays: list[float]) -> None:
    """Record ends of processes, and by how many seconds the loop of the soak itself is late."""
    loop = asyncio.get_running_loop()
    while True:
        for host in fleet.hosts:
            host.record_unexpected_end()
        due_at = loop.time() + POLL_INTERVAL_S
        await asyncio.sleep(POLL_INTERVAL_S)
        delays.append(loop.time() - due_at)


async def _wait_until_serving(fleet: SoakFleet, callers: Callers) -> list[str]:
    """Wait for all hosts, and return those that do not serve all kinds of requests in time."""
    served = await asyncio.gather(*(_wait_until_host_serves(host, callers) for host in fleet.hosts))
    return [host.name for host, recovered in zip(fleet.hosts, served, strict=True) if not recovered]


async def _wait_until_host_serves(host: SoakHost, callers: Callers) -> bool:
    deadline = asyncio.get_running_loop().time() + RECOVERY_TIMEOUT_S
    successes = 0
    while asyncio.get_running_loop().time() < deadline:
        kinds = list(RequestKind)
        exchange = await callers.send_once(host, kinds[successes % len(kinds)])
        successes = (
            successes + 1 if exchange.response.status == 200 and exchange.response.complete else 0
        )
        if successes >= RECOVERY_SUCCESSES:
            return True
        if not successes:
            await asyncio.sleep(POLL_INTERVAL_S)
    return False
