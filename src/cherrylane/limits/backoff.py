"""Upstreams that have asked this host, by Retry-After, to send nothing for a while.

The time is binding for the host that was asked: it sends nothing, not even a retry or a request for
which no other upstream is left. Other hosts learn of it by heartbeat and prefer other upstreams
meanwhile, since the upstream has not asked them.
"""

from collections.abc import Iterable

from attrs import define, field

# Longest time, in seconds, that an upstream may ask for.
MAX_BACKOFF_S = 24 * 3600.0


@define
class BackoffTracker:
    """The end of each upstream's backoff, in seconds of the clock that gives ``now``.

    Upstreams are told apart by name and incarnation: one that has restarted has not asked for
    anything, and one that is listed again after a while has.

    Example::

        backoffs.record("i-7", 1, seconds=2.5, now=10.0)
        backoffs.is_backing_off("i-7", 1, now=12.0)  # True
    """

    _until: dict[tuple[str, int], float] = field(factory=dict)
    _peers_until: dict[str, float] = field(factory=dict)

    def record(self, name: str, incarnation: int, seconds: float, now: float) -> None:
        """Record that an upstream wants nothing from this host for ``seconds``."""
        key = (name, incarnation)
        until = now + min(seconds, MAX_BACKOFF_S)
        self._until = {other: end for other, end in self._until.items() if end > now}
        self._until[key] = max(until, self._until.get(key, until))

    def record_peer(self, name: str, seconds: float, now: float) -> None:
        """Record that an upstream wants nothing from a peer for ``seconds``."""
        self._peers_until = {other: end for other, end in self._peers_until.items() if end > now}
        self._peers_until[name] = now + min(seconds, MAX_BACKOFF_S)

    def is_backing_off(self, name: str, incarnation: int, now: float) -> bool:
        """Return whether nothing may be sent to an upstream from this host."""
        return self._until.get((name, incarnation), now) > now

    def is_peer_backing_off(self, name: str, now: float) -> bool:
        """Return whether an upstream wants nothing from a peer, so that others are preferred."""
        return self._peers_until.get(name, now) > now

    def find_first_end(self, upstreams: Iterable[tuple[str, int]], now: float) -> float:
        """Return in how many seconds the first of ``upstreams`` may be sent requests again."""
        return min((max(0.0, self._until.get(key, now) - now) for key in upstreams), default=0.0)

    def list_active(self, now: float) -> list[tuple[str, float]]:
        """Return the upstreams that want nothing from this host, with the seconds left."""
        return [(name, end - now) for (name, _), end in self._until.items() if end > now]
