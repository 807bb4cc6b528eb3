"""Who is admitted when a service takes a fixed rate of requests that is lower than what arrives.

Requests of one rank are admitted as far as the rate is not needed for more urgent ones, so that
these are not refused because a less urgent request came first.
"""

from collections import Counter, deque
from random import Random

from attrs import define, field

# Seconds over which arrivals are counted.
WINDOW_S = 2.0


@define
class RankedArrivals:
    """The recent arrivals of one service's requests by rank; rank 0 is the most urgent.

    Example::

        arrivals = RankedArrivals()
        arrivals.record(rank=2, now=10.0)
        arrivals.is_admitted(rank=2, requests_per_s=4.0)
    """

    random: Random = field(factory=Random)
    _arrivals: deque[tuple[float, int]] = field(factory=deque)
    _counts: Counter[int] = field(factory=Counter)

    def record(self, rank: int, now: float) -> None:
        """Record that a request arrives."""
        self._arrivals.append((now, rank))
        self._counts[rank] += 1
        while now - self._arrivals[0][0] > WINDOW_S:
            _, oldest = self._arrivals.popleft()
            self._counts[oldest] -= 1

    def is_admitted(self, rank: int, requests_per_s: float) -> bool:
        """Return whether a request is admitted where ``requests_per_s`` can be served.

        Where the rate is enough for a part of the requests of a rank, they are drawn at random.
        """
        urgent = sum(count for other, count in self._counts.items() if other < rank)
        left = requests_per_s * WINDOW_S - urgent
        return self.random.random() * self._counts[rank] < left
