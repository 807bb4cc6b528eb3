"""The parts of a response that have been received and not been read yet."""

import asyncio
from collections import deque

from attrs import define, field, frozen

from cherrylane.http.memory import UNCOUNTED_BYTES, HeldMemory
from cherrylane.http.messages import ResponseHead

# Bytes of response that may be queued for a reader before reading from the connection pauses.
READ_BUFFER_BYTES = 256 * 1024
# Bytes below which a part of a body is joined with the one before it: as an object of its own, a
# chunk of a few bytes would take many times its size.
JOINED_BYTES = 4 * 1024


@frozen
class End:
    """Marks the end of a response in the queue of its parts."""


END = End()

Part = ResponseHead | bytes | End


@define(eq=False)
class ReceivedParts:
    """A queue of the parts of responses, and how many bytes of bodies it holds.

    Small parts of a body that wait one behind the other are joined.

    ``held`` counts these bytes in the memory account while a response is expected, if they are more
    than ``UNCOUNTED_BYTES``; ``is_counted`` tells. While memory is short, the queue takes no more
    until its reader has taken everything.
    """

    queued_bytes: int = 0
    held: HeldMemory | None = None
    is_counted: bool = False
    parts: deque[Part | bytearray] = field(factory=deque)
    _changed: asyncio.Future[None] | None = None

    def put(self, part: Part) -> None:
        """Queue a part."""
        if isinstance(part, bytes):
            self.queued_bytes += len(part)
        if not isinstance(part, bytes) or not self._join(part):
            self.parts.append(part)
        self.notify()

    def _join(self, data: bytes) -> bool:
        """Append small data to the part before it if that is small or was joined already."""
        if not self.parts or len(data) >= JOINED_BYTES:
            return False
        match self.parts[-1]:
            case bytearray() as joined:
                joined += data
            case bytes() as last if len(last) < JOINED_BYTES:
                self.parts[-1] = bytearray(last) + data
            case _:
                return False
        return True

    def take(self) -> Part:
        """Return the first part; there must be one."""
        part = self.parts.popleft()
        if isinstance(part, bytearray):
            part = bytes(part)
        if isinstance(part, bytes):
            self.queued_bytes -= len(part)
            if self.is_counted:
                self.count()
        return part

    def clear(self) -> None:
        """Drop what is queued."""
        self.parts.clear()
        self.queued_bytes = 0

    def count(self) -> None:
        """Count what is queued, if that is more than is usually passed on at once."""
        if self.held is not None:
            self.is_counted = self.queued_bytes > UNCOUNTED_BYTES
            self.held.resize(self.queued_bytes if self.is_counted else 0)

    @property
    def is_full(self) -> bool:
        """Whether no more should be received for now."""
        if not self.queued_bytes:
            return self._is_stopped
        return self.queued_bytes > READ_BUFFER_BYTES or self._is_tight

    @property
    def has_room(self) -> bool:
        """Whether receiving may go on."""
        if not self.queued_bytes:
            return not self._is_stopped
        return self.queued_bytes <= READ_BUFFER_BYTES // 2 and not self._is_tight

    @property
    def _is_tight(self) -> bool:
        return self.held is not None and self.held.account.pressure.is_tight

    @property
    def _is_stopped(self) -> bool:
        return self.held is not None and self.held.account.is_stopped

    async def wait(self) -> None:
        """Wait until a part was queued, or until :meth:`notify` was called."""
        self._changed = asyncio.get_running_loop().create_future()
        await self._changed

    def notify(self) -> None:
        """Wake the reader."""
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)
