"""The retry budgets of all services on one host."""

from collections.abc import Callable

from attrs import define, field

from cherrylane.limits.retries import HostRetryBudget
from cherrylane.settings.gateway import RetryBounds


@define
class RetryBudgets:
    """Makes a budget for each service; ``count_hosts`` returns by how many hosts it is divided."""

    bounds: RetryBounds
    count_hosts: Callable[[], int]
    _by_service: dict[str, HostRetryBudget] = field(factory=dict)

    def find(self, service: str) -> HostRetryBudget:
        """Return the budget of a service for the present number of hosts."""
        hosts = self.count_hosts()
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = HostRetryBudget(self.bounds, hosts)
        budget.hosts = hosts
        return budget

    def change(self, bounds: RetryBounds) -> None:
        """Begin new budgets with changed bounds."""
        self.bounds = bounds
        self._by_service.clear()
