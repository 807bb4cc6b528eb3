"""Connects what is known of cold upstreams with the rest of a gateway.

While the state of this host is not confirmed, entries of upstreams that turn cold do not arrive.
Then the first live hosts in an upstream's order ask it instead and tell the others; a host that is
cut off from all others is the first for each. Hosts that have just started ask as well, since the
entries that they read may be seconds old; in a large fleet these are divided in the same way, since
all hosts may have started at once.
"""

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field

from cherrylane.gateway.cold_probes import ColdProbes
from cherrylane.gateway.registry import HostRegistry
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.members import SMALL_FLEET_HOSTS, Members
from cherrylane.limits.cold.admission import ColdUpstreams
from cherrylane.limits.cold.shares import ColdShares
from cherrylane.placement.ranking import rank_names
from cherrylane.routing.snapshot import Snapshot
from cherrylane.routing.upstreams import Upstream
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.telemetry.counters import Telemetry

# Seconds after the start in which upstreams that are listed as warm are asked.
START_S = 5.0
# Seconds without a confirmation of its state after which a host asks upstreams, the seconds between
# probes, and the number of hosts that ask each upstream. With a second between probes, two of
# 7 hosts that were cut off brought an upstream that had turned cold to 31 requests in a second.
UNCONFIRMED_S = 2.0
UNCONFIRMED_PROBE_S = 0.5
PROBING_HOSTS = 2


@define
class ColdWatch:
    """Connects ``upstreams``, None if the part is disabled, with the rest of the gateway."""

    upstreams: ColdUpstreams | None
    routing_state: RoutingState
    members: Members
    probes: ColdProbes | None = None
    is_first_start: bool = False
    get_state_age_s: Callable[[], float] = lambda: 0.0
    _started_at: float | None = None
    _probed_all_at: float = float("-inf")
    _probe_later: set[str] = field(factory=set)
    # The upstreams that this host asks, and the hosts and upstreams that they were found from: to
    # rank 195 hosts for 1,700 upstreams takes 0.13 s.
    _assigned: list[str] = field(factory=list)
    _assigned_from: tuple[set[str], list[str]] | None = None

    @classmethod
    def create(
        cls,
        settings: GatewaySettings,
        routing_state: RoutingState,
        members: Members,
        notify_peers: Callable[[bool], None],
    ) -> "ColdWatch":
        """Return a watch that gets the entries of ``routing_state`` if ``settings`` enable it.

        ``notify_peers`` sends a heartbeat, to all hosts if its argument is set.
        """
        if settings.bounds.cold is None:
            return cls(None, routing_state, members)
        upstreams = ColdUpstreams(settings.bounds.cold, ColdShares(members.own_address))
        probes = ColdProbes(upstreams, routing_state)
        watch = cls(upstreams, routing_state, members, probes, settings.is_first_start)
        probes.is_assigned = watch.is_assigned
        probes.on_news = lambda name: notify_peers(watch.is_unconfirmed)
        upstreams.on_failure = lambda upstream: probes.probe(upstream.name)
        routing_state.on_entry = watch.record_entry
        routing_state.find_slow_start = lambda name: upstreams.find_remaining_s(name, _read_time())
        return watch

    def connect(self, registry: HostRegistry, telemetry: Telemetry) -> None:
        """Take the registered hosts from ``registry``, and add the gauges."""
        if self.upstreams is not None:
            registry.on_read = self.record_registry
            telemetry.add_gauge("cold_upstreams", self.upstreams.count_cold)
            telemetry.add_gauge("cold_share", self.upstreams.sum_share)

    def record_entry(self, upstream: Upstream, source: str) -> None:
        """Take over an entry of the upstream list."""
        if self.upstreams is not None:
            now = _read_time()
            if self._started_at is None:
                self._started_at = now
            is_new = self.upstreams.evidence.find(upstream.name) is None
            self.upstreams.record_entry(upstream, now, is_from_peer=source == "peer")
            if is_new and now - self._started_at < START_S and not self.is_first_start:
                self._probe_later.add(upstream.name)

    def record_registry(self, addresses: set[str]) -> None:
        """Take over a read of the host registry."""
        if self.upstreams is not None:
            now = _read_time()
            live = [member.address for member in self.members.live(now)]
            self.upstreams.record_registry(addresses, live, now)
            self._probe_listed_at_start(now)

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Take over the services of the configuration in force."""
        if self.upstreams is not None and snapshot.table is not None:
            services = snapshot.table.configuration.services
            now = _read_time()
            self.upstreams.set_services(services, now)

    def update(self) -> None:
        """Bring all up to date; called at regular intervals."""
        if self.upstreams is not None:
            now = _read_time()
            self.upstreams.set_hosts(self.members.all_addresses(), now)
            listed = [name for name, _ in self.routing_state.list_incarnations()]
            self.upstreams.update(listed, now)
            if self.is_unconfirmed and now - self._probed_all_at >= UNCONFIRMED_PROBE_S:
                self._probed_all_at = now
                self._probe_assigned(listed, now)

    @property
    def is_unconfirmed(self) -> bool:
        """Whether changes of the upstream list may not arrive now."""
        return self.get_state_age_s() > UNCONFIRMED_S

    def _probe_listed_at_start(self, now: float) -> None:
        """Ask the upstreams that were listed as warm at the start, once the hosts are known."""
        assert self.upstreams is not None
        known = [self.members.own_address, *self.members.all_addresses()]
        names, self._probe_later = self._probe_later, set()
        for name in names:
            upstream = self.routing_state.find_upstream(name)
            if upstream is None or self.upstreams.is_cold(upstream, now):
                continue
            if len(known) <= SMALL_FLEET_HOSTS or self._is_assigned(name, known):
                self._probe(name)

    def _probe_assigned(self, listed: list[str], now: float) -> None:
        own = self.members.own_address
        hosts = {own, *(member.address for member in self.members.live(now))}
        names = [name for name in listed if self._has_rule(name)]
        if self._assigned_from != (hosts, names):
            self._assigned_from = hosts, names
            self._assigned = [name for name in names if self._is_assigned(name, hosts)]
        for name in self._assigned:
            self._probe(name)

    def _has_rule(self, name: str) -> bool:
        upstream = self.routing_state.find_upstream(name)
        if upstream is None or self.upstreams is None:
            return False
        return self.upstreams.has_rule(upstream)

    def is_assigned(self, name: str) -> bool:
        """Return whether this host is one of those that ask an upstream for the others."""
        live = [member.address for member in self.members.live(_read_time())]
        return self._is_assigned(name, [self.members.own_address, *live])

    def _is_assigned(self, name: str, hosts: Iterable[str]) -> bool:
        """Return whether this host is one of the first of ``hosts`` in an upstream's order."""
        return self.members.own_address in rank_names(f"ask {name}", hosts)[:PROBING_HOSTS]

    def _probe(self, name: str) -> None:
        if self.probes is not None:
            self.probes.probe(name, with_health=True)

    def on_ended(self, domain: str) -> None:
        """Presume the upstreams of a failure domain cold, since its evacuation has ended."""
        if self.upstreams is not None:
            self.upstreams.presume_domain(domain, _read_time())


def _read_time() -> float:
    return asyncio.get_running_loop().time()
