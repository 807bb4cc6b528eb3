"""Faults of the soak, drawn from a seed: in series, overlapping, and undone at their end."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from random import Random

from attrs import define, field, frozen
from logbook import Logger

from soak.fleet import SoakFleet, SoakHost
from soak.proxy import Link, LinkState
from soak.upstreams import Behaviour

# Seconds between the begins of two faults, and for which one lasts; about three overlap.
GAP_S = (0.2, 1.2)
LENGTH_S = (0.3, 3.0)
# Share of an upstream's requests that it treats badly.
BAD_SHARE = 0.4
# Seconds that a slow store takes for a call.
SLOW_STORE_S = 0.4

log = Logger("soak")


class FaultKind(Enum):
    """What goes wrong."""

    HOST_KILLED = "host killed"
    HOST_FROZEN = "host frozen"
    HOST_STOPPED = "host stopped"
    HOST_RELOADED = "host reloaded"
    ALL_KILLED = "all hosts killed"
    STORE_LINK = "link to the store"
    UPSTREAM_LINK = "link to an upstream"
    UPSTREAM_BEHAVIOUR = "upstream behaves badly"
    STORE_AWAY = "store away"
    STORE_SLOW = "store slow"
    STORE_REFUSES = "store refuses"
    STORE_FORGETS = "store forgets its history"


# How often each kind is drawn; what stops all hosts is rare, since little is tested meanwhile.
WEIGHTS = {kind: 1.0 for kind in FaultKind} | {
    FaultKind.ALL_KILLED: 0.3,
    FaultKind.UPSTREAM_LINK: 2.0,
    FaultKind.UPSTREAM_BEHAVIOUR: 2.0,
}


@frozen
class Fault:
    """One fault; times are in seconds from the begin of the soak."""

    at: float
    length_s: float
    kind: FaultKind
    target: int
    variant: int


def draw_faults(random: Random, seconds: float) -> list[Fault]:
    """Return the faults of a soak; the same seed gives the same ones."""
    faults = []
    at = random.uniform(*GAP_S)
    kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
    while at < seconds:
        kind = random.choices(kinds, weights)[0]
        length_s = random.uniform(*LENGTH_S)
        target, variant = random.randrange(1000), random.randrange(1000)
        faults.append(Fault(at, length_s, kind, target, variant))
        at += random.uniform(*GAP_S)
    return faults


@define
class Injector:
    """Does faults to a fleet; ``stops`` holds the exit codes of planned stops."""

    fleet: SoakFleet
    stops: list[tuple[str, int | None]] = field(factory=list)
    _busy: set[str] = field(factory=set)

    async def run(self, faults: list[Fault]) -> None:
        """Do all faults at their times, and wait until all are undone."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, begun + fault.at - loop.time()))
            tasks.append(loop.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        what, begin, length = fault.kind.value, round(fault.at, 2), round(fault.length_s, 2)
        log.info(f"{begin} s: {what} for {length} s")
        match fault.kind:
            case FaultKind.ALL_KILLED:
                await self._kill_all(fault)
            case FaultKind.STORE_AWAY:
                await self._misbehave(fault, ({"down": True}, {"silent": True})[fault.variant % 2])
            case FaultKind.STORE_SLOW:
                await self._misbehave(fault, {"slow_s": SLOW_STORE_S})
            case FaultKind.STORE_REFUSES:
                await self._misbehave(fault, {"refusal": (503, 429)[fault.variant % 2]})
            case FaultKind.STORE_FORGETS:
                await asyncio.to_thread(self.fleet.compact_store)
            case FaultKind.STORE_LINK:
                await self._break_link(fault, [host.store for host in self.fleet.hosts])
            case FaultKind.UPSTREAM_LINK:
                await self._break_link(fault, self.fleet.links)
            case FaultKind.UPSTREAM_BEHAVIOUR:
                await self._spoil_upstream(fault)
            case _:
                await self._do_to_host(fault)

    async def _do_to_host(self, fault: Fault) -> None:
        host = self.fleet.hosts[fault.target % len(self.fleet.hosts)]
        await self._exclusively(host.name, lambda: self._disturb(fault, host))

    async def _disturb(self, fault: Fault, host: SoakHost) -> None:
        match fault.kind:
            case FaultKind.HOST_KILLED:
                host.kill()
                await asyncio.sleep(fault.length_s / 3)
                host.start()
            case FaultKind.HOST_FROZEN:
                host.freeze()
                await asyncio.sleep(fault.length_s)
                host.thaw()
            case FaultKind.HOST_STOPPED:
                self.stops.append((host.name, await host.stop()))
                host.start()
            case _:
                host.reload()

    async def _kill_all(self, fault: Fault) -> None:
        hosts = [host for host in self.fleet.hosts if host.name not in self._busy]
        self._busy.update(host.name for host in hosts)
        for host in hosts:
            host.kill()
        await asyncio.sleep(fault.length_s / 3)
        for host in hosts:
            host.start()
        self._busy.difference_update(host.name for host in hosts)

    async def _misbehave(self, fault: Fault, faults: Mapping[str, object]) -> None:
        await self._exclusively("store", lambda: self._set_store(fault, faults))

    async def _set_store(self, fault: Fault, faults: Mapping[str, object]) -> None:
        await asyncio.to_thread(self.fleet.set_store_faults, **faults)
        await asyncio.sleep(fault.length_s)
        await asyncio.to_thread(self.fleet.set_store_faults)

    async def _break_link(self, fault: Fault, links: list[Link]) -> None:
        link = links[fault.target % len(links)]
        states = [state for state in LinkState if state is not LinkState.PASS]

        async def change() -> None:
            link.change(states[fault.variant % len(states)])
            await asyncio.sleep(fault.length_s)
            link.change(LinkState.PASS)

        await self._exclusively(f"link {link.port}", change)

    async def _spoil_upstream(self, fault: Fault) -> None:
        upstream = self.fleet.upstreams[fault.target % len(self.fleet.upstreams)]
        behaviours = [one for one in Behaviour if one is not Behaviour.WELL]

        async def change() -> None:
            upstream.behaviour = behaviours[fault.variant % len(behaviours)]
            upstream.share = BAD_SHARE
            await asyncio.sleep(fault.length_s)
            upstream.behaviour, upstream.share = Behaviour.WELL, 0.0

        await self._exclusively(upstream.name, change)

    async def _exclusively(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Do one fault at a time to one thing; what comes meanwhile is left out."""
        if name in self._busy:
            return
        self._busy.add(name)
        try:
            await work()
        finally:
            self._busy.discard(name)
