"""Admission to one pool at its home: ledger, queue, and takeover from the previous home."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from threading import RLock
from time import monotonic

from attrs import evolve

from cherrylane.limits.caches import CachedChat, CacheTracker, Certainty
from cherrylane.limits.choice import Candidate, Choice, EngineView, choose_engine
from cherrylane.limits.health import EngineHealth
from cherrylane.limits.ledger import Ledger, LoadTotals
from cherrylane.limits.waiting import FairQueue, Reply, Waiter
from cherrylane.limits.work import (
    HOME_MOVED,
    NO_ENGINE,
    OVER_BOUND,
    OVERLOADED,
    UNREPORTED,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
    estimate_work,
)
from cherrylane.membership.runners import Runner
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import ServiceView

RETRY_AFTER_S = 1.0
RESERVED_SHARE = 0.1
BURST_SHARES = 2.0


class PoolHome:
    """Admits requests to the engines of one pool while this host is its home.

    A new home first collects the grants that other hosts hold. Until each of ``awaited_holders``
    has reported, or ``takeover_s`` has passed, requests wait. ``may_admit`` is called before each
    admission and returns whether the host's lease is valid. Thread-safe.
    """

    def __init__(
        self,
        key: PoolKey,
        service: ServiceView,
        *,
        awaited_holders: Iterable[str],
        takeover_s: float,
        may_admit: Callable[[], bool],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.key = key
        self._clock = clock
        self._may_admit = may_admit
        self._awaited = set(awaited_holders)
        self._takeover_ends = clock() + takeover_s
        self._lock = RLock()
        self._ledger = Ledger(bound=service.entry.service.bound)
        self._health = EngineHealth(service.entry.service.health)
        self._queue = FairQueue()
        self._caches = CacheTracker()
        self._account_load: dict[str, float] = {}
        self._account_grants: dict[str, int] = {}
        self._closed = False
        self._service = service
        self._runners: Mapping[str, Runner] = {}
        self.set_service(service)

    def set_service(self, service: ServiceView) -> None:
        """Apply a changed list of engines or changed settings."""
        with self._lock:
            runners = service.get_pool_runners(self.key)
            for engine in set(self._runners) - set(runners):
                self._caches.forget(engine)
            self._service = service
            self._runners = runners
            self._ledger.bound = service.entry.service.bound
            self._health.settings = service.entry.service.health
            self._health.set_listed(runners, self._clock())
            self._refresh_engines()
            self._admit_waiting()

    def set_other_pools(self, other_pools: LoadTotals) -> None:
        """Set the load of the service's other pools, as reported last."""
        with self._lock:
            self._ledger.other_pools = other_pools

    def submit(self, request: AdmissionRequest, reply: Reply) -> None:
        """Admit, queue or refuse ``request``.

        ``reply`` is called exactly once, possibly on the calling thread, unless ``drop_waiters``
        removes the request.
        """
        with self._lock:
            if self._closed:
                reply(
                    _refuse(request, HOME_MOVED, "this host is no longer the home of the pool", 0.0)
                )
                return
            if not self._has_candidate(request):
                reply(
                    _refuse(
                        request,
                        NO_ENGINE,
                        "no engine of the pool serves the model, except those already tried",
                    )
                )
                return
            if not self._queue.size and self._can_admit():
                grant = self._try_admit(request)
                if grant is not None:
                    self._queue.charge(request.account, grant.work)
                    reply(grant)
                    return
            if request.may_wait:
                self._enqueue(request, reply)
            else:
                reply(self._refuse_over_bound(request))

    def release(self, grant_id: str, outcome: GrantOutcome = UNREPORTED) -> None:
        """Release a grant and record the outcome of its request; unknown grants are ignored."""
        with self._lock:
            grant = self._forget_grant(grant_id)
            if grant is not None:
                self._record_outcome(grant, outcome)
            self._admit_waiting()

    def replace_holdings(self, holder: str, grants: Iterable[Grant]) -> None:
        """Replace the grants that ``holder`` has in this pool by ``grants``."""
        with self._lock:
            held = {grant.id: evolve(grant, holder=holder) for grant in grants}
            for grant in self._grants_of(holder):
                if grant.id not in held:
                    self._forget_grant(grant.id)
            for grant in held.values():
                if grant.id not in self._ledger.grants:
                    self._count_grant(grant)
            self._awaited.discard(holder)
            self._admit_waiting()

    def drop_holder(self, holder: str) -> None:
        """Drop the grants and waiting requests of a host that has left."""
        with self._lock:
            self._awaited.discard(holder)
            for grant in self._grants_of(holder):
                self._forget_grant(grant.id)
            for waiter in self._queue.find_by_holder(holder):
                self._queue.remove(waiter, served=False)
            self._admit_waiting()

    def drop_waiters(self, reply: Reply) -> None:
        """Drop the waiting requests whose answers no longer arrive; the host may have a new link.

        ``reply`` is the callback that they were submitted with.
        """
        with self._lock:
            for waiter in self._queue.find_by_reply(reply):
                self._queue.remove(waiter, served=False)

    def tick(self) -> None:
        """Refuse requests whose wait has expired and admit those that fit; called periodically."""
        with self._lock:
            self._refresh_engines()
            for waiter in self._queue.find_expired(self._clock()):
                self._queue.remove(waiter, served=False)
                waiter.reply(
                    _refuse(
                        waiter.request, OVERLOADED, "no engine became free within the allowed wait"
                    )
                )
            self._admit_waiting()

    def close(self) -> None:
        """Stop being home; waiting requests are refused, so that they go to the new home."""
        with self._lock:
            self._closed = True
            for waiter in self._queue.all():
                self._queue.remove(waiter, served=False)
                waiter.reply(
                    _refuse(
                        waiter.request,
                        HOME_MOVED,
                        "this host is no longer the home of the pool",
                        0.0,
                    )
                )

    def loads(self) -> dict[str, float]:
        """Return the load of each live engine, in tokens of expected work."""
        with self._lock:
            return {engine.name: engine.load for engine in self._ledger.engines.values()}

    def holders(self) -> set[str]:
        """Return the hosts that hold grants or have waiting requests."""
        with self._lock:
            holding = {grant.holder for grant in self._ledger.grants.values()}
            return holding | {waiter.request.holder for waiter in self._queue.all()}

    def totals(self) -> LoadTotals:
        """Return the pool's total load and weight, for the homes of the service's other pools."""
        with self._lock:
            return LoadTotals(load=self._ledger.load, weight=self._ledger.weight)

    def rank_candidates(self, request: AdmissionRequest) -> Iterator[Candidate]:
        """Yield the engines for ``request``: first those with its chat cached, then by load."""
        seen = set(request.excluded)
        for cached in self._find_cached(request):
            if cached.engine not in seen and self._serves(cached.engine, request.model):
                seen.add(cached.engine)
                yield Candidate(cached.engine, cached, reason="returning")
        rest = [
            load
            for load in self._ledger.engines.values()
            if load.name not in seen and self._serves(load.name, request.model)
        ]
        # Among equally loaded engines, those in the caller's failure domain come first.
        rest.sort(
            key=lambda load: (load.relative_load, self._runners[load.name].zone != request.zone)
        )
        for load in rest:
            yield Candidate(load.name, reason="least load")

    def explain(self, request: AdmissionRequest) -> list[EngineView]:
        """Return the engines that ``request`` may use in order of preference, with the reasons."""
        with self._lock:
            return [
                self._describe(candidate, request) for candidate in self.rank_candidates(request)
            ]

    def _describe(self, candidate: Candidate, request: AdmissionRequest) -> EngineView:
        engine = self._ledger.engines[candidate.engine]
        work = estimate_work(request, candidate.cached)
        limit = self._ledger.limit_of(engine, work)
        return EngineView(
            engine=engine.name,
            zone=self._runners[engine.name].zone,
            reason=candidate.reason,
            cached_tokens=candidate.cached.tokens if candidate.cached else 0,
            load=engine.load,
            limit=limit,
            takes_it=engine.is_available and engine.load + work <= limit,
        )

    def _find_cached(self, request: AdmissionRequest) -> list[CachedChat]:
        cached = self._caches.find(request.chat)
        if cached or not request.hinted or self._caches.has_known_capacity(request.hinted):
            return cached
        return [CachedChat(request.hinted, request.hinted_tokens, Certainty.DOUBTFUL)]

    def _serves(self, engine: str, model: str) -> bool:
        runner = self._runners.get(engine)
        return runner is not None and runner.serves(model)

    def _refuse_over_bound(self, request: AdmissionRequest) -> AdmissionRefusal:
        loads = [load.load / load.weight for load in self._ledger.engines.values()]
        refusal = _refuse(
            request, OVER_BOUND, "every engine of this pool would exceed the load bound", 0.0
        )
        return evolve(refusal, least_load=min(loads, default=float("inf")))

    def _has_candidate(self, request: AdmissionRequest) -> bool:
        return any(
            runner.serves(request.model) and name not in request.excluded
            for name, runner in self._runners.items()
        )

    def _admit_waiting(self) -> None:
        while self._queue.size and self._can_admit():
            if not any(self._admit_waiter(waiter) for waiter in list(self._queue.in_order())):
                return

    def _can_admit(self) -> bool:
        if self._awaited and self._clock() < self._takeover_ends:
            return False
        return not self._closed and self._may_admit()

    def _enqueue(self, request: AdmissionRequest, reply: Reply) -> None:
        expires_at = self._clock() + request.wait_s
        self._queue.add(Waiter(request, reply, expires_at, estimate_work(request, None)))
        self._admit_waiting()
        self._shed_excess()

    def _admit_waiter(self, waiter: Waiter) -> bool:
        grant = self._try_admit(waiter.request)
        if grant is None:
            return False
        self._queue.remove(waiter, served=True)
        waiter.reply(grant)
        return True

    def _try_admit(self, request: AdmissionRequest) -> Grant | None:
        if not self._may_account_start(request):
            return None
        choice = choose_engine(self._ledger, request, self.rank_candidates(request))
        if choice is None:
            return None
        grant = _make_grant(request, choice)
        self._count_grant(grant)
        self._caches.use(request.chat, choice.engine, tokens=request.prompt_tokens)
        return grant

    def _may_account_start(self, request: AdmissionRequest) -> bool:
        """Return whether an account may start ``request``.

        Keeps ``RESERVED_SHARE`` of the capacity for accounts without load and those within
        ``BURST_SHARES`` times their fair share.
        """
        account = request.account
        if self._account_grants.get(account.name, 0) >= account.max_concurrent:
            return False
        capacity = self._ledger.capacity()
        own = self._account_load.get(account.name, 0.0)
        fair_share = capacity / (len(self._account_load) + 1)
        work = estimate_work(request, None)
        if own + work <= BURST_SHARES * fair_share:
            return True
        return self._ledger.load + work <= (1.0 - RESERVED_SHARE) * capacity or own == 0.0

    def _shed_excess(self) -> None:
        while self._queue.size > self._service.entry.service.queue.max_waiting:
            excess = self._queue.find_excess()
            self._queue.remove(excess, served=False)
            excess.reply(_refuse(excess.request, OVERLOADED, "the pool's queue is full"))

    def _count_grant(self, grant: Grant) -> None:
        self._ledger.add(grant)
        name = grant.account
        self._account_load[name] = self._account_load.get(name, 0.0) + grant.work
        self._account_grants[name] = self._account_grants.get(name, 0) + 1

    def _record_outcome(self, grant: Grant, outcome: GrantOutcome) -> None:
        self._health.report(grant.engine, outcome, self._clock())
        if outcome.unreachable:
            self._caches.forget(grant.engine)
            self._refresh_engines()
        if outcome.found_tokens is not None and grant.cached is not None:
            self._caches.record_lookup(
                grant.engine,
                grant.cached.certainty,
                expected_tokens=grant.cached.tokens,
                found_tokens=outcome.found_tokens,
            )

    def _refresh_engines(self) -> None:
        """Update the engines, their availability and their slow-start ramp from their health."""
        now = self._clock()
        counted = self._health.counted(now)
        if counted != set(self._ledger.engines):
            # In the order of the list, since a set's order depends on the hash seed of the process.
            weights = {n: runner.weight for n, runner in self._runners.items() if n in counted}
            self._ledger.set_engines(weights)
        available = self._health.available(now)
        for name, load in self._ledger.engines.items():
            load.is_available = name in available
            load.ramp = self._health.ramp(name, now)

    def _forget_grant(self, grant_id: str) -> Grant | None:
        grant = self._ledger.remove(grant_id)
        if grant is None:
            return None
        name = grant.account
        self._account_grants[name] -= 1
        self._account_load[name] -= grant.work
        if self._account_grants[name] == 0:
            del self._account_grants[name]
            del self._account_load[name]
        return grant

    def _grants_of(self, holder: str) -> list[Grant]:
        return [grant for grant in self._ledger.grants.values() if grant.holder == holder]


def _make_grant(request: AdmissionRequest, choice: Choice) -> Grant:
    return Grant(
        id=request.id,
        holder=request.holder,
        pool=request.pool,
        engine=choice.engine,
        account=request.account.name,
        work=choice.work,
        cached=choice.cached,
        reason=choice.reason,
    )


def _refuse(
    request: AdmissionRequest, code: str, message: str, retry_after_s: float = RETRY_AFTER_S
) -> AdmissionRefusal:
    return AdmissionRefusal(id=request.id, code=code, message=message, retry_after_s=retry_after_s)
