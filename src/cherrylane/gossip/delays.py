"""For how long a datagram waited before it was read.

A process that stood still finds datagrams in its buffer that look as new as the next one. Each is
stamped by its sender's clock, whose offset to the clock of this host is unknown, but constant: the
datagram that took the least time shows it. Both clocks count the time in which a host is suspended.
"""

from time import CLOCK_BOOTTIME, clock_gettime

from attrs import define, field

# Most senders whose offsets are remembered; all are forgotten beyond.
MAX_SENDERS = 16_384
# Milliseconds after which an offset is measured anew, since clocks drift; the one before counts as
# well until then.
WINDOW_MS = 60_000
MS_PER_S = 1000


def read_stamp_ms() -> int:
    """Return the stamp of a datagram that is sent now."""
    return int(clock_gettime(CLOCK_BOOTTIME) * MS_PER_S)


@define
class _Offset:
    """The smallest differences between arrival and stamp of one sender, in two windows."""

    began_ms: int
    least_ms: int
    least_before_ms: int

    def record(self, offset_ms: int, arrived_ms: int) -> int:
        """Record one more difference; returns the smallest one."""
        if arrived_ms - self.began_ms > WINDOW_MS:
            self.began_ms = arrived_ms
            self.least_before_ms, self.least_ms = self.least_ms, offset_ms
        self.least_ms = min(self.least_ms, offset_ms)
        return min(self.least_ms, self.least_before_ms)


@define
class ArrivalDelays:
    """The delays of datagrams, by sender.

    Example::

        delays = ArrivalDelays()
        delays.estimate_ms("host-b/1f", stamp_ms=5_000, arrived_ms=70_000)  # 0
        delays.estimate_ms("host-b/1f", stamp_ms=5_250, arrived_ms=73_250)  # 3000
    """

    _offsets: dict[str, _Offset] = field(factory=dict)

    def estimate_ms(self, sender: str, stamp_ms: int, arrived_ms: int) -> int:
        """Return by how much longer a datagram took than the fastest one of its sender."""
        offset_ms = arrived_ms - stamp_ms
        known = self._offsets.get(sender)
        if known is None:
            if len(self._offsets) >= MAX_SENDERS:
                self._offsets.clear()
            known = self._offsets[sender] = _Offset(arrived_ms, offset_ms, offset_ms)
        return offset_ms - known.record(offset_ms, arrived_ms)
