"""Asking the pools of a service: which ones for a chat, in which order, and where to wait."""

from collections.abc import Callable

from attrs import evolve
from result import Err, Ok, Result

from cherrylane.limits.work import Ask, Busy, Grant
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import ServiceView

MAX_POOLS = 3
OVER_BOUND = "over_bound"


def choose_pools(service: ServiceView, ask: Ask) -> list[PoolKey]:
    """Return the pools to ask: the hinted engine's, then those of the chat's first engines."""
    names: list[str] = []
    hinted = service.runners.get(ask.hinted)
    if hinted is not None and hinted.serves(ask.model):
        names.append(ask.hinted)
    names += service.rank(ask.chat, MAX_POOLS + len(ask.excluded), model=ask.model)
    pools = [service.pools[name] for name in names if name not in ask.excluded]
    return list(dict.fromkeys(pools))[:MAX_POOLS]


def ask_pools(
    ask: Ask, pools: list[PoolKey], admit: Callable[[Ask], Result[Grant, Busy]]
) -> Result[Grant, Busy]:
    """Ask ``pools`` in turn for a grant within the bound.

    When none gives one, asks the pool that named the smallest load to take the request anyway:
    by the loads of three pools it is where least is carried. There the request may wait.
    """
    if len(pools) == 1:
        return admit(evolve(ask, pool=pools[0]))
    smallest = pools[0]
    smallest_load = float("inf")
    for pool in pools:
        match admit(evolve(ask, pool=pool, may_wait=False)):
            case Ok(grant):
                return Ok(grant)
            case Err(Busy(code=code, least_load=least_load)):
                if code == OVER_BOUND and least_load < smallest_load:
                    smallest, smallest_load = pool, least_load
    return admit(evolve(ask, pool=smallest, may_round=True))
