"""The fleet view: an immutable snapshot of the state that a host routes by."""

from attrs import define, field, frozen

from cherrylane.configuration.merging import FleetConfiguration, SiteService
from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.membership.runners import Runner, RunnerState
from cherrylane.routing.homes import PoolKey, find_home, find_pool
from cherrylane.routing.rendezvous import RendezvousTable


@define
class ServiceView:
    """One service with its live runners, the pool of each runner and the home of each pool."""

    entry: SiteService
    runners: dict[str, Runner]
    pools: dict[str, PoolKey]
    homes: dict[PoolKey, HostRecord]
    _runners_by_pool: dict[PoolKey, dict[str, Runner]] = field(factory=dict)
    _pools_by_name: dict[str, PoolKey] = field(factory=dict)
    _tables_by_model: dict[str, RendezvousTable] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for name, pool in self.pools.items():
            self._runners_by_pool.setdefault(pool, {})[name] = self.runners[name]
            self._pools_by_name[str(pool)] = pool

    def get_pool_runners(self, pool: PoolKey) -> dict[str, Runner]:
        """Return the live runners of ``pool``, keyed by name."""
        return self._runners_by_pool.get(pool, {})

    def rank_pools(self, key: int, count: int, *, model: str) -> list[PoolKey]:
        """Return the ``count`` pools that rank highest for the chat with hash ``key``, best first.

        Pools without a runner that serves ``model`` are left out. The rendezvous table of a model
        is built on first use.
        """
        table = self._tables_by_model.get(model)
        if table is None:
            table = self._tables_by_model[model] = self._build_table(model)
        return [self._pools_by_name[name] for name in table.rank(key, count)]

    def _build_table(self, model: str) -> RendezvousTable:
        weights: dict[str, float] = {}
        for pool, runners in self._runners_by_pool.items():
            weight = sum(runner.weight for runner in runners.values() if runner.serves(model))
            if weight > 0.0:
                weights[str(pool)] = weight
        return RendezvousTable(list(weights), list(weights.values()))


@frozen
class FleetView:
    """Configuration, roster and runners at one point in time, and the home of every pool."""

    configuration: FleetConfiguration
    roster: Roster
    services: dict[str, ServiceView]
    homes: dict[PoolKey, HostRecord] = field(factory=dict)


EMPTY_VIEW = FleetView(configuration=FleetConfiguration(generation=0), roster=Roster(), services={})


def build_view(
    configuration: FleetConfiguration, roster: Roster, runners: dict[str, Runner]
) -> FleetView:
    """Build the view of ``configuration``, ``roster`` and the runners keyed by name.

    Runners that are leaving, or whose service is not configured, are left out.
    """
    live: dict[str, dict[str, Runner]] = {name: {} for name in configuration.services}
    for runner in runners.values():
        if runner.state is RunnerState.LIVE and runner.service in live:
            live[runner.service][runner.name] = runner
    services = {
        name: _build_service(entry, live[name], roster)
        for name, entry in configuration.services.items()
    }
    homes: dict[PoolKey, HostRecord] = {}
    for service in services.values():
        homes.update(service.homes)
    return FleetView(configuration=configuration, roster=roster, services=services, homes=homes)


def _build_service(entry: SiteService, runners: dict[str, Runner], roster: Roster) -> ServiceView:
    count = entry.service.bound.pools
    pools = {name: find_pool(entry.name, name, count) for name in runners}
    homes: dict[PoolKey, HostRecord] = {}
    for number in range(count):
        pool = PoolKey(service=entry.name, number=number)
        home = find_home(pool, entry.site, roster)
        if home is not None:
            homes[pool] = home
    return ServiceView(entry=entry, runners=runners, pools=pools, homes=homes)
