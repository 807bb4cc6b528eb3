"""A retry budget: limits retries to a share of all requests, which prevents retry storms."""

from threading import Lock

from attrs import define, field

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0


@define
class RetryBudget:
    """A token bucket: each request adds a fraction of a token, and each retry takes a whole one.

    It holds at most ``max_saved`` tokens. A new host starts with ``MAX_SAVED_RETRIES``.
    """

    retries_per_request: float = RETRIES_PER_REQUEST
    max_saved: float = MAX_SAVED_RETRIES
    _available: float = field(default=MAX_SAVED_RETRIES)
    _lock: Lock = field(factory=Lock, repr=False)

    def deposit(self) -> None:
        """Add the fraction for one request."""
        with self._lock:
            self._available = min(self.max_saved, self._available + self.retries_per_request)

    def withdraw(self) -> bool:
        """Take the token for one retry; returns False when less than one is left."""
        with self._lock:
            if self._available < 1.0:
                return False
            self._available -= 1.0
            return True
