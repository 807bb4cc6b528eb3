"""Writing of log lines that never blocks and never grows without bound.

Lines wait in memory while the reader of standard output is slow. What does not fit, or comes
faster than the allowed rate, is left out and counted, and the count itself is logged.
"""

import os
from collections import Counter, deque
from time import monotonic
from typing import Any

from attrs import define, field
from logbook import Handler, LogRecord

from cherrylane.telemetry.logs import JsonFormatter

# Bytes that may wait for a slow reader.
BUFFER_BYTES = 256 * 1024
# Lines a second on average, and how many may come at once; ten machines' requests at peak.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Seconds between lines that say how many others were left out.
SUMMARY_INTERVAL_S = 1.0


@define
class LineWriter:
    """Writes lines to a descriptor that does not block; ``flush`` is called from time to time."""

    descriptor: int
    _waiting: deque[bytes] = field(factory=deque)
    _waiting_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, line: bytes) -> bool:
        """Write or keep a line; False if there is no room for it."""
        if self._waiting_bytes + len(line) > BUFFER_BYTES:
            return False
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much of what waits as the reader takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to report that.
                written = len(line)
            self._waiting_bytes -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]


class RateLimitedHandler(Handler):  # type: ignore[misc]
    """Sends records to a :class:`LineWriter` at a bounded rate."""

    def __init__(self, writer: LineWriter, host: str, *, level: int) -> None:
        super().__init__(level=level)
        self.formatter = JsonFormatter(host)
        self._writer = writer
        self._allowance = BURST_LINES
        self._refilled_at = monotonic()
        self._summarized_at = monotonic()
        self.dropped: Counter[str] = Counter()

    def emit(self, record: LogRecord) -> None:
        now = monotonic()
        self._allowance += (now - self._refilled_at) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance)
        self._refilled_at = now
        if self._allowance >= 1.0 and self._writer.write(self._encode(record)):
            self._allowance -= 1.0
        else:
            self.dropped[record.message] += 1
        self._summarize(now)

    def _summarize(self, now: float) -> None:
        if not self.dropped or now - self._summarized_at < SUMMARY_INTERVAL_S:
            return
        self._summarized_at = now
        summary: dict[str, Any] = {"left_out": dict(self.dropped)}
        record = LogRecord("cherrylane.telemetry", self.level, "log lines left out", extra=summary)
        record.heavy_init()
        if self._writer.write(self._encode(record)):
            self.dropped.clear()

    def _encode(self, record: LogRecord) -> bytes:
        line: str = self.format(record)
        return f"{line}\n".encode()
