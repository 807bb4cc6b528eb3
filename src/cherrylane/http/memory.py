"""The memory account of a process: what it holds of requests and responses, for all of them.

Each body and each event has a limit of its own, but many at once may exceed the memory of the host.
What one body may hold is a share of what is still free (dynamic thresholds; Choudhury and Hahne,
1998): many large bodies leave room for others, and the largest is the first that may not grow.
Streams are not refused memory; they are received only while there is some. Callers that read slowly
yield to others, as ``limits/memory_pressure.py`` decides.
"""

from collections.abc import Callable
from enum import IntEnum
from time import monotonic
from typing import Protocol

from attrs import define, field

from cherrylane.limits.memory_pressure import SMALL_BYTES, MemoryPressure, Reader

# Share of the memory that is still free which one body may hold.
SHARE_OF_FREE = 0.25
# Least share of a process's memory for the account, and its share of what the process has not taken
# when it starts. The rest is for copies while data is passed on, for what the allocator cannot
# reuse and for what the process learns later. A crowd of 200 slow streams took twice the account.
SHARE_OF_MEMORY = 0.25
SHARE_OF_REST = 0.4
# Bytes of a response that is being passed on which are not counted: most events are smaller, and
# counting each twice took a tenth more processor time.
UNCOUNTED_BYTES = 4 * 1024
DEFAULT_MEMORY_BYTES = 300 * 1024 * 1024


class Held(IntEnum):
    """What memory is held for."""

    REQUEST = 0
    ANSWER = 1
    RECEIVED = 2
    EVENTS = 3
    UNSENT = 4


class Source(Protocol):
    """A connection from which responses are received."""

    def update_reading(self) -> None:
        """Stop or go on receiving, as the memory account says."""


class Sink(Protocol):
    """A connection with bytes that its caller has not taken yet."""

    def measure(self, now: float) -> None:
        """Record how much the caller has taken since the last measurement."""


@define
class MemoryAccount:
    """The memory for requests and responses, and how much of it is held.

    Example::

        account = MemoryAccount(limit_bytes=75_000_000)
        held = account.open()
        held.grow(1_200_000)  # True
        held.release()
    """

    limit_bytes: int = int(DEFAULT_MEMORY_BYTES * SHARE_OF_MEMORY)
    pressure: MemoryPressure = field(init=False)
    sources: set[Source] = field(factory=set)
    sinks: set[Sink] = field(factory=set)
    read_time: Callable[[], float] = monotonic
    held_by_kind: list[int] = field(factory=lambda: [0] * len(Held))
    # Whether nothing is received until memory has become free.
    is_stopped: bool = False

    @pressure.default
    def _make_pressure(self) -> MemoryPressure:
        return MemoryPressure(self.limit_bytes)

    @property
    def held_bytes(self) -> int:
        """The bytes held."""
        return self.pressure.held_bytes

    def open(self, reader: Reader | None = None, kind: Held = Held.ANSWER) -> "HeldMemory":
        """Return memory of one more body or queue, which holds nothing yet, for a caller."""
        return HeldMemory(self, reader, kind)

    def admits(self, reader: Reader | None) -> bool:
        """Return whether the response to a new request can be held; slow callers yield to it."""
        return self.pressure.admits(reader)

    def can_keep(self) -> bool:
        """Return whether what is held already may be kept, after slow callers have yielded."""
        return self.pressure.is_within_limit or self.pressure.relieve(
            lambda: self.pressure.is_within_limit
        )

    def check(self) -> None:
        """Stop receiving if the account is full; called when something was received."""
        if not self.is_stopped and self.pressure.is_full:
            self.is_stopped = True
            self._update_sources()
            self.pressure.relieve()

    def review(self) -> None:
        """Measure the callers that are behind, and cut those that have to yield by now."""
        now = self.read_time()
        for sink in list(self.sinks):
            sink.measure(now)
        self.pressure.review(now)

    def resume(self) -> None:
        """Go on receiving."""
        self.is_stopped = False
        self._update_sources()

    def _update_sources(self) -> None:
        for source in list(self.sources):
            source.update_reading()


@define(eq=False)
class HeldMemory:
    """The memory that a body or a queue holds, or several of one request.

    Once released, it holds nothing and never grows: attempts of a request may be cancelled, and
    then end, after the request has.
    """

    account: MemoryAccount
    reader: Reader | None = None
    kind: Held = Held.ANSWER
    size: int = 0
    is_released: bool = False

    def grow(self, count: int) -> bool:
        """Hold ``count`` bytes more; returns False if that is more than there is for one body.

        Callers that read slowly yield first.
        """
        if self.is_released or (not self._may_grow(count) and not self._relieve(count)):
            return False
        self.hold(count)
        return True

    def _may_grow(self, count: int) -> bool:
        size = self.size + count
        free = self.account.limit_bytes - self.account.held_bytes
        return size <= SMALL_BYTES or size <= free * SHARE_OF_FREE

    def may_wait(self, count: int, own: int) -> bool:
        """Return whether :meth:`grow` may succeed once others' callers have read what waits.

        ``own`` is what is queued for the same body. Bodies do not wait for each other: the largest
        fails at once, and leaves its memory to the others.
        """
        account = self.account
        bodies = account.held_by_kind[Held.REQUEST] + account.held_by_kind[Held.ANSWER]
        is_drained_by_others = account.held_bytes - bodies > own
        free = account.limit_bytes - bodies
        return is_drained_by_others and self.size + count <= free * SHARE_OF_FREE

    def _relieve(self, count: int) -> bool:
        account = self.account
        if self.size + count > account.limit_bytes * SHARE_OF_FREE:
            return False
        account.pressure.relieve(lambda: self._may_grow(count))
        return self._may_grow(count)

    def hold(self, count: int) -> None:
        """Hold ``count`` bytes more, fewer if it is negative, whether there is memory or not."""
        if self.is_released:
            return
        account = self.account
        self.size += count
        account.pressure.held_bytes += count
        account.held_by_kind[self.kind] += count
        if self.reader is not None:
            self.reader.held += count
            self.reader.client.held += count
        if account.is_stopped and account.pressure.can_resume:
            account.resume()

    def resize(self, size: int) -> None:
        """Hold ``size`` bytes, whether there is memory or not."""
        if size != self.size:
            self.hold(size - self.size)

    def shrink(self, count: int) -> None:
        """Hold ``count`` bytes less."""
        self.hold(-count)

    def open(self, kind: Held) -> "HeldMemory":
        """Return memory of something else for the same caller."""
        return HeldMemory(self.account, self.reader, kind)

    def release(self) -> None:
        """Hold nothing any more, from now on."""
        self.resize(0)
        self.is_released = True
