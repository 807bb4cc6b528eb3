"""Random faults of a soak, drawn from its seed; they overlap, and each is reverted at its end."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from random import Random

from attrs import define, field, frozen
from logbook import Logger

from soak.checks import DRAIN_S
from soak.disturbances import Disturbance
from soak.fleet import SERVICES, SoakFleet, SoakHost
from soak.upstreams import SOFTWARE, Behaviour, NamedLimit, SoakUpstream
from standins.links import LinkState
from tests.odd_entries import ODD_ENTRIES

# Ranges of the time between the starts of two faults and of a fault's duration; about three
# overlap.
FAULT_INTERVAL_S = (0.2, 1.2)
FAULT_DURATION_S = (0.3, 3.0)
# Share of its requests on which a faulty upstream misbehaves.
FAULTY_SHARE = 0.4
# Delay of each call to a slow store.
SLOW_STORE_DELAY_S = 0.4
# The limits in requests a second that upstreams name, and the seconds for which they do at least.
LIMITS = (0.5, 2.0, 5.0)
MIN_LIMIT_S = 7.0
# Most upstreams, with those that join.
MAX_UPSTREAMS = 10
# Of all odd entries, one in so many is left at once.
ODD_ENTRIES_STEP = 3
# Most writes that a restored store has lost.
MAX_LOST_WRITES = 8

log = Logger("soak")


class FaultKind(Enum):
    """The kind of a fault."""

    HOST_KILLED = "host killed"
    HOST_FROZEN = "host frozen"
    HOST_STOPPED = "host stopped"
    HOST_RELOADED = "host reloaded"
    ALL_KILLED = "all hosts killed"
    STORE_LINK = "link to the store"
    UPSTREAM_LINK = "link to an upstream"
    UPSTREAM_BEHAVIOUR = "upstream misbehaves"
    STORE_UNAVAILABLE = "store unavailable"
    STORE_SLOW = "store slow"
    STORE_REFUSES = "store refuses calls"
    STORE_COMPACTED = "store compacts its history"
    STORE_RESTORED = "store comes back from an older copy"
    UPSTREAM_LEAVES = "upstream says that it leaves"
    UPSTREAM_LIMITED = "upstream names a request limit"
    UPSTREAM_RELEASED = "upstream of the newest version joins"
    ODD_ENTRIES = "another writer leaves odd entries"


# Relative frequency of each kind. Killing all hosts is rare, because little else is tested then.
WEIGHTS = {kind: 1.0 for kind in FaultKind} | {
    FaultKind.ALL_KILLED: 0.3,
    FaultKind.UPSTREAM_LINK: 2.0,
    FaultKind.UPSTREAM_BEHAVIOUR: 2.0,
}


@frozen
class Fault:
    """One fault; ``at`` is in seconds from the start of the soak.

    ``target`` selects what is affected and ``variant`` the form of the fault, both modulo the
    number of choices.
    """

    at: float
    duration_s: float
    kind: FaultKind
    target: int
    variant: int


def draw_faults(random: Random, seconds: float) -> list[Fault]:
    """Draw the faults of a soak; the same seed gives the same faults."""
    faults = []
    at = random.uniform(*FAULT_INTERVAL_S)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    while at < seconds:
        kind = random.choices(kinds, weights)[0]
        duration_s = random.uniform(*FAULT_DURATION_S)
        target, variant = random.randrange(1000), random.randrange(1000)
        faults.append(Fault(at, duration_s, kind, target, variant))
        at += random.uniform(*FAULT_INTERVAL_S)
    return faults


@define
class FaultInjector:
    """Injects faults into a fleet; ``stops`` records the exit codes of planned stops.

    A code of None means that the daemon did not stop in time. ``disturbances`` are the faults that
    an answer may suffer from.
    """

    fleet: SoakFleet
    disturbances: list[Disturbance] = field(factory=list)
    stops: list[tuple[str, int | None]] = field(factory=list)
    _affected: set[str] = field(factory=set)

    async def run(self, faults: list[Fault]) -> None:
        """Inject all faults at their times, and wait until all are reverted."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started + fault.at - loop.time()))
            tasks.append(loop.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        description, start, duration = (
            fault.kind.value,
            round(fault.at, 2),
            round(fault.duration_s, 2),
        )
        log.info(f"{start} s: {description} for {duration} s")
        match fault.kind:
            case FaultKind.ALL_KILLED:
                await self._kill_all(fault)
            case FaultKind.STORE_UNAVAILABLE | FaultKind.STORE_SLOW | FaultKind.STORE_REFUSES:
                await self._inject_store_fault(fault)
            case FaultKind.STORE_COMPACTED:
                await asyncio.to_thread(self.fleet.compact_store)
            case FaultKind.STORE_RESTORED:
                await self._restore_store(fault)
            case FaultKind.UPSTREAM_LEAVES:
                await self._inject_departure(fault)
            case FaultKind.UPSTREAM_LIMITED:
                await self._inject_limit(fault)
            case FaultKind.UPSTREAM_RELEASED | FaultKind.ODD_ENTRIES:
                await self._inject_entry(fault)
            case FaultKind.STORE_LINK | FaultKind.UPSTREAM_LINK:
                await self._inject_link_fault(fault)
            case FaultKind.UPSTREAM_BEHAVIOUR:
                await self._inject_upstream_fault(fault)
            case _:
                await self._inject_host_fault(fault)

    async def _inject_host_fault(self, fault: Fault) -> None:
        host = self.fleet.hosts[fault.target % len(self.fleet.hosts)]
        await self._run_exclusively(
            host.name, lambda: self._apply_host_fault(fault, host), fault.kind.value
        )

    async def _apply_host_fault(self, fault: Fault, host: SoakHost) -> None:
        match fault.kind:
            case FaultKind.HOST_KILLED:
                host.kill()
                await asyncio.sleep(fault.duration_s / 3)
                host.start()
            case FaultKind.HOST_FROZEN:
                host.freeze()
                await asyncio.sleep(fault.duration_s)
                host.thaw()
            case FaultKind.HOST_STOPPED:
                self.stops.append((host.name, await host.stop()))
                host.start()
            case _:
                host.reload()

    async def _kill_all(self, fault: Fault) -> None:
        hosts = [host for host in self.fleet.hosts if host.name not in self._affected]
        self._affected.update(host.name for host in hosts)
        began, kind = asyncio.get_running_loop().time(), FaultKind.HOST_KILLED.value
        disturbances = [Disturbance(host.name, kind, began) for host in hosts]
        self.disturbances += disturbances
        for host in hosts:
            host.kill()
        await asyncio.sleep(fault.duration_s / 3)
        for host in hosts:
            host.start()
        for disturbance in disturbances:
            disturbance.ended = asyncio.get_running_loop().time()
        self._affected.difference_update(host.name for host in hosts)

    async def _inject_store_fault(self, fault: Fault) -> None:
        async def apply() -> None:
            await asyncio.to_thread(self.fleet.set_store_faults, **_make_store_faults(fault))
            await asyncio.sleep(fault.duration_s)
            await asyncio.to_thread(self.fleet.set_store_faults)

        await self._run_exclusively("store", apply)

    async def _restore_store(self, fault: Fault) -> None:
        async def apply() -> None:
            await self.fleet.restore_store(1 + fault.variant % MAX_LOST_WRITES)

        await self._run_exclusively("store", apply)

    async def _inject_departure(self, fault: Fault) -> None:
        upstream = self.fleet.upstreams[fault.target % len(self.fleet.upstreams)]

        async def apply() -> None:
            upstream.is_leaving = True
            await asyncio.sleep(fault.duration_s + DRAIN_S)
            await self.fleet.rejoin(upstream)

        await self._run_exclusively(f"departure of {upstream.name}", apply)

    async def _inject_limit(self, fault: Fault) -> None:
        upstream = self.fleet.upstreams[fault.target % len(self.fleet.upstreams)]
        limit = NamedLimit(LIMITS[fault.variant % len(LIMITS)], asyncio.get_running_loop().time())

        async def apply() -> None:
            upstream.limits.append(limit)
            await asyncio.sleep(fault.duration_s + MIN_LIMIT_S)
            limit.ended = asyncio.get_running_loop().time()

        await self._run_exclusively(f"limit of {upstream.name}", apply)

    async def _inject_entry(self, fault: Fault) -> None:
        """Add entries to those of the upstreams; they stay to the end."""
        if fault.kind is FaultKind.ODD_ENTRIES:
            first = fault.variant % ODD_ENTRIES_STEP
            for number, spec in enumerate(list(ODD_ENTRIES.values())[first::ODD_ENTRIES_STEP]):
                await self.fleet.write_odd_entry(f"odd-{first}-{number}", spec)
            return
        upstreams = self.fleet.upstreams
        if len(upstreams) >= MAX_UPSTREAMS:
            return
        name, random = f"i-{len(upstreams)}", Random(fault.variant)
        other = upstreams[0]
        joining = SoakUpstream(name, random, other.silences, SOFTWARE[-1], other.odd_seed)
        service = SERVICES[fault.target % len(SERVICES)]
        await self.fleet.release(await joining.open(), service)

    async def _inject_link_fault(self, fault: Fault) -> None:
        links = self.fleet.upstream_links
        if fault.kind is FaultKind.STORE_LINK:
            links = [host.store_link for host in self.fleet.hosts]
        link = links[fault.target % len(links)]
        faulty_states = [state for state in LinkState if state is not LinkState.PASS]

        async def apply() -> None:
            link.set_state(faulty_states[fault.variant % len(faulty_states)])
            await asyncio.sleep(fault.duration_s)
            link.set_state(LinkState.PASS)

        await self._run_exclusively(f"link {link.port}", apply, fault.kind.value)

    async def _inject_upstream_fault(self, fault: Fault) -> None:
        upstream = self.fleet.upstreams[fault.target % len(self.fleet.upstreams)]
        behaviours = [behaviour for behaviour in Behaviour if behaviour is not Behaviour.NORMAL]

        async def apply() -> None:
            upstream.behaviour = behaviours[fault.variant % len(behaviours)]
            upstream.faulty_share = FAULTY_SHARE
            await asyncio.sleep(fault.duration_s)
            upstream.behaviour, upstream.faulty_share = Behaviour.NORMAL, 0.0

        await self._run_exclusively(upstream.name, apply)

    async def _run_exclusively(
        self, name: str, inject: Callable[[], Awaitable[None]], kind: str = ""
    ) -> None:
        """Inject one fault at a time into a target; a fault that would overlap is skipped."""
        if name in self._affected:
            return
        self._affected.add(name)
        disturbance = Disturbance(name, kind, asyncio.get_running_loop().time())
        self.disturbances.append(disturbance)
        try:
            await inject()
        finally:
            disturbance.ended = asyncio.get_running_loop().time()
            self._affected.discard(name)


def _make_store_faults(fault: Fault) -> dict[str, object]:
    match fault.kind:
        case FaultKind.STORE_SLOW:
            return {"slow_s": SLOW_STORE_DELAY_S}
        case FaultKind.STORE_REFUSES:
            return {"refusal": (503, 429)[fault.variant % 2]}
        case _:
            return {("down", "silent")[fault.variant % 2]: True}
