"""What was written to a caller and has not left this process."""

import asyncio
from fcntl import ioctl
from struct import unpack
from termios import TIOCOUTQ

from cherrylane.http.memory import Held, MemoryAccount
from cherrylane.limits.memory_pressure import SMALL_BYTES, Reader


class UnsentData:
    """The bytes that wait in the transport to one caller, counted in the memory account.

    While there are some, the account's review measures how fast the caller takes them.
    """

    def __init__(
        self, transport: asyncio.Transport, account: MemoryAccount, caller: Reader
    ) -> None:
        self._transport = transport
        self._account = account
        self._caller = caller
        self._held = account.open(caller, Held.UNSENT)
        # Bytes written since the caller was last measured.
        self._unmeasured_bytes = 0

    @property
    def size(self) -> int:
        """The bytes that have not left this process."""
        return self._transport.get_write_buffer_size()

    @property
    def unreceived_bytes(self) -> int:
        """The bytes written that have not been received by the other end's kernel."""
        sock = self._transport.get_extra_info("socket")
        (in_kernel,) = unpack("i", ioctl(sock.fileno(), TIOCOUTQ, bytes(4)))
        return int(in_kernel) + self.size

    def write(self, data: bytes) -> None:
        """Send bytes, or keep what the kernel does not take now."""
        self._unmeasured_bytes += len(data)
        # The transport copies what the kernel doesn't take of bytes, but not of a view of them.
        self._transport.write(data if len(data) <= SMALL_BYTES else memoryview(data))
        if self._transport.get_write_buffer_size() or self._held.size:
            self.count()
            if self._caller.behind_since is None:
                self._begin_measuring()

    def count(self) -> None:
        """Count what waits, as long as the transport has memory for it.

        Its buffer, a bytearray, keeps its memory until less than half of that is in use.
        """
        size = self.size
        if not self._held.size // 2 <= size <= self._held.size or not size:
            self._held.resize(size)

    def _begin_measuring(self) -> None:
        self._unmeasured_bytes = 0
        self._caller.begin(self.unreceived_bytes, self._account.read_time())
        self._account.sinks.add(self)

    def measure(self, now: float) -> None:
        """Record how much the caller has taken since the last measurement."""
        self.count()
        if not self.size:
            self.stop_measuring()
            return
        self._caller.measure(self.unreceived_bytes, self._unmeasured_bytes, now)
        self._unmeasured_bytes = 0

    def stop_measuring(self) -> None:
        """Forget the pace of a caller for whom nothing waits any more."""
        self._caller.behind_since = None
        self._account.sinks.discard(self)

    def release(self) -> None:
        """Count nothing more; the transport has dropped what waited."""
        self._held.release()
        self.stop_measuring()
