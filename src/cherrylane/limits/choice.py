"""Selection of an engine for one admission request within the load bound."""

from collections.abc import Iterable

from attrs import frozen

from cherrylane.limits.caches import CachedChat
from cherrylane.limits.ledger import EngineLoad, Ledger
from cherrylane.limits.work import AdmissionRequest, estimate_work


@frozen
class Candidate:
    """An engine that may take a request; candidates are listed in order of preference."""

    engine: str
    cached: CachedChat | None = None
    reason: str = "order"


@frozen
class Choice:
    """The chosen engine, the work that counts as its load, and the reason for the choice."""

    engine: str
    work: float
    cached: CachedChat | None
    reason: str


@frozen
class EngineView:
    """Whether an engine would take a request, and why.

    ``load`` and ``limit`` are in tokens of expected work.
    """

    engine: str
    zone: str
    reason: str
    cached_tokens: int
    load: float
    limit: float
    takes_it: bool


def choose_engine(
    ledger: Ledger, request: AdmissionRequest, candidates: Iterable[Candidate]
) -> Choice | None:
    """Return the first candidate that can take ``request`` within the load bound.

    When every candidate would exceed the bound, returns the one with the smallest load per weight
    after admission. Returns None when no candidate has capacity.
    """
    least_loaded: Choice | None = None
    smallest_load = float("inf")
    for candidate in candidates:
        engine = ledger.engines.get(candidate.engine)
        if engine is None or not engine.is_available:
            continue
        work = estimate_work(request, candidate.cached)
        if not ledger.has_capacity(engine, work):
            continue
        if ledger.is_within_bound(engine, work):
            return _make_choice(candidate, work, candidate.reason)
        load_after = (engine.load + work) / engine.weight
        if load_after < smallest_load and _may_exceed_bound(ledger, engine, request):
            smallest_load = load_after
            least_loaded = _make_choice(candidate, work, f"{candidate.reason}, least load")
    return least_loaded


def _may_exceed_bound(ledger: Ledger, engine: EngineLoad, request: AdmissionRequest) -> bool:
    """Return whether the least loaded engine may be chosen although it exceeds the bound.

    That requires that this pool has all engines of the service, that the engine is idle, or that
    the other pools that the request may use have refused it.
    """
    return ledger.other_pools.weight == 0.0 or engine.grants == 0 or request.may_exceed_bound


def _make_choice(candidate: Candidate, work: float, reason: str) -> Choice:
    return Choice(engine=candidate.engine, work=work, cached=candidate.cached, reason=reason)
