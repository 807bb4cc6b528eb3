"""What follows from the present members and upstreams of the fleet, brought up to date often."""

from attrs import define, field

from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.members import HEARTBEAT_TIMEOUT_S, Members
from cherrylane.gossip.node import HEARTBEAT_INTERVAL_S, GossipNode
from cherrylane.limits.quarantine import RequestQuarantine
from cherrylane.limits.rate_limits import UpstreamRateLimits
from cherrylane.membership.software_versions import STREAM_LIFETIME_S
from cherrylane.placement.heat import ChatHeat
from cherrylane.placement.loads import PEER_LOADS_LIFETIME_S, LoadTracker
from cherrylane.placement.speeds import SpeedTracker
from cherrylane.relay.stream_origins import StreamBinder
from cherrylane.routing.routes import RouteTable
from cherrylane.routing.snapshot import Snapshot
from cherrylane.routing.upstreams import Upstream

# Sweeps of heartbeats to all hosts for which a peer's last loads count, so that one may be lost.
LOAD_LIFETIME_SWEEPS = 2
# Sweeps in which the crashes that peers have seen arrive, and the most seconds to wait for them.
SETTLE_SWEEPS = 3
MAX_SETTLE_S = 1.5


@define
class Upkeep:
    """Derives limits, lifetimes and the versions in use from the fleet as this host knows it."""

    members: Members
    routing_state: RoutingState
    gossip: GossipNode
    load_tracker: LoadTracker
    chat_heat: ChatHeat
    quarantine: RequestQuarantine
    rate_limits: UpstreamRateLimits
    stream_binder: StreamBinder
    speeds: SpeedTracker = field(factory=SpeedTracker)
    _route_table: RouteTable | None = None

    def record_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Take over the versions and the routes of a new snapshot."""
        self._record_versions(snapshot, now)
        if snapshot.table is not self._route_table:
            self.stream_binder.record_routes(self._route_table, now)
            self._route_table = snapshot.table

    def record_listed(self, upstream: Upstream, now: float) -> None:
        """Take over the version of an upstream, which may be gone before the next snapshot."""
        self.stream_binder.versions.record_in_use(upstream.service, [upstream.software], now)

    def update(self, now: float, *, is_ready: bool, uptime_s: float) -> None:
        """Bring all up to date; called at regular intervals."""
        sweep_s = self.gossip.rounds_to_reach_all * HEARTBEAT_INTERVAL_S
        self.load_tracker.lifetime_s = max(PEER_LOADS_LIFETIME_S, sweep_s * LOAD_LIFETIME_SWEEPS)
        self.quarantine.settle_s = min(MAX_SETTLE_S, sweep_s * SETTLE_SWEEPS)
        self.chat_heat.window_s = sweep_s
        self.chat_heat.peers = len(self.members)
        self.chat_heat.forget_old(now)
        self.share_rate_limits(now, takes_part=is_ready and uptime_s > HEARTBEAT_TIMEOUT_S)
        self._record_versions(self.routing_state.snapshot, now)
        self.stream_binder.update(now)
        self.speeds.forget_old(set(self.routing_state.list_incarnations()))
        if is_ready and uptime_s > STREAM_LIFETIME_S:
            self.stream_binder.versions.knows_all = True

    def share_rate_limits(self, now: float, *, takes_part: bool) -> None:
        """Set the hosts that share the upstreams' request limits.

        A host that is stopping takes no part, nor does one that does not know its peers yet.
        """
        own = self.members.own_address if takes_part else None
        self.rate_limits.set_hosts(own, self.members.ready_addresses(now), now)
        self.rate_limits.forget_old(set(self.routing_state.list_incarnations()), now)

    def _record_versions(self, snapshot: Snapshot, now: float) -> None:
        for service, upstreams in snapshot.upstreams_by_service.items():
            versions = {known.upstream.software for known in upstreams}
            self.stream_binder.versions.record_in_use(service, versions, now)
