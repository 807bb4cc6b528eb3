"""The view: one immutable snapshot of all that a host knows and decides by."""

from attrs import define, field, frozen

from cherrylane.configuration.merging import FleetConfiguration, SiteService
from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.membership.runners import Runner, RunnerState
from cherrylane.routing.homes import PoolKey, home_of, pool_of
from cherrylane.routing.rendezvous import RendezvousTable


@frozen
class ModelTable:
    """The live runners of a service that have one model, ready to be ranked."""

    runners: dict[str, Runner]
    table: RendezvousTable

    def rank(self, key: int, count: int) -> list[str]:
        """Return the names of the best ``count`` runners for ``key``."""
        return self.table.rank(key, count)


@define
class ServiceView:
    """One service with its live runners, their pools and the pools' homes."""

    entry: SiteService
    runners: dict[str, Runner]
    pools: dict[str, PoolKey]
    homes: dict[PoolKey, HostRecord]
    _tables: dict[str, ModelTable] = field(factory=dict)

    def table_for(self, model: str) -> ModelTable:
        """Return the table of the runners that serve ``model``; made once a view."""
        table = self._tables.get(model)
        if table is None:
            table = _make_table(self.runners, model)
            self._tables[model] = table
        return table

    def members(self, pool: PoolKey) -> list[Runner]:
        """Return the live runners of ``pool``."""
        return [self.runners[name] for name, key in self.pools.items() if key == pool]


@frozen
class FleetView:
    """Configuration, roster and runners at one moment, and the home of every pool."""

    configuration: FleetConfiguration
    roster: Roster
    services: dict[str, ServiceView]
    homes: dict[PoolKey, HostRecord] = field(factory=dict)


EMPTY_VIEW = FleetView(configuration=FleetConfiguration(generation=0), roster=Roster(), services={})


def build_view(
    configuration: FleetConfiguration, roster: Roster, runners: dict[str, Runner]
) -> FleetView:
    """Build the snapshot from its three parts."""
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
    pools = {name: pool_of(entry.name, name, count) for name in runners}
    homes: dict[PoolKey, HostRecord] = {}
    for number in range(count):
        pool = PoolKey(service=entry.name, number=number)
        home = home_of(pool, entry.site, roster)
        if home is not None:
            homes[pool] = home
    return ServiceView(entry=entry, runners=runners, pools=pools, homes=homes)


def _make_table(runners: dict[str, Runner], model: str) -> ModelTable:
    able = {name: runner for name, runner in sorted(runners.items()) if runner.serves(model)}
    weights = [runner.weight for runner in able.values()]
    return ModelTable(runners=able, table=RendezvousTable(list(able), weights))
