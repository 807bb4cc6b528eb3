"""The view: one immutable snapshot of all that a host knows and decides by."""

from attrs import define, field, frozen

from cherrylane.configuration.merging import FleetConfiguration, SiteService
from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.membership.runners import Runner, RunnerState
from cherrylane.routing.homes import PoolKey, home_of, pool_of
from cherrylane.routing.rendezvous import RendezvousTable


@define
class ServiceView:
    """One service with its live runners, their pools and the pools' homes."""

    entry: SiteService
    runners: dict[str, Runner]
    pools: dict[str, PoolKey]
    homes: dict[PoolKey, HostRecord]
    _members: dict[PoolKey, dict[str, Runner]] = field(factory=dict)
    _tables: dict[tuple[str, PoolKey | None], RendezvousTable] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for name, pool in self.pools.items():
            self._members.setdefault(pool, {})[name] = self.runners[name]

    def members(self, pool: PoolKey) -> dict[str, Runner]:
        """Return the live runners of ``pool`` by name."""
        return self._members.get(pool, {})

    def rank(self, key: int, count: int, *, model: str, pool: PoolKey | None = None) -> list[str]:
        """Return the best ``count`` runners that serve ``model`` for ``key``, best first.

        With ``pool``, only its runners are ranked. Tables are made when first asked for.
        """
        table = self._tables.get((model, pool))
        if table is None:
            runners = self.runners if pool is None else self.members(pool)
            table = _make_table(runners, model)
            self._tables[(model, pool)] = table
        return table.rank(key, count)


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


def _make_table(runners: dict[str, Runner], model: str) -> RendezvousTable:
    able = [runner for runner in runners.values() if runner.serves(model)]
    return RendezvousTable([runner.name for runner in able], [runner.weight for runner in able])
