"""Memory of upstreams that leave or have left, which no other source of knowledge may undo.

An upstream that has said that it leaves takes no work any more: not when a list of the store is
older than what it said in an answer, and not when the store comes back from an older copy that
still lists it as ready. An upstream is identified by its name and incarnation, since it may start
again under the same name.
"""

from attrs import define, field, frozen

# Seconds for which a departed upstream is remembered; a copy from which the store comes back is at
# most some seconds old.
MEMORY_S = 120.0


@frozen
class _Departure:
    incarnation: int
    noted_at: float


@define
class Departures:
    """The upstreams that are leaving, and those whose entries were deleted; times are in seconds.

    Example::

        departures.record_leaving("i-7", incarnation=1700000000000, now=12.0)
        departures.is_leaving("i-7", incarnation=1700000000000)  # True
    """

    _leaving: dict[str, _Departure] = field(factory=dict)
    _deleted: dict[str, _Departure] = field(factory=dict)

    def record_leaving(self, name: str, incarnation: int, now: float) -> None:
        """Record that an upstream has said that it leaves."""
        self._leaving[name] = _Departure(incarnation, now)

    def is_leaving(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation has said that it leaves, which is final."""
        departure = self._leaving.get(name)
        return departure is not None and departure.incarnation == incarnation

    def record_deleted(self, name: str, incarnation: int, now: float) -> None:
        """Record that an upstream's entry is gone; forgets departures of long ago."""
        self._deleted[name] = _Departure(incarnation, now)
        for departures in (self._leaving, self._deleted):
            for other in [key for key, old in departures.items() if now - old.noted_at > MEMORY_S]:
                del departures[other]

    def was_deleted(self, name: str, incarnation: int) -> bool:
        """Return whether the entry of this incarnation was seen to be gone."""
        departure = self._deleted.get(name)
        return departure is not None and departure.incarnation == incarnation
