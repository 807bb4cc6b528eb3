"""The recent demand for an upstream whose request limit is lower than what hosts would send it.

A limit counts requests, whatever they cost. It is used best for those that gain the most from this
upstream, which are chats with a long prompt that is cached there and nowhere with room. For these a
token is kept in reserve; all others take tokens beyond it.
"""

from collections import deque

from attrs import define, field

# Seconds over which demand is counted.
WINDOW_S = 5.0


@define
class RecentDemand:
    """The gains, in prompt tokens that need not be prefilled, of a host's recent requests.

    Example::

        demand = RecentDemand()
        demand.record(gain=10_512, now=10.0)
        demand.record(gain=0, now=10.1)
        demand.is_preferred(gain=10_512, requests_per_s=0.5, now=10.2)  # True
        demand.is_preferred(gain=0, requests_per_s=0.3, now=10.2)  # False
    """

    _gains: deque[tuple[float, int]] = field(factory=deque)

    def record(self, gain: int, now: float) -> None:
        """Record a request that could be sent to the upstream."""
        self._gains.append((now, gain))
        self._drop_old(now)

    def is_preferred(self, gain: int, requests_per_s: float, now: float) -> bool:
        """Return whether a request is among the few that gain the most, as the rate lets pass."""
        self._drop_old(now)
        if gain <= 0:
            count = len(self._gains)
        else:
            count = sum(1 for _, other in self._gains if other >= gain)
        return count <= requests_per_s * WINDOW_S

    def _drop_old(self, now: float) -> None:
        while self._gains and now - self._gains[0][0] > WINDOW_S:
            self._gains.popleft()
