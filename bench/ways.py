"""Ways to choose an engine: the baselines, the product's homes, and an oracle."""

from typing import Protocol

import numpy as np
from attrs import evolve
from result import Err, Ok, Result

from bench.engines import FakeFleet, list_delay
from bench.services import SERVICE, make_service
from bench.trace import Arrival
from cherrylane.configuration.documents import BoundSettings, Priority, QueueSettings
from cherrylane.delivery.pools import ask_pools
from cherrylane.limits.ledger import LoadTotals
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import AccountShare, Ask, Busy, Grant, GrantOutcome
from cherrylane.membership.runners import Runner
from cherrylane.routing.chat import hash_chat
from cherrylane.routing.homes import PoolKey, find_pool
from cherrylane.routing.rendezvous import RendezvousTable
from cherrylane.routing.view import ServiceView

Excluded = frozenset[str]
INTERACTIVE = AccountShare(name="day", max_concurrent=10**9)
BATCH = AccountShare(name="night", priority=Priority.BATCH, max_concurrent=10**9)


class Way(Protocol):
    """Chooses engines by what it knows; it hears of ends and of changes."""

    name: str

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the engine for a request, None when it finds none."""

    def finish(self, number: int, outcome: GrantOutcome) -> None:
        """Hear that a request has ended, and how."""

    def counted_work(self, number: int) -> float | None:
        """Return the work that the way counts for a request, None when it counts none."""

    def refresh(self) -> None:
        """Hear that time has passed or that engines have changed."""


class ListWay:
    """What the baselines share: each view's own lagging list."""

    name = ""

    def __init__(self, fleet: FakeFleet, multiple: float) -> None:
        self.fleet = fleet
        self.multiple = multiple
        self.random = np.random.default_rng(1)
        self._table = RendezvousTable(list(fleet.engines))
        self._version = -1

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the engine for a request."""
        raise NotImplementedError

    def finish(self, number: int, outcome: GrantOutcome) -> None:
        """Nothing is kept of requests."""

    def counted_work(self, number: int) -> float | None:
        """Nothing is counted."""
        return None

    def refresh(self) -> None:
        """Make the table anew when engines have changed."""
        if self._version != self.fleet.version:
            self._version = self.fleet.version
            self._table = RendezvousTable(list(self.fleet.engines))

    def listed(self, arrival: Arrival, excluded: Excluded) -> list[str]:
        """Return the engines that the arrival's view lists."""
        return [
            name
            for name in self.fleet.engines
            if name not in excluded and self.fleet.is_listed(name, arrival.view)
        ]

    def order(self, arrival: Arrival, excluded: Excluded, count: int = 6) -> list[str]:
        """Return the listed engines in the chat's order."""
        ranked = self._table.rank(chat_key(arrival), count + len(excluded))
        return [
            name
            for name in ranked
            if name not in excluded and self.fleet.is_listed(name, arrival.view)
        ]


class RandomWay(ListWay):
    """Any listed engine."""

    name = "random"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return any listed engine."""
        names = self.listed(arrival, excluded)
        return names[int(self.random.integers(len(names)))] if names else None


class RoundRobin(ListWay):
    """Each view takes its listed engines in turn."""

    name = "round robin"

    def __init__(self, fleet: FakeFleet, multiple: float) -> None:
        super().__init__(fleet, multiple)
        self._turns: dict[int, int] = {}

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the next listed engine."""
        names = self.listed(arrival, excluded)
        turn = self._turns.get(arrival.view, arrival.view)
        self._turns[arrival.view] = turn + 1
        return names[turn % len(names)] if names else None


class LeastLoad(ListWay):
    """The listed engine with the least reported load."""

    name = "least load"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the engine with the least reported load."""
        reported = self.fleet.reported
        names = self.listed(arrival, excluded)
        if not names:
            return None
        start = int(self.random.integers(len(names)))
        return min(names[start:] + names[:start], key=lambda name: reported.get(name, 0.0))


class PlainHash(ListWay):
    """The first listed engine in the chat's order."""

    name = "plain hash"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the first listed engine."""
        order = self.order(arrival, excluded)
        return order[0] if order else None


class BoundedHash(ListWay):
    """The first listed engine that is within the bound by the reported loads."""

    name = "bounded hash, lagged"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the first engine within the bound, else the least loaded of the order."""
        order = self.order(arrival, excluded)
        reported = self.fleet.reported
        work = self.fleet.workload.answer_tokens
        limit = self.multiple * (sum(reported.values()) + work) / max(1, len(reported))
        for name in order:
            if reported.get(name, 0.0) + work <= limit:
                return name
        return min(order, key=lambda name: reported.get(name, 0.0)) if order else None


