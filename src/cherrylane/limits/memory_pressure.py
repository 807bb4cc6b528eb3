"""Which callers yield when responses that nobody reads fill the memory of a process.

Callers that read slowly are outside anyone's control, and each may keep megabytes waiting. The one
whose unread bytes would take longest to leave at its own pace yields first. A caller that reads at
a sound pace, or that keeps little waiting, never yields for the sake of others.
"""

from collections.abc import Callable
from enum import Enum

from attrs import define, field

# Bytes per second from which on a caller reads at a sound pace: 4 MB within about a minute.
SOUND_BYTES_PER_S = 64 * 1024
# Bytes up to which a caller yields only after all slow callers with more, and bytes up to which it
# never yields. Answers of ordinary callers have a few kilobytes.
SMALL_BYTES = 64 * 1024
NEGLIGIBLE_BYTES = 8 * 1024
# Seconds for which a caller has to be behind before its pace is judged; less would judge a pause of
# its network.
JUDGED_AFTER_S = 1.0
# Seconds without a byte taken after which a response is given up.
UNREAD_TIMEOUT_S = 30.0
# Weight of the newest measurement in the moving average of a pace. At four measurements a second it
# covers about a second.
PACE_WEIGHT = 0.25
# Shares of the limit: from the first on, responses are received only as fast as they are passed on;
# at the second, new requests are refused; below the third, what was stopped at the limit goes on.
TIGHT_SHARE = 0.6
REFUSED_SHARE = 0.9
RESUMED_SHARE = 0.85
# Share of the limit that the callers of one address may hold together.
CLIENT_SHARE = 0.6
# Seconds at the limit without any change after which the largest response is given up, whoever
# reads it: it and others each wait for memory that only their ends would free.
STUCK_S = 2.0


class CutReason(Enum):
    """Why a response is given up."""

    SLOW = "slowest reader while memory is short"
    CLIENT = "slowest reader of an address that holds too much"
    UNREAD = "no byte taken in time"
    STUCK = "largest response while no memory becomes free"
    DESCRIPTORS = "too many open connections"
    WHOLE = "no memory for what is unread of a whole response"


@define(eq=False)
class Client:
    """The callers of one address."""

    address: str
    held: int = 0
    readers: int = 0


@define(eq=False)
class Reader:
    """A caller's connection: the memory held for it, and how fast it reads.

    ``held`` is all that is held for it, ``unread`` what was written and has not been received at
    the last measurement. ``behind_since`` is None while nothing waits in this process. ``cut`` ends
    the connection.
    """

    client: Client
    cut: Callable[[], None]
    held: int = 0
    unread: int = 0
    pace: float = 0.0
    behind_since: float | None = None
    measured_at: float = 0.0
    taken_at: float = 0.0
    is_cut: bool = False

    def begin(self, unread: int, now: float) -> None:
        """Record that bytes wait for the caller in this process from now on."""
        self.behind_since = self.measured_at = self.taken_at = now
        self.unread = unread
        self.pace = 0.0

    def measure(self, unread: int, written: int, now: float) -> None:
        """Record how much is unread after ``written`` bytes more; keeps the pace."""
        taken = self.unread + written - unread
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0:
            return
        is_first = self.measured_at == self.behind_since
        pace = max(0, taken) / elapsed_s
        self.pace += (1.0 if is_first else PACE_WEIGHT) * (pace - self.pace)
        self.unread = unread
        self.measured_at = now
        if taken > 0:
            self.taken_at = now

    @property
    def is_slow(self) -> bool:
        """Whether the caller has been behind for long enough, and reads below a sound pace."""
        return (
            self.behind_since is not None
            and not self.is_cut
            and self.measured_at - self.behind_since >= JUDGED_AFTER_S
            and self.pace < SOUND_BYTES_PER_S
        )

    @property
    def cost(self) -> tuple[bool, float]:
        """What orders slow readers: those with more than little, then by the seconds left.

        The seconds are those in which the caller would take what is held for it, at its pace.
        """
        return self.held > SMALL_BYTES, self.held / max(1.0, self.pace)


