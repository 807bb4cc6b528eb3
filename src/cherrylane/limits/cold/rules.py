"""How many requests a cold upstream may get, and how many hosts share them."""

from math import floor

from attrs import frozen

# Fraction of an upstream's rate that is shared among hosts.
RATE_SHARE_USED = 0.85
# Fraction of the margin between that and the bound which the hosts' buckets may use at once. The
# rest is for hosts whose view of the fleet or of the upstream differs.
MARGIN_SHARE_USED = 0.6


@frozen
class ColdBounds:
    """The platform's bound, as a multiple of an upstream's rate and a number of requests."""

    overage: float
    slack: float


@frozen
class ColdRule:
    """What holds for the cold upstreams of a service.

    An upstream is cold for ``start_s`` seconds after its start, and meanwhile takes ``per_s``
    requests a second.

    Example::

        rule = ColdRule(start_s=3.0, per_s=14.0, bounds=ColdBounds(overage=1.5, slack=5.0))
        rule.most_per_s, rule.used_per_s, rule.sharers  # 26.0, 11.9, 8
    """

    start_s: float
    per_s: float
    bounds: ColdBounds

    @property
    def most_per_s(self) -> float:
        """The most requests that an upstream may get in any second, from all hosts together."""
        return self.per_s * self.bounds.overage + self.bounds.slack

    @property
    def used_per_s(self) -> float:
        """The rate that the sharing hosts use together."""
        return max(0.0, min(RATE_SHARE_USED * self.per_s, self.most_per_s - 1.0))

    @property
    def sharers(self) -> int:
        """How many hosts share the rate; the bucket of each holds one request."""
        return max(1, floor(MARGIN_SHARE_USED * (self.most_per_s - self.used_per_s)))