class Oracle:
    """Sees all loads and caches at once: within the bound, most cached, then least load."""

    name = "oracle"

    def __init__(self, fleet: FakeFleet, multiple: float) -> None:
        self.fleet = fleet
        self.multiple = multiple

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the best engine."""
        expected = self.fleet.workload.answer_tokens
        live = self.fleet.live()
        total = self.fleet.total_load
        best = min(live, key=lambda engine: engine.load)
        best_key = (-1, 0.0)
        for engine in live:
            work = engine.work_of(arrival, expected)
            if engine.load + work > self.multiple * (total + work) / len(live):
                continue
            key = (engine.cached(arrival), -engine.load)
            if key > best_key:
                best, best_key = engine, key
        return best.name

    def finish(self, number: int, outcome: GrantOutcome) -> None:
        """Nothing to keep."""

    def counted_work(self, number: int) -> float | None:
        """Nothing is counted."""
        return None

    def refresh(self) -> None:
        """Nothing to keep."""


class Homes:
    """The product: a :class:`PoolHome` for each pool, and callers that hand back their hints."""

    name = "home"

    def __init__(self, fleet: FakeFleet, multiple: float) -> None:
        self.fleet = fleet
        workload = fleet.workload
        bound = BoundSettings(load_multiple=multiple, capacity_tokens=1e12, pools=workload.pools)
        self._entry = make_service(bound, QueueSettings())
        self._service = self._make_view()
        self._pools = {
            PoolKey(SERVICE, number): self._make_home(PoolKey(SERVICE, number))
            for number in range(workload.pools)
        }
        self._granted: dict[int, Grant] = {}
        self._hints: dict[int, str] = {}
        self._pending_lists: list[tuple[float, ServiceView]] = []
        self._version = 0
        self._next_exchange_s = 0.0
        self._next_tick_s = 0.0

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Ask the chat's pools as an entry host does."""
        ask = self._make_ask(number, arrival, excluded)
        result = ask_pools(ask, self._service, self._admit)
        if isinstance(result, Err):
            return None
        self._granted[number] = result.ok_value
        if not arrival.batch:
            self._hints[arrival.chat] = result.ok_value.engine
        return result.ok_value.engine

    def counted_work(self, number: int) -> float | None:
        """Return the work of the request's grant."""
        return self._granted[number].work

    def finish(self, number: int, outcome: GrantOutcome) -> None:
        """Give the grant back."""
        grant = self._granted.pop(number, None)
        if grant is not None:
            self._pools[grant.pool].release(grant.id, outcome)

    def refresh(self) -> None:
        """Take lists that have arrived, and exchange the pools' loads once a second."""
        if self._version != self.fleet.version:
            self._version = self.fleet.version
            self._pending_lists.append((self.fleet.now_s + list_delay(1), self._make_view()))
        while self._pending_lists and self._pending_lists[0][0] <= self.fleet.now_s:
            _, self._service = self._pending_lists.pop(0)
            for home in self._pools.values():
                home.set_service(self._service)
        if self.fleet.now_s >= self._next_tick_s:
            self._next_tick_s = self.fleet.now_s + 0.25
            for home in self._pools.values():
                home.tick()
        if len(self._pools) > 1 and self.fleet.now_s >= self._next_exchange_s:
            self._next_exchange_s = self.fleet.now_s + 1.0
            self._exchange_loads()

    def _exchange_loads(self) -> None:
        totals = {key: home.totals() for key, home in self._pools.items()}
        load = sum(total.load for total in totals.values())
        weight = sum(total.weight for total in totals.values())
        for key, home in self._pools.items():
            own = totals[key]
            home.set_other_pools(LoadTotals(load - own.load, weight - own.weight))

    def _admit(self, ask: Ask) -> Result[Grant, Busy]:
        replies: list[Grant | Busy] = []
        self._pools[ask.pool].submit(evolve(ask, may_wait=False), replies.append)
        match replies[0]:
            case Grant() as grant:
                return Ok(grant)
            case Busy() as busy:
                return Err(busy)

    def _make_ask(self, number: int, arrival: Arrival, excluded: Excluded) -> Ask:
        return Ask(
            id=f"{number}.{len(excluded)}",
            pool=PoolKey(SERVICE, 0),
            account=BATCH if arrival.batch else INTERACTIVE,
            chat=chat_key(arrival),
            model="",
            prompt_tokens=arrival.prefix_tokens,
            answer_tokens=int(self.fleet.workload.answer_tokens),
            holder="view",
            hinted=self._hints.get(arrival.chat, ""),
            excluded=tuple(excluded),
        )

    def _make_home(self, key: PoolKey) -> PoolHome:
        return PoolHome(
            key,
            self._service,
            awaited_holders=(),
            takeover_s=0.0,
            may_admit=lambda: True,
            clock=lambda: self.fleet.now_s,
        )

    def _make_view(self) -> ServiceView:
        runners = {
            engine.name: Runner(
                name=engine.name, service=SERVICE, site="s", zone="z", address="-", port=1
            )
            for engine in self.fleet.live()
        }
        pools = {
            name: find_pool(SERVICE, name, self._entry.service.bound.pools) for name in runners
        }
        return ServiceView(entry=self._entry, runners=runners, pools=pools, homes={})


_keys: dict[int, int] = {}


def chat_key(arrival: Arrival) -> int:
    """Return the hash by which a chat is known."""
    key = _keys.get(arrival.chat)
    if key is None:
        key = _keys[arrival.chat] = hash_chat("account", f"chat-{arrival.chat}")
    return key
