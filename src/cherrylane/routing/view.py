"""The view: one immutable snapshot of all that a host knows and decides by."""

from attrs import define, field, frozen

from cherrylane.configuration.merging import FleetConfiguration, SiteService
from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.membership.runners import Runner, RunnerState
from cherrylane.routing.homes import PoolKey, find_home, find_pool
from cherrylane.routing.rendezvous import RendezvousTable


@define
class ServiceView:
    """One service with its live runners, their pools and the pools' homes."""

    entry: SiteService
    runners: dict[str, Runner]
    pools: dict[str, PoolKey]
    homes: dict[PoolKey, HostRecord]
    _members: dict[PoolKey, dict[str, Runner]] = field(factory=dict)
    _by_name: dict[str, PoolKey] = field(factory=dict)
    _tables: dict[str, RendezvousTable] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for name, pool in self.pools.items():
            self._members.setdefault(pool, {})[name] = self.runners[name]
            self._by_name[str(pool)] = pool

    def members(self, pool: PoolKey) -> dict[str, Runner]:
        """Return the live runners of ``pool`` by name."""
        return self._members.get(pool, {})

    def rank_pools(self, key: int, count: int, *, model: str) -> list[PoolKey]:
        """Return the ``count`` pools that the chat with hash ``key`` prefers, best first.

        Pools without a runner that serves ``model`` are left out. Tables are made when first
        asked for.
        """
        table = self._tables.get(model)
        if table is None:
            table = self._tables[model] = self._make_table(model)
        return [self._by_name[name] for name in table.rank(key, count)]

    def _make_table(self, model: str) -> RendezvousTable:
        weights: dict[str, float] = {}
        for pool, members in self._members.items():
            weight = sum(runner.weight for runner in members.values() if runner.serves(model))
            if weight > 0.0:
                weights[str(pool)] = weight
        return RendezvousTable(list(weights), list(weights.values()))


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
    pools = {name: find_pool(entry.name, name, count) for name in runners}
    homes: dict[PoolKey, HostRecord] = {}
    for number in range(count):
        pool = PoolKey(service=entry.name, number=number)
        home = find_home(pool, entry.site, roster)
        if home is not None:
            homes[pool] = home
    return ServiceView(entry=entry, runners=runners, pools=pools, homes=homes)
