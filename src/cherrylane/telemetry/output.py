"""Log output that never blocks and whose memory use is bounded.

Lines are buffered while the reader of standard output is slow. Lines that do not fit into the
buffer or exceed the rate limit are dropped and counted, and the counts are logged.
"""

import os
from collections import Counter, deque
from time import monotonic
from typing import Any

from attrs import define, field
from logbook import Handler, LogRecord

from cherrylane.telemetry.logs import JsonFormatter

# Maximum size of the buffer for a slow reader, in bytes.
BUFFER_BYTES = 256 * 1024
# Token bucket: average lines per second, and lines in one burst; sized for the peak request rate of
# ten machines.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Minimum seconds between summaries of dropped lines.
SUMMARY_INTERVAL_S = 1.0


@define
class LineWriter:
    """Writes lines to a file descriptor without blocking; ``flush`` must be called periodically."""

    descriptor: int
    _buffer: deque[bytes] = field(factory=deque)
    _buffered_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)

    def write(self, line: bytes) -> bool:
        """Write or buffer a line; returns False if the buffer has no room for it."""
        if self._buffered_bytes + len(line) > BUFFER_BYTES:
            return False
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be reported; discard the line.
                written = len(line)
            self._buffered_bytes -= written
            if written == len(line):
                self._buffer.popleft()
            else:
                self._buffer[0] = line[written:]


class RateLimitedHandler(Handler):  # type: ignore[misc]
    """Passes records to a :class:`LineWriter`, up to a rate limit."""

    def __init__(self, writer: LineWriter, host: str, *, level: int) -> None:
        super().__init__(level=level)
        self.formatter = JsonFormatter(host)
        self._writer = writer
        self._available_lines = BURST_LINES
        self._refilled_at = monotonic()
        self._last_summary_at = monotonic()
        self.dropped: Counter[str] = Counter()

    def emit(self, record: LogRecord) -> None:
        now = monotonic()
        self._available_lines += (now - self._refilled_at) * LINES_PER_S
        self._available_lines = min(BURST_LINES, self._available_lines)
        self._refilled_at = now
        if self._available_lines >= 1.0 and self._writer.write(self._encode(record)):
            self._available_lines -= 1.0
        else:
            self.dropped[record.message] += 1
        self._log_dropped(now)

    def _log_dropped(self, now: float) -> None:
        if not self.dropped or now - self._last_summary_at < SUMMARY_INTERVAL_S:
            return
        self._last_summary_at = now
        summary: dict[str, Any] = {"left_out": dict(self.dropped)}
        record = LogRecord("cherrylane.telemetry", self.level, "log lines dropped", extra=summary)
        record.heavy_init()
        if self._writer.write(self._encode(record)):
            self.dropped.clear()

    def _encode(self, record: LogRecord) -> bytes:
        line: str = self.format(record)
        return f"{line}\n".encode()
