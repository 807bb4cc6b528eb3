"""The choice of an engine for one ask, within the bound."""

from collections.abc import Iterable

from attrs import frozen

from cherrylane.limits.caches import CachedChat
from cherrylane.limits.ledger import EngineLoad, Ledger
from cherrylane.limits.work import Ask, estimate_work


@frozen
class Candidate:
    """An engine that an ask may go to, in the order of preference."""

    engine: str
    cached: CachedChat | None = None
    reason: str = "order"


@frozen
class Choice:
    """The engine chosen, the work it will count for, and why it was this one."""

    engine: str
    work: float
    cached: CachedChat | None
    reason: str


@frozen
class EngineView:
    """How an engine stands for one ask; loads and limits are in tokens of expected work."""

    engine: str
    zone: str
    reason: str
    cached_tokens: int
    load: float
    limit: float
    takes_it: bool


def choose_engine(ledger: Ledger, ask: Ask, candidates: Iterable[Candidate]) -> Choice | None:
    """Return the first candidate that can take ``ask`` within the bound.

    When every candidate would exceed the multiple, returns the one whose load over weight would
    be the smallest. Returns None when none has capacity.
    """
    smallest: Choice | None = None
    smallest_load = float("inf")
    for candidate in candidates:
        engine = ledger.engines.get(candidate.engine)
        if engine is None or not engine.takes_work:
            continue
        work = estimate_work(ask, candidate.cached)
        if not ledger.has_capacity(engine, work):
            continue
        if ledger.is_within_bound(engine, work):
            return _choose(candidate, work, candidate.reason)
        resulting = (engine.load + work) / engine.weight
        if resulting < smallest_load and _may_round(ledger, engine, ask):
            smallest_load = resulting
            smallest = _choose(candidate, work, f"{candidate.reason}, least load")
    return smallest


def _may_round(ledger: Ledger, engine: EngineLoad, ask: Ask) -> bool:
    """Rounding needs sight of all engines, an idle engine, or an ask that went round the pools."""
    return ledger.other_pools.weight == 0.0 or engine.grants == 0 or ask.may_exceed_bound


def _choose(candidate: Candidate, work: float, reason: str) -> Choice:
    return Choice(engine=candidate.engine, work=work, cached=candidate.cached, reason=reason)
