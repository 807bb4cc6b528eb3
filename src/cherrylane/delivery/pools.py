"""Requests a grant from the pools of a service: which pools, in which order, where to queue."""

from collections.abc import Callable, Iterator

from attrs import evolve
from result import Err, Ok, Result

from cherrylane.limits.work import NO_ENGINE, OVER_BOUND, AdmissionRefusal, AdmissionRequest, Grant
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import ServiceView

MAX_POOLS = 3
RETRY_AFTER_S = 1.0

Admit = Callable[[AdmissionRequest], Result[Grant, AdmissionRefusal]]


def request_grant(
    request: AdmissionRequest, service: ServiceView, admit: Admit
) -> Result[Grant, AdmissionRefusal]:
    """Request a grant within the load bound from each of the chat's pools in turn.

    If all of these pools (at most ``MAX_POOLS``) refuse, requests the grant from the one that
    reported the smallest load, this time without the bound: of the pools tried, it has the least
    loaded engine. If no pool reported a load, the first one is used. The request may queue there.
    """
    if service.entry.service.bound.pools == 1:
        return admit(request)
    least_loaded_pool: PoolKey | None = None
    smallest_load = float("inf")
    for pool in rank_pools(service, request):
        least_loaded_pool = least_loaded_pool or pool
        match admit(evolve(request, pool=pool, may_wait=False)):
            case Ok(grant):
                return Ok(grant)
            case Err(AdmissionRefusal(code=code, least_load=least_load)):
                if code == OVER_BOUND and least_load < smallest_load:
                    least_loaded_pool, smallest_load = pool, least_load
    if least_loaded_pool is None:
        return Err(
            AdmissionRefusal(
                request.id,
                NO_ENGINE,
                f"no live engine of service {request.pool.service} is left to try",
                RETRY_AFTER_S,
            )
        )
    return admit(evolve(request, pool=least_loaded_pool, may_exceed_bound=True))


def rank_pools(service: ServiceView, request: AdmissionRequest) -> Iterator[PoolKey]:
    """Yield up to ``MAX_POOLS`` pools: the hinted engine's, then those ranked highest for the chat.

    The ranking is computed only if the hinted engine's pool has refused.
    """
    first: PoolKey | None = None
    hinted = service.runners.get(request.hinted)
    if (
        hinted is not None
        and hinted.serves(request.model)
        and request.hinted not in request.excluded
    ):
        first = service.pools[request.hinted]
        yield first
    ranked = service.rank_pools(request.chat, MAX_POOLS, model=request.model)
    yield from [pool for pool in ranked if pool != first][: MAX_POOLS - (first is not None)]
