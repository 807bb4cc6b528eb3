"""Whether this process stood still so long that what it knows may be outdated.

A process that resumes has its callers' requests to handle and, unread behind them, the changes that
were made meanwhile. Nothing here uses a network or reads a clock.
"""

from collections.abc import Callable

from attrs import define

# Most seconds after a stall in which the state counts as outdated: as long as a call to the store
# may take. A host that is cut off from everything then goes on with what it knows.
MAX_DOUBT_S = 1.0


@define
class StallGuard:
    """Notices stalls of more than ``limit_s`` seconds, and calls ``on_stall`` after each.

    Example::

        guard = StallGuard(limit_s=2.0)
        guard.is_in_doubt(10.0)  # False
        guard.is_in_doubt(14.0)  # True: the process has not run for 4 s
        guard.confirm(14.1)
        guard.is_in_doubt(14.2)  # False
    """

    limit_s: float
    on_stall: Callable[[], None] = lambda: None
    _ran_at: float = float("inf")
    _doubted_since: float | None = None

    def is_in_doubt(self, now: float) -> bool:
        """Record that the process runs, and return whether its state may be outdated."""
        has_stalled = now - self._ran_at > self.limit_s
        self._ran_at = now
        if has_stalled:
            self._doubted_since = now
            self.on_stall()
        elif self._doubted_since is not None and now - self._doubted_since > MAX_DOUBT_S:
            self._doubted_since = None
        return self._doubted_since is not None

    def confirm(self, known_at: float) -> None:
        """Record that the state is as new as ``known_at``."""
        if self._doubted_since is not None and known_at >= self._doubted_since:
            self._doubted_since = None
