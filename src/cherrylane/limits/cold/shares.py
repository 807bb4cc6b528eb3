"""Which hosts may send requests to a cold upstream, by the hosts that this one has ever known.

The first hosts in the upstream's rendezvous order share its rate. Hosts may know different ones, so
liveness must not matter: both sides of a partition have to find the same hosts. As long as a host
knows all that are live, further ones that are gone only make it rank lower. So the hosts with a
share are never more than intended, and the shares of those that are gone are unused.
"""

from collections.abc import Iterable

from attrs import define, field

from cherrylane.limits.cold.rules import ColdRule
from cherrylane.placement.ranking import rank_names

# Seconds between the first read of the host registry and the one after which a host takes part.
# Hosts that start together read a registry in which the others are still missing, and the others
# read it once in at most 9.6 seconds.
JOIN_DELAY_S = 10.0
# Seconds after which a host that is neither registered nor live no longer counts. Meanwhile a
# partition may have made the other side delete its entry.
ABSENCE_LIMIT_S = 3600.0


@define
class ColdShares:
    """The known hosts, and this host's share of the rate of a cold upstream.

    Example::

        shares = ColdShares("10.0.0.1")
        shares.record_registry({"10.0.0.1", "10.0.0.2"}, live=set(), now=1.0)
        shares.record_registry({"10.0.0.1", "10.0.0.2"}, live=set(), now=12.0)
        shares.find_rate("i-7", rule)  # half of what is used of the rate
    """

    own: str
    has_joined: bool = False
    _first_read_at: float | None = None
    _hosts: set[str] = field(factory=set)
    _absent_since: dict[str, float] = field(factory=dict)
    _dropped: set[str] = field(factory=set)

    def record_known(self, addresses: Iterable[str]) -> bool:
        """Record hosts that this one has heard of; returns whether the known ones have changed."""
        new = {address for address in addresses if address not in self._hosts} - self._dropped
        self._hosts |= new
        return bool(new)

    def record_registry(self, listed: Iterable[str], live: Iterable[str], now: float) -> None:
        """Record a read of the host registry, with the hosts that are live then."""
        present = {*listed, *live}
        if self._first_read_at is None:
            self._first_read_at = now
        elif now - self._first_read_at >= JOIN_DELAY_S:
            self.has_joined = True
        self._hosts |= present
        self._dropped -= present
        for address in self._hosts:
            if address in present:
                self._absent_since.pop(address, None)
            elif now - self._absent_since.setdefault(address, now) > ABSENCE_LIMIT_S:
                self._dropped.add(address)
                del self._absent_since[address]
        self._hosts -= self._dropped

    def find_rate(self, upstream: str, rule: ColdRule) -> float:
        """Return the requests a second that this host may send, 0 if it has no share."""
        if not self.has_joined:
            return 0.0
        # The name alone is the key, since hosts may know different incarnations.
        sharers = rank_names(f"cold {upstream}", self._hosts | {self.own})[: rule.sharers]
        return rule.used_per_s / len(sharers) if self.own in sharers else 0.0
