"""Bounds the log lines of one kind; what is left out is counted and reported by the next line."""

from attrs import define

# Lines of one kind in a second.
MAX_LINES_PER_S = 10


@define
class LineBudget:
    """The lines of one kind that may be logged now.

    Example::

        budget = LineBudget()
        if budget.withdraw(now):
            log.warning("...", extra={"left_out": budget.take_left_out()})
    """

    left_out: int = 0
    _second: int = -1
    _lines: int = 0

    def withdraw(self, now: float) -> bool:
        """Return whether a line may be logged at ``now``; counts it if not."""
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self.left_out += 1
            return False
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out, self.left_out = self.left_out, 0
        return left_out
