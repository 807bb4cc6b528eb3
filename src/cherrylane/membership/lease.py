"""The lease under which a host may act as home: it was heard by most of its site's hosts lately.

A host's lease runs ``lease_s`` from the moment it sent the probe that a peer answered, so it
never outlives what that peer promised. Two hosts that both need most of one roster cannot both
hold a lease once the peers have changed their roster; a paused host finds its lease lapsed.
"""

from collections.abc import Callable, Iterable
from threading import Lock
from time import monotonic

Clock = Callable[[], float]


class HomeLease:
    """Counts which peers acknowledged this host within the last ``lease_s`` seconds."""

    def __init__(self, lease_s: float, *, clock: Clock = monotonic) -> None:
        self._lease_s = lease_s
        self._clock = clock
        self._acknowledged: dict[str, float] = {}
        self._peers: frozenset[str] = frozenset()
        self._lock = Lock()

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the other hosts of the site whose acknowledgement counts."""
        with self._lock:
            self._peers = frozenset(names)
            self._acknowledged = {
                name: sent for name, sent in self._acknowledged.items() if name in self._peers
            }

    def acknowledge(self, name: str, sent_at: float) -> None:
        """Record that peer ``name`` answered a probe that was sent at ``sent_at``."""
        with self._lock:
            if name in self._peers:
                self._acknowledged[name] = max(sent_at, self._acknowledged.get(name, sent_at))

    def is_held(self) -> bool:
        """Say whether this host may act as home at this moment."""
        oldest = self._clock() - self._lease_s
        with self._lock:
            heard = sum(1 for sent in self._acknowledged.values() if sent > oldest)
            electorate = len(self._peers) + 1
        return 2 * (heard + 1) > electorate
