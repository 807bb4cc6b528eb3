"""Routing strategies: the baselines, the product's pool homes, and an oracle."""

from typing import Protocol

import numpy as np
from attrs import evolve
from result import Err, Ok, Result

from bench.engines import FakeFleet, list_delay
from bench.services import SERVICE, make_service
from bench.trace import Arrival
from cherrylane.configuration.documents import BoundSettings, Priority, QueueSettings
from cherrylane.delivery.pools import request_grant
from cherrylane.limits.ledger import LoadTotals
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.work import (
    AccountShare,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
)
from cherrylane.membership.runners import Runner
from cherrylane.routing.chat import hash_chat
from cherrylane.routing.homes import PoolKey, find_pool
from cherrylane.routing.rendezvous import RendezvousTable
from cherrylane.routing.view import ServiceView

Excluded = frozenset[str]
INTERACTIVE = AccountShare(name="day", max_concurrent=10**9)
BATCH = AccountShare(name="night", priority=Priority.BATCH, max_concurrent=10**9)


class Strategy(Protocol):
    """Chooses an engine for each request, and is notified of its outcome and of changes."""

    name: str

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the engine for a request, None if there is none."""

    def finish(self, number: int, outcome: GrantOutcome) -> None:
        """Handle the end of a request with its outcome."""

    def counted_work(self, number: int) -> float | None:
        """Return the work that the strategy counts for a request, None if it counts none."""

    def refresh(self) -> None:
        """Update the state after time has passed or engines have changed."""


class LaggingListStrategy:
    """Base of the baselines, which choose from the delayed engine list of each view."""

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
        """Do nothing: requests are not tracked."""

    def counted_work(self, number: int) -> float | None:
        """Return None: work is not counted."""
        return None

    def refresh(self) -> None:
        """Rebuild the rendezvous table if engines have changed."""
        if self._version != self.fleet.version:
            self._version = self.fleet.version
            self._table = RendezvousTable(list(self.fleet.engines))

    def list_engines(self, arrival: Arrival, excluded: Excluded) -> list[str]:
        """Return the engines in the list of the arrival's view, without the excluded ones."""
        return [
            name
            for name in self.fleet.engines
            if name not in excluded and self.fleet.is_listed(name, arrival.view)
        ]

    def rank_engines(self, arrival: Arrival, excluded: Excluded, count: int = 6) -> list[str]:
        """Return listed engines in the chat's rendezvous order, without the excluded ones.

        Only the first ``count`` engines of that order are considered, and one more for each
        excluded engine.
        """
        ranked = self._table.rank(hash_arrival_chat(arrival), count + len(excluded))
        return [
            name
            for name in ranked
            if name not in excluded and self.fleet.is_listed(name, arrival.view)
        ]


class RandomChoice(LaggingListStrategy):
    """Chooses a listed engine at random."""

    name = "random"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return a random listed engine."""
        names = self.list_engines(arrival, excluded)
        return names[int(self.random.integers(len(names)))] if names else None


class RoundRobin(LaggingListStrategy):
    """Chooses each view's listed engines in turn."""

    name = "round robin"

    def __init__(self, fleet: FakeFleet, multiple: float) -> None:
        super().__init__(fleet, multiple)
        self._turns: dict[int, int] = {}

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the next listed engine."""
        names = self.list_engines(arrival, excluded)
        turn = self._turns.get(arrival.view, arrival.view)
        self._turns[arrival.view] = turn + 1
        return names[turn % len(names)] if names else None


class LeastLoad(LaggingListStrategy):
    """Chooses the listed engine with the lowest reported load."""

    name = "least load"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the engine with the lowest reported load, a random one among equals."""
        reported = self.fleet.reported
        names = self.list_engines(arrival, excluded)
        if not names:
            return None
        start = int(self.random.integers(len(names)))
        return min(names[start:] + names[:start], key=lambda name: reported.get(name, 0.0))