@define
class MemoryPressure:
    """The memory held for all callers, and who yields when it is short.

    Example::

        pressure = MemoryPressure(limit_bytes=34_000_000)
        reader = pressure.open("192.0.2.7", cut=connection.cut)
        pressure.relieve()
    """

    limit_bytes: int
    held_bytes: int = 0
    readers: set[Reader] = field(factory=set)
    on_cut: Callable[[CutReason, Reader], None] = lambda reason, reader: None
    _clients: dict[str, Client] = field(factory=dict)
    # Those that were cut and still hold something.
    _ending: set[Reader] = field(factory=set)
    _changed_at: float = 0.0
    _held_before: int = 0

    def open(self, address: str, cut: Callable[[], None]) -> Reader:
        """Return the reader of a new connection from ``address``."""
        client = self._clients.setdefault(address, Client(address))
        client.readers += 1
        reader = Reader(client, cut)
        self.readers.add(reader)
        return reader

    def close(self, reader: Reader) -> None:
        """Forget a connection that has ended."""
        if reader not in self.readers:
            return
        self.readers.remove(reader)
        self._ending.discard(reader)
        reader.client.readers -= 1
        if not reader.client.readers:
            del self._clients[reader.client.address]

    @property
    def is_tight(self) -> bool:
        """Whether responses are received only as fast as they are passed on."""
        return self.held_bytes > self.limit_bytes * TIGHT_SHARE

    @property
    def is_full(self) -> bool:
        """Whether nothing more may be received."""
        return self.held_bytes > self.limit_bytes

    @property
    def is_within_limit(self) -> bool:
        """Whether the limit holds once those that were cut have ended."""
        return self._remaining_bytes <= self.limit_bytes

    @property
    def can_resume(self) -> bool:
        """Whether what was stopped at the limit may go on."""
        return self.held_bytes < self.limit_bytes * RESUMED_SHARE

    def admits(self, reader: Reader | None) -> bool:
        """Return whether a new request's response can be held; slow callers yield to it."""
        if not self._has_room(reader):
            self.relieve(lambda: self._has_room(reader))
        return self._has_room(reader)

    def _has_room(self, reader: Reader | None) -> bool:
        if reader is not None and reader.client.held > self.limit_bytes * CLIENT_SHARE:
            return False
        return self._remaining_bytes < self.limit_bytes * REFUSED_SHARE

    @property
    def _remaining_bytes(self) -> int:
        """What is held without what readers that were cut still hold."""
        return self.held_bytes - sum(reader.held for reader in self._ending)

    def relieve(self, is_enough: Callable[[], bool] | None = None) -> bool:
        """Cut slow readers until there is enough memory; return whether there is."""
        self._relieve_clients()
        enough = is_enough or (lambda: self._remaining_bytes < self.limit_bytes * RESUMED_SHARE)
        slow = sorted(self._list_slow(), key=lambda reader: reader.cost)
        while not enough() and slow:
            self.cut(slow.pop(), CutReason.SLOW)
        return enough()

    def _relieve_clients(self) -> None:
        limit = self.limit_bytes * CLIENT_SHARE
        crowded = {client for client in self._clients.values() if client.held > limit}
        if not crowded:
            return
        slow = sorted(self._list_slow(), key=lambda reader: reader.cost)
        remaining = {client: client.held for client in crowded}
        for reader in self._ending:
            if reader.client in crowded:
                remaining[reader.client] -= reader.held
        for reader in reversed(slow):
            if remaining.get(reader.client, 0) > limit:
                remaining[reader.client] -= reader.held
                self.cut(reader, CutReason.CLIENT)

    def cut_for_descriptor(self) -> bool:
        """Cut the slowest reader for the sake of a new connection; return whether there is one."""
        slow = [reader for reader in self.readers if reader.is_slow]
        if slow:
            self.cut(max(slow, key=lambda reader: reader.cost), CutReason.DESCRIPTORS)
        return bool(slow)

    def review(self, now: float) -> None:
        """Cut who has to yield by now; called a few times a second, after the measurements."""
        for reader in [one for one in self.readers if one.behind_since is not None]:
            if not reader.is_cut and now - reader.taken_at >= UNREAD_TIMEOUT_S:
                self.cut(reader, CutReason.UNREAD)
        if self.held_bytes != self._held_before or not self.is_full:
            self._changed_at = now
        self._held_before = self.held_bytes
        if not self.is_full:
            self._relieve_clients()
        elif not self.relieve() and now - self._changed_at >= STUCK_S:
            self._cut_largest()

    def _cut_largest(self) -> None:
        uncut = [reader for reader in self.readers if not reader.is_cut]
        largest = max(uncut, key=lambda reader: reader.held, default=None)
        if largest is not None and largest.held > SMALL_BYTES:
            self.cut(largest, CutReason.STUCK)

    def _list_slow(self) -> list[Reader]:
        slow = [reader for reader in self.readers if reader.is_slow]
        return [reader for reader in slow if reader.held > NEGLIGIBLE_BYTES]

    def cut(self, reader: Reader, reason: CutReason) -> None:
        """End a reader's connection."""
        reader.is_cut = True
        self._ending.add(reader)
        self.on_cut(reason, reader)
        reader.cut()
