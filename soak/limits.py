"""Request limits that upstreams of a soak name for a while, and the check that they are kept."""

from math import inf

from soak.callers import Exchange
from soak.disturbances import Disturbance
from soak.upstreams import NamedLimit, SoakUpstream

# Any window of so many seconds may hold one and a half times what a limit allows, and a few more.
WINDOW_S = 4.0
EXCESS_SHARE = 1.5
FREE_REQUESTS = 5
# Seconds after the first answer with a limit from which on it must be kept, and after a process has
# passed such an answer on from which on its requests count.
STABLE_S = 3.0
PASSED_ON_S = 0.5


def check_limits(
    history: list[Exchange], upstream: SoakUpstream, disturbances: list[Disturbance]
) -> list[str]:
    """Check that the processes that were told of a limit keep it together.

    Hosts that are frozen meanwhile are excused, and so are all while the link to the upstream is
    disturbed, which delivers late what was sent in time.
    """
    violations = []
    for limit in upstream.limits:
        disturbed = {one.target for one in disturbances if one.overlaps(limit.began, limit.ended)}
        if f"link {upstream.link_port}" in disturbed:
            continue
        count = _count_most(_list_counted(history, upstream, limit, disturbed))
        if count > EXCESS_SHARE * WINDOW_S * limit.requests_per_s + FREE_REQUESTS:
            violations.append(
                f"{upstream.name} named a limit of {limit.requests_per_s} a second and got {count} "
                f"requests in {WINDOW_S:g} s"
            )
    return violations


def _list_counted(
    history: list[Exchange], upstream: SoakUpstream, limit: NamedLimit, disturbed: set[str]
) -> list[float]:
    """Return the arrivals of requests of processes that knew the limit."""
    by_id = {exchange.id: exchange for exchange in history}
    told: dict[tuple[str, int], float] = {}
    for exchange in history:
        is_told = exchange.response.limiting_upstream == upstream.name
        if is_told and limit.is_in_force(exchange.ended):
            process = (exchange.host, exchange.incarnation)
            told[process] = min(exchange.ended, told.get(process, inf))
    counted = []
    for arrived, request_id in upstream.arrivals:
        exchange = by_id[request_id]
        knows_since = told.get((exchange.host, exchange.incarnation), inf) + PASSED_ON_S
        if (
            exchange.host not in disturbed
            and knows_since <= arrived
            and limit.began + STABLE_S <= arrived <= limit.ended
        ):
            counted.append(arrived)
    return sorted(counted)


def _count_most(times: list[float]) -> int:
    """Return how many of the times fall into one window at most."""
    return max(
        (sum(1 for time in times if start <= time < start + WINDOW_S) for start in times), default=0
    )
