"""Byte counters of control traffic, by kind of message."""

from collections import Counter
from threading import Lock


class TrafficCounter:
    """Thread-safe counts of the bytes of control messages sent and received, by kind."""

    def __init__(self) -> None:
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._lock = Lock()

    def count_sent(self, kind: str, size: int) -> None:
        """Count a message of ``size`` bytes that was sent."""
        with self._lock:
            self._sent[kind] += size

    def count_received(self, kind: str, size: int) -> None:
        """Count a message of ``size`` bytes that was received."""
        with self._lock:
            self._received[kind] += size

    def sent(self) -> dict[str, int]:
        """Return the bytes sent so far by kind."""
        with self._lock:
            return dict(self._sent)

    def received(self) -> dict[str, int]:
        """Return the bytes received so far by kind."""
        with self._lock:
            return dict(self._received)
