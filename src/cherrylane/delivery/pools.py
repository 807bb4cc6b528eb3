"""Requests a grant from the pools of a service: which pools, in which order, where to queue."""

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
    """Request a grant within the load bound from each of the chat's pools in turn.

    If all of these pools (at most ``MAX_POOLS``) refuse, requests the grant from the one that
    reported the smallest load, this time without the bound: of the pools asked, it has the least
    loaded engine. If no pool reported a load, the first one is used. The request may queue there.
    """
    if service.entry.service.bound.pools == 1:
        return admit(ask)
    least_loaded_pool: PoolKey | None = None
    smallest_load = float("inf")
    for pool in rank_pools(service, ask):
        least_loaded_pool = least_loaded_pool or pool
        match admit(evolve(ask, pool=pool, may_wait=False)):
            case Ok(grant):
                return Ok(grant)
            case Err(Busy(code=code, least_load=least_load)):
                if code == OVER_BOUND and least_load < smallest_load:
                    least_loaded_pool, smallest_load = pool, least_load
    if least_loaded_pool is None:
        return Err(
            Busy(
                ask.id,
                NO_ENGINE,
                f"no live engine of service {ask.pool.service} is left to try",
                RETRY_AFTER_S,
            )
        )
    return admit(evolve(ask, pool=least_loaded_pool, may_exceed_bound=True))


def rank_pools(service: ServiceView, ask: Ask) -> Iterator[PoolKey]:
    """Yield up to ``MAX_POOLS`` pools: the hinted engine's, then those ranked highest for the chat.

    The ranking is computed only if the hinted engine's pool has refused.
    """
    first: PoolKey | None = None
    hinted = service.runners.get(ask.hinted)
    if hinted is not None and hinted.serves(ask.model) and ask.hinted not in ask.excluded:
        first = service.pools[ask.hinted]
        yield first
    ranked = service.rank_pools(ask.chat, MAX_POOLS, model=ask.model)
    yield from [pool for pool in ranked if pool != first][: MAX_POOLS - (first is not None)]
