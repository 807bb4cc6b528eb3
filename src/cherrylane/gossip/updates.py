"""Updates that a host sends to its peers in several rounds, since a datagram may be lost."""

from typing import Generic, TypeVar

from attrs import define, field

T = TypeVar("T")

# Minimum number of heartbeat rounds that carry each update, since a datagram may be lost.
MIN_GOSSIP_ROUNDS = 3
# Maximum updates in one heartbeat; the rest wait for the next one.
MAX_UPDATES = 16
# Maximum pending updates; beyond that the oldest are dropped.
MAX_PENDING = 400


@define
class _PendingUpdate(Generic[T]):
    update: T
    rounds: int = 0


@define
class UpdateQueue(Generic[T]):
    """Updates that wait to be sent, oldest first, or newest first if ``newest_first``.

    Example::

        queue.add("i-7 leaves")
        queue.take(rounds=4)  # the same update in this and in the next three calls
    """

    newest_first: bool = False
    _pending: list[_PendingUpdate[T]] = field(factory=list)

    def add(self, update: T) -> None:
        """Queue an update; it is the responsibility of the caller not to queue it twice."""
        self._pending.append(_PendingUpdate(update))
        del self._pending[:-MAX_PENDING]

    def take(self, rounds: int = MIN_GOSSIP_ROUNDS, most: int = MAX_UPDATES) -> tuple[T, ...]:
        """Return the updates for the next heartbeat, ``most`` at most.

        Each is sent in at least ``rounds`` rounds.
        """
        batch = self._pending[-most:] if self.newest_first else self._pending[:most]
        for pending in batch:
            pending.rounds += 1
        self._pending = [
            pending for pending in self._pending if pending.rounds < max(MIN_GOSSIP_ROUNDS, rounds)
        ]
        return tuple(pending.update for pending in batch)
