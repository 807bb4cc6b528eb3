"""Failure detection: which hosts have sent probes recently, and which were declared dead.

Each host has witnesses: a few other hosts of its site, selected by rendezvous hashing of its name.
It probes them, and their acknowledgements support its lease. A witness that has received no probe
from a host for ``suspect_after_s`` queries the other witnesses. Once a majority of the host
and its witnesses has declared this incarnation dead, none of them acknowledges it again. So its
lease has expired for good, and it can be removed from the roster.
"""

from collections.abc import Callable, Iterable
from threading import Lock
from time import monotonic

from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.peer.identity import PeerIdentity
from cherrylane.routing.rendezvous import RendezvousTable, hash_text

WITNESS_COUNT = 7

Clock = Callable[[], float]


def find_witnesses(name: str, site: str, roster: Roster) -> list[HostRecord]:
    """Return the hosts that watch host ``name``, at most ``WITNESS_COUNT``."""
    others = [
        host.name for host in roster.hosts.values() if host.site == site and host.name != name
    ]
    ranked = RendezvousTable(others).rank(hash_text(name), WITNESS_COUNT)
    return [roster.hosts[witness] for witness in ranked]


class FailureDetector:
    """Records when each watched incarnation was last acknowledged, and which were declared dead.

    Holders are ``<name>/<incarnation>`` texts, which identify one incarnation of a host.
    """

    def __init__(self, suspect_after_s: float, *, clock: Clock = monotonic) -> None:
        self._suspect_after_s = suspect_after_s
        self._clock = clock
        self._acknowledged: dict[str, float] = {}
        self._dead: set[str] = set()
        self._lock = Lock()

    def watch(self, holders: Iterable[str]) -> None:
        """Set the watched holders; a new one counts as acknowledged now."""
        with self._lock:
            now = self._clock()
            self._acknowledged = {holder: self._acknowledged.get(holder, now) for holder in holders}

    def acknowledge(self, identity: PeerIdentity) -> bool:
        """Record a probe from ``identity``; returns False if it was declared dead."""
        with self._lock:
            if identity.holder in self._dead:
                return False
            if identity.holder in self._acknowledged:
                self._acknowledged[identity.holder] = self._clock()
            return True

    def find_suspects(self) -> list[str]:
        """Return the watched holders that sent no probe for ``suspect_after_s`` seconds."""
        earliest = self._clock() - self._suspect_after_s
        with self._lock:
            return [
                holder
                for holder, acknowledged_at in self._acknowledged.items()
                if acknowledged_at < earliest
            ]

    def declare_dead_if_silent(self, holder: str) -> bool:
        """Declare ``holder`` dead unless it sent a probe recently; returns whether it is dead.

        A holder that is not watched is not declared dead.
        """
        earliest = self._clock() - self._suspect_after_s
        with self._lock:
            if holder in self._dead:
                return True
            if self._acknowledged.get(holder, self._clock()) >= earliest:
                return False
            self._dead.add(holder)
            return True
