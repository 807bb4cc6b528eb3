"""Which hosts were heard from lately, and which were given up.

Each host has witnesses: a few others of its site, the best by rendezvous hash for its name. It
probes them, and their acknowledgements make its lease. A witness that has not acknowledged a host
for ``suspect_after_s`` asks the others. Once most of host and witnesses have given it up, none of
them acknowledges that run of the host again, so its lease has lapsed for good and it may be taken
out of the roster.
"""

from collections.abc import Callable
from threading import Lock
from time import monotonic

from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.peer.identity import PeerIdentity
from cherrylane.routing.rendezvous import RendezvousTable, hash_text

WITNESS_COUNT = 7

Clock = Callable[[], float]


def find_witnesses(name: str, site: str, roster: Roster) -> list[HostRecord]:
    """Return the hosts that watch host ``name``."""
    others = [
        host.name for host in roster.hosts.values() if host.site == site and host.name != name
    ]
    best = RendezvousTable(others).rank(hash_text(name), WITNESS_COUNT)
    return [roster.hosts[witness] for witness in best]


class FailureDetector:
    """Remembers when each run of a host was acknowledged last, and which were given up."""

    def __init__(self, suspect_after_s: float, *, clock: Clock = monotonic) -> None:
        self._suspect_after_s = suspect_after_s
        self._clock = clock
        self._acknowledged: dict[str, float] = {}
        self._given_up: set[str] = set()
        self._lock = Lock()

    def watch(self, holders: set[str]) -> None:
        """Set the runs that are watched; a new one counts as heard at this moment."""
        with self._lock:
            now = self._clock()
            self._acknowledged = {holder: self._acknowledged.get(holder, now) for holder in holders}

    def acknowledge(self, identity: PeerIdentity) -> bool:
        """Record a probe from ``identity``; False when it was given up."""
        with self._lock:
            if identity.holder in self._given_up:
                return False
            if identity.holder in self._acknowledged:
                self._acknowledged[identity.holder] = self._clock()
            return True

    def find_suspects(self) -> list[str]:
        """Return the watched runs that were not heard from for too long."""
        oldest = self._clock() - self._suspect_after_s
        with self._lock:
            return [holder for holder, heard in self._acknowledged.items() if heard < oldest]

    def declare_dead_if_silent(self, holder: str) -> bool:
        """Give ``holder`` up unless it was heard from lately; True when it is given up."""
        oldest = self._clock() - self._suspect_after_s
        with self._lock:
            if holder in self._given_up:
                return True
            if self._acknowledged.get(holder, self._clock()) >= oldest:
                return False
            self._given_up.add(holder)
            return True
