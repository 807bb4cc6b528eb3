"""Estimates of what requests will meet at upstreams on shared machines.

The loads that peers report are late. Where requests end faster than reports arrive, a choice by
them sends all hosts to the upstream that had the least load a second ago, and its queue grows until
the next reports arrive; a choice at random is better then. So differences between late loads count
only as far as the requests behind them still run. The figures in an upstream's own last response
replace them while they are recent.
"""

from collections.abc import Sequence
from math import exp

from cherrylane.placement.choice import Candidate
from cherrylane.placement.loads import NO_LOAD, LoadTracker
from cherrylane.placement.speeds import SpeedTracker

# Mean age of peers' loads as a share of their lifetime, which is two sweeps of heartbeats.
MEAN_AGE_SHARE = 0.25


def estimate_completions(
    candidates: Sequence[Candidate],
    load_tracker: LoadTracker,
    speeds: SpeedTracker,
    hold_s: float,
    now: float,
) -> list[Candidate]:
    """Return the candidates with their speeds and the requests expected to be there now.

    ``hold_s`` is how long a request occupies an upstream.
    """
    own = load_tracker.own
    own_requests = [own.get(one.upstream.name, NO_LOAD).requests for one in candidates]
    late = [one.load.requests - count for one, count in zip(candidates, own_requests, strict=True)]
    mean = sum(late) / len(late)
    share = _find_running_share(hold_s, load_tracker.lifetime_s * MEAN_AGE_SHARE)
    return [
        Candidate(
            one.upstream,
            one.load,
            speed=speeds.get_speed(one.upstream.key, now),
            # What this host has sent may not have been there at the last response.
            expected_requests=count
            + speeds.estimate_requests(one.upstream.key, mean + share * (known - mean), now),
        )
        for one, count, known in zip(candidates, own_requests, late, strict=True)
    ]


def _find_running_share(hold_s: float, age_s: float) -> float:
    """Return the share of requests in loads of this age that still run."""
    return exp(-age_s / hold_s) if hold_s > 0 else 0.0
