"""The retry budget: further attempts are a small share of all requests, so no storm can build."""

from threading import Lock

from attrs import define, field

SHARE_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0


@define
class RetryBudget:
    """Each request saves a share of a retry; a retry spends a whole one.

    At most ``max_saved`` retries can be saved up, which is also what a new host begins with.
    """

    share: float = SHARE_PER_REQUEST
    max_saved: float = MAX_SAVED_RETRIES
    _saved: float = field(default=MAX_SAVED_RETRIES)
    _lock: Lock = field(factory=Lock, repr=False)

    def deposit(self) -> None:
        """Save the share of one request."""
        with self._lock:
            self._saved = min(self.max_saved, self._saved + self.share)

    def withdraw(self) -> bool:
        """Spend one retry; False when there is none to spend."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
