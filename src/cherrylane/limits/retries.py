"""How often this host may repeat requests, as its part of what all hosts may together.

All hosts together may send a service, in any window, a share of its requests beyond the first of
each, and a fixed slack. A host spends the share of its own requests only, and an equal part of
half the slack; the other half is left for hosts that are restarted within a window and begin anew.
A host that begins knows few others yet, so it begins with one repeat and earns the rest.
"""

from attrs import define, field

from cherrylane.settings.gateway import RetryBounds

# Part of the allowed share that is spent; requests in flight at a window's edge take the rest.
SHARE_USED = 0.8
# Repeats that a host begins with, however few other hosts it knows.
SAVED_AT_START = 1.0
# Part of the slack that the hosts hold together.
SLACK_USED = 0.5


@define
class HostRetryBudget:
    """The repeats that one host may still send to one service; ``hosts`` share the slack."""

    bounds: RetryBounds
    hosts: int
    _saved: float = field(init=False)

    @_saved.default
    def _begin(self) -> float:
        return min(SAVED_AT_START, self.most)

    @property
    def most(self) -> float:
        """The most repeats that can be saved up."""
        return self.bounds.slack * SLACK_USED / max(1, self.hosts)

    def deposit(self) -> None:
        """Note a request for the service."""
        self._saved = min(self.most, self._saved + self.bounds.share * SHARE_USED)

    def withdraw(self) -> bool:
        """Spend one repeat; False when there is none to spend."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
