"""A quorum lease: held while a majority of a host and its witnesses acknowledges it.

A host may act as home of a pool only while it holds its lease.

A peer's acknowledgement counts for ``lease_s`` from the moment at which the acknowledged probe was
sent, so the lease never outlasts what that peer promised. Two hosts that both need a majority of
one roster cannot both hold a lease once the peers have changed their roster. A host that was paused
finds its lease expired.
"""

from collections.abc import Callable, Iterable
from threading import Lock
from time import monotonic

Clock = Callable[[], float]


class HomeLease:
    """Counts the peers that acknowledged a probe sent within the last ``lease_s`` seconds."""

    def __init__(self, lease_s: float, *, clock: Clock = monotonic) -> None:
        self._lease_s = lease_s
        self._clock = clock
        self._acknowledged: dict[str, float] = {}
        self._peers: frozenset[str] = frozenset()
        self._lock = Lock()

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the hosts whose acknowledgements count: the witnesses of this host."""
        with self._lock:
            self._peers = frozenset(names)
            self._acknowledged = {
                name: sent for name, sent in self._acknowledged.items() if name in self._peers
            }

    def acknowledge(self, name: str, sent_at: float) -> None:
        """Record that peer ``name`` acknowledged a probe that was sent at ``sent_at``."""
        with self._lock:
            if name in self._peers:
                self._acknowledged[name] = max(sent_at, self._acknowledged.get(name, sent_at))

    def is_held(self) -> bool:
        """Return whether a majority of this host and its peers currently supports the lease."""
        earliest = self._clock() - self._lease_s
        with self._lock:
            recent = sum(1 for sent in self._acknowledged.values() if sent > earliest)
            voters = len(self._peers) + 1
        return 2 * (recent + 1) > voters