class PlainHash(LaggingListStrategy):
    """Chooses the first listed engine in the chat's rendezvous order."""

    name = "plain hash"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the first listed engine."""
        order = self.rank_engines(arrival, excluded)
        return order[0] if order else None


class BoundedHash(LaggingListStrategy):
    """Chooses the first listed engine that is within the bound by the reported loads."""

    name = "bounded hash, lagged"

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the first engine within the bound, else the least loaded of those ranked."""
        order = self.rank_engines(arrival, excluded)
        reported = self.fleet.reported
        work = self.fleet.workload.answer_tokens
        limit = self.multiple * (sum(reported.values()) + work) / max(1, len(reported))
        for name in order:
            if reported.get(name, 0.0) + work <= limit:
                return name
        return min(order, key=lambda name: reported.get(name, 0.0)) if order else None


class Oracle:
    """Chooses by the true loads and caches.

    Of the engines within the bound, it chooses the one with the most cached tokens, and among
    equals the one with the lowest load.
    """

    name = "oracle"

    def __init__(self, fleet: FakeFleet, multiple: float) -> None:
        self.fleet = fleet
        self.multiple = multiple

    def place(self, number: int, arrival: Arrival, excluded: Excluded) -> str | None:
        """Return the best engine within the bound, else the least loaded one."""
        expected = self.fleet.workload.answer_tokens
        live = self.fleet.list_live_engines()
        total = self.fleet.total_load
        best = min(live, key=lambda engine: engine.load)
        best_key = (-1, 0.0)
        for engine in live:
            work = engine.estimate_work(arrival, expected)
            if engine.load + work > self.multiple * (total + work) / len(live):
                continue
            key = (engine.count_cached_tokens(arrival), -engine.load)
            if key > best_key:
                best, best_key = engine, key
        return best.name

    def finish(self, number: int, outcome: GrantOutcome) -> None:
        """Do nothing: requests are not tracked."""

    def counted_work(self, number: int) -> float | None:
        """Return None: work is not counted."""
        return None

    def refresh(self) -> None:
        """Do nothing: the fleet's state is read directly."""


class PoolHomes:
    """The product: a :class:`PoolHome` for each pool, and callers that send back their hints."""

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
        """Request admission from the chat's pools as an entry host does."""
        request = self._make_admission_request(number, arrival, excluded)
        result = request_grant(request, self._service, self._admit)
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
        """Release the request's grant with its outcome."""
        grant = self._granted.pop(number, None)
        if grant is not None:
            self._pools[grant.pool].release(grant.id, outcome)

    def refresh(self) -> None:
        """Apply engine lists that are due, and tick the homes every 0.25 s.

        With several pools, the homes exchange their loads every second.
        """
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

    def _admit(self, request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
        replies: list[Grant | AdmissionRefusal] = []
        self._pools[request.pool].submit(evolve(request, may_wait=False), replies.append)
        match replies[0]:
            case Grant() as grant:
                return Ok(grant)
            case AdmissionRefusal() as refusal:
                return Err(refusal)

    def _make_admission_request(
        self, number: int, arrival: Arrival, excluded: Excluded
    ) -> AdmissionRequest:
        return AdmissionRequest(
            id=f"{number}.{len(excluded)}",
            pool=PoolKey(SERVICE, 0),
            account=BATCH if arrival.batch else INTERACTIVE,
            chat=hash_arrival_chat(arrival),
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
            for engine in self.fleet.list_live_engines()
        }
        pools = {
            name: find_pool(SERVICE, name, self._entry.service.bound.pools) for name in runners
        }
        return ServiceView(entry=self._entry, runners=runners, pools=pools, homes={})


_chat_hashes: dict[int, int] = {}


def hash_arrival_chat(arrival: Arrival) -> int:
    """Return the hash that identifies the arrival's chat, computed once per chat."""
    key = _chat_hashes.get(arrival.chat)
    if key is None:
        key = _chat_hashes[arrival.chat] = hash_chat("account", f"chat-{arrival.chat}")
    return key
