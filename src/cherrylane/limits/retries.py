"""This host's part of the retry budget that all hosts share.

In any window, all hosts together may send a service retries for a share of its requests, plus a
fixed slack. A host uses only the share of its own requests and an equal part of half the slack.
The other half is reserved for hosts that restart within a window with a fresh budget. A host that
starts knows few of its peers, so it starts with a balance of one retry and earns the rest.
"""

from attrs import define, field

from cherrylane.settings.gateway import RetryBounds

# Fraction of the allowed share that is used; the rest covers requests in flight at a window's edge.
RETRY_SHARE_USED = 0.8
# Initial balance in retries, however few other hosts are known.
INITIAL_BALANCE = 1.0
# Fraction of the slack that all hosts together may hold.
SLACK_SHARE = 0.5


@define
class HostRetryBudget:
    """The retries that one host may still send to one service; ``hosts`` share the slack."""

    bounds: RetryBounds
    hosts: int
    _balance: float = field(init=False)

    @_balance.default
    def _make_initial_balance(self) -> float:
        return min(INITIAL_BALANCE, self.max_balance)

    @property
    def max_balance(self) -> float:
        """The maximum balance in retries."""
        return self.bounds.slack * SLACK_SHARE / max(1, self.hosts)

    def deposit(self) -> None:
        """Add the share that one request to the service earns."""
        self._balance = min(self.max_balance, self._balance + self.bounds.share * RETRY_SHARE_USED)

    @property
    def has_retry(self) -> bool:
        """Whether a retry is left."""
        return self._balance >= 1.0

    def withdraw(self) -> bool:
        """Take one retry from the balance; returns False if the balance is too low."""
        if not self.has_retry:
            return False
        self._balance -= 1.0
        return True
