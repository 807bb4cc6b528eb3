"""Asking the pools of a service: which ones for a chat, in which order, and where to wait."""

from collections.abc import Callable, Iterator

from attrs import evolve
from result import Err, Ok, Result

from cherrylane.limits.work import NO_ENGINE, OVER_BOUND, Ask, Busy, Grant
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import ServiceView

MAX_POOLS = 3
RETRY_AFTER_S = 1.0

Admit = Callable[[Ask], Result[Grant, Busy]]


def ask_pools(ask: Ask, service: ServiceView, admit: Admit) -> Result[Grant, Busy]:
    """Ask the chat's pools in turn for a grant within the bound.

    When none gives one, asks the pool that named the smallest load to take the request anyway:
    by the loads of three pools it is where least is carried. There the request may wait.
    """
    if service.entry.service.bound.pools == 1:
        return admit(ask)
    smallest: PoolKey | None = None
    smallest_load = float("inf")
    for pool in rank_pools(service, ask):
        smallest = smallest or pool
        match admit(evolve(ask, pool=pool, may_wait=False)):
            case Ok(grant):
                return Ok(grant)
            case Err(Busy(code=code, least_load=least_load)):
                if code == OVER_BOUND and least_load < smallest_load:
                    smallest, smallest_load = pool, least_load
    if smallest is None:
        return Err(Busy(ask.id, NO_ENGINE, "no live engine is left to try", RETRY_AFTER_S))
    return admit(evolve(ask, pool=smallest, may_exceed_bound=True))


def rank_pools(service: ServiceView, ask: Ask) -> Iterator[PoolKey]:
    """Yield the pools to ask: the hinted engine's, then those that the chat prefers.

    The order of pools is made only when the hinted engine's pool has no room.
    """
    first: PoolKey | None = None
    hinted = service.runners.get(ask.hinted)
    if hinted is not None and hinted.serves(ask.model) and ask.hinted not in ask.excluded:
        first = service.pools[ask.hinted]
        yield first
    ranked = service.rank_pools(ask.chat, MAX_POOLS, model=ask.model)
    yield from [pool for pool in ranked if pool != first][: MAX_POOLS - (first is not None)]
