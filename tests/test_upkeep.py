from attrs import evolve
from testtools import TestCase

from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gateway.upkeep import Upkeep
from cherrylane.gossip.members import HEARTBEAT_TIMEOUT_S, Members
from cherrylane.gossip.messages import HostState
from cherrylane.gossip.node import GossipNode
from cherrylane.limits.quarantine import RequestQuarantine
from cherrylane.limits.rate_limits import RateLimit, UpstreamRateLimits
from cherrylane.limits.rate_shares import LIMIT_SHARE_USED
from cherrylane.membership.software_versions import STREAM_LIFETIME_S
from cherrylane.placement.heat import ChatHeat
from cherrylane.placement.loads import LoadTracker
from cherrylane.relay.stream_origins import StreamBinder, UnknownOrigin
from cherrylane.routing.routes import RequestKind, ServiceShare
from cherrylane.settings.schema import Endpoint
from tests.relay_fixture import never_answer
from tests.test_gossip import make_heartbeat
from tests.wire import (
    ScriptedUpstream,
    make_configuration,
    make_request,
    make_route,
    make_snapshot,
)

RATE = 10.0


class UpkeepTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.members = Members("10.0.0.1")
        self.binder = StreamBinder()
        self.limits = UpstreamRateLimits()
        gossip = GossipNode(Endpoint("10.0.0.1", 1), self.members, make_heartbeat, lambda *_: None)
        self.upkeep = Upkeep(
            self.members,
            RoutingState(lambda snapshot: None),
            gossip,
            LoadTracker(),
            ChatHeat(),
            RequestQuarantine(),
            self.limits,
            self.binder,
        )
        self.limits.record("a", 1, RateLimit(RATE), 0.0)

    def hear(self, address: str, state: HostState, now: float) -> None:
        self.members.record_heartbeat(address, make_heartbeat(address, state=state), now)

    def get_share(self, *, is_ready: bool = True, uptime_s: float = 10.0) -> float:
        self.upkeep.update(10.0, is_ready=is_ready, uptime_s=uptime_s)
        return self.limits.get_own_rate("a", 1) / (RATE * LIMIT_SHARE_USED)

    # Guards against a share of a request limit that is fixed, or kept by a host that is stopping.
    def test_request_limits_are_shared_with_the_hosts_that_serve(self) -> None:
        self.assertEqual(1.0, self.get_share())
        for number, state in enumerate((HostState.READY, HostState.LEAVING, HostState.STARTING)):
            self.hear(f"10.0.1.{number}", state, 10.0)
        self.hear("10.0.1.9", HostState.READY, 10.0 - 2 * HEARTBEAT_TIMEOUT_S)
        self.assertEqual(0.5, self.get_share())
        self.assertEqual(0.0, self.get_share(is_ready=False))

    # Guards against hosts that start together taking the whole limit each, since they do not know
    # of each other yet.
    def test_a_host_that_has_just_started_takes_no_part(self) -> None:
        self.assertEqual(0.0, self.get_share(uptime_s=HEARTBEAT_TIMEOUT_S / 2))

    def test_the_versions_of_a_snapshot_are_in_use(self) -> None:
        upstream = ScriptedUpstream(never_answer)
        listed = [upstream.to_upstream("i0"), upstream.to_upstream("i1", software="v2")]
        self.upkeep.record_snapshot(make_snapshot(listed), 0.0)
        self.assertEqual({"v1", "v2"}, self.binder.versions.find_recent("desk", 1.0))

    def test_the_services_of_a_replaced_configuration_may_have_begun_streams(self) -> None:
        route = make_route(RequestKind.STREAM, is_resumable=True)
        moved = evolve(route, shares=(ServiceShare("bid"),))
        for one in (route, moved):
            self.upkeep.record_snapshot(make_snapshot([], make_configuration(one)), 0.0)
        for service in ("desk", "bid"):
            self.binder.versions.record_stored(service, ["v1"], 0.0)
        request = make_request(moved, 0.0, resumes="a", resume_after="3")
        self.assertIsInstance(self.binder.find(request, 1.0), UnknownOrigin)

    def test_a_host_knows_all_versions_once_every_older_stream_is_over(self) -> None:
        route = make_route(RequestKind.STREAM, is_resumable=True)
        request = make_request(route, 0.0, resumes="a", resume_after="3")
        self.binder.versions.record_in_use("desk", ["v1"], 10.0)
        for uptime_s, is_known in ((STREAM_LIFETIME_S / 2, False), (STREAM_LIFETIME_S + 1, True)):
            self.get_share(uptime_s=uptime_s)
            found = self.binder.find(request, 10.0)
            self.assertEqual(is_known, not isinstance(found, UnknownOrigin))
