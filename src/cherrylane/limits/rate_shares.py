"""This host's share of a request rate that holds for all hosts together.

A rate of a few requests a second cannot be divided among hundreds of hosts: an equal share would be
one request in a minute, and hosts whose tokens had piled up could spend them all at once. So only a
few hosts, the first in the upstream's rendezvous order, share a rate. They are about as many as the
rate lets pass in a second, so that all their buckets together hold two seconds' worth of requests.
Every host computes the same ones from the live hosts, without any messages.
"""

from collections.abc import Iterable
from math import floor

from attrs import define

from cherrylane.placement.ranking import rank_names

# Fraction of a limit that is used; the rest is for requests of hosts that do not know it yet.
LIMIT_SHARE_USED = 0.95
# Rate in requests a second at which an upstream that takes nothing is asked whether it still does.
RECHECK_RATE = 0.05
# A host shares a limit for each request that it lets pass in so many seconds.
SHARED_S = 1.0
# Tokens that a bucket holds beside the reserve, and seconds of its rate that it holds beside these.
BASE_TOKENS = 1.0
BURST_S = 0.1
# Tokens that are kept for the requests that gain the most from an upstream.
RESERVED_TOKENS = 1.0


@define
class TokenBucket:
    """Tokens for requests: ``rate`` is how many a second are added, 0 for none.

    It holds ``BASE_TOKENS``, ``reserved_tokens`` and those of ``burst_s`` seconds.

    Example::

        bucket = TokenBucket(rate=0.5, filled_at=10.0)
        bucket.find_wait(now=11.0)  # 1.0
        bucket.withdraw(now=12.0)
    """

    rate: float
    filled_at: float
    tokens: float = 0.0
    reserved_tokens: float = RESERVED_TOKENS
    burst_s: float = BURST_S

    @property
    def capacity(self) -> float:
        """The most tokens that the bucket holds."""
        if self.rate <= 0:
            return 0.0
        return self.reserved_tokens + BASE_TOKENS + self.burst_s * self.rate

    def find_wait(self, now: float, *, is_preferred: bool = True) -> float:
        """Return the seconds until there is a token, infinite if there never is.

        Requests that are not preferred leave the reserve.
        """
        self._fill(now)
        needed = 1.0 if is_preferred else 1.0 + self.reserved_tokens
        if self.tokens >= needed:
            return 0.0
        return (needed - self.tokens) / self.rate if self.rate > 0 else float("inf")

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; a bucket that gets no tokens any more loses those that it has."""
        self._fill(now)
        self.rate = rate
        self.tokens = min(self.tokens, self.capacity)

    def withdraw(self, now: float) -> None:
        """Take a token; one that is not there yet is owed."""
        self._fill(now)
        self.tokens -= 1.0

    def _fill(self, now: float) -> None:
        added = self.rate * max(0.0, now - self.filled_at)
        self.tokens = min(self.capacity, self.tokens + added)
        self.filled_at = now


def count_sharers(rate: float) -> int:
    """Return how many hosts share a rate, if there are so many."""
    return floor(rate * SHARED_S) + 1


def find_share(own: str, hosts: Iterable[str], key: str, rate: float) -> float:
    """Return the part of a rate, in requests a second, that the host ``own`` may use.

    ``hosts`` are all live hosts with this one; ``key`` identifies the upstream.

    Example::

        find_share("a", ["a", "b", "c"], "i-7", rate=12.0)  # 3.8
    """
    sharers = rank_names(key, hosts)[: count_sharers(rate)]
    if own not in sharers:
        return 0.0
    return max(rate * LIMIT_SHARE_USED, RECHECK_RATE) / len(sharers)
