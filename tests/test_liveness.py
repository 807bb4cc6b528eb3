from testtools import TestCase

from cherrylane.membership.failure_detector import WITNESS_COUNT, FailureDetector, find_witnesses
from cherrylane.membership.lease import HomeLease
from cherrylane.peer.identity import PeerIdentity
from tests.builders import SITE, FakeClock, make_roster

PEER = PeerIdentity("host-2", "run")


class FailureDetectorTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = FakeClock()
        self.detector = FailureDetector(2.0, clock=self.clock)
        self.detector.watch({PEER.holder})

    def test_a_host_that_sends_probes_is_not_suspected(self) -> None:
        for _ in range(5):
            self.clock.now += 1.0
            self.assertTrue(self.detector.acknowledge(PEER))
        self.assertEqual([], self.detector.find_suspects())
        self.assertFalse(self.detector.declare_dead_if_silent(PEER.holder))

    def test_an_incarnation_declared_dead_is_never_acknowledged_again(self) -> None:
        self.clock.now += 2.1
        self.assertEqual([PEER.holder], self.detector.find_suspects())
        self.assertTrue(self.detector.declare_dead_if_silent(PEER.holder))
        self.assertFalse(self.detector.acknowledge(PEER))
        self.assertTrue(self.detector.acknowledge(PeerIdentity("host-2", "next-run")))

    def test_an_unwatched_incarnation_is_not_declared_dead(self) -> None:
        self.clock.now += 100.0
        self.assertFalse(self.detector.declare_dead_if_silent("stranger/run"))

    def test_witnesses_are_few_and_stable_when_a_host_leaves(self) -> None:
        names = [f"host-{number}" for number in range(40)]
        before = {host.name for host in find_witnesses("host-0", SITE, make_roster(*names))}
        after = {host.name for host in find_witnesses("host-0", SITE, make_roster(*names[:-1]))}
        self.assertEqual(WITNESS_COUNT, len(before))
        self.assertTrue(len(before - after) <= 1)
        self.assertNotIn("host-0", before)


class HomeLeaseTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = FakeClock()
        self.lease = HomeLease(1.5, clock=self.clock)
        self.lease.set_peers(["b", "c", "d"])

    def test_the_lease_needs_a_majority_of_host_and_peers(self) -> None:
        self.lease.acknowledge("b", self.clock.now)
        self.assertFalse(self.lease.is_held())
        self.lease.acknowledge("c", self.clock.now)
        self.assertTrue(self.lease.is_held())

    def test_the_lease_runs_from_when_the_probe_was_sent(self) -> None:
        sent_at = self.clock.now
        self.clock.now += 1.4
        self.lease.acknowledge("b", sent_at)
        self.lease.acknowledge("c", sent_at)
        self.assertTrue(self.lease.is_held())
        self.clock.now += 0.2
        self.assertFalse(self.lease.is_held())

    def test_acknowledgements_of_unknown_hosts_do_not_count(self) -> None:
        for name in ("x", "y", "z"):
            self.lease.acknowledge(name, self.clock.now)
        self.assertFalse(self.lease.is_held())

    def test_the_only_host_of_a_site_holds_the_lease(self) -> None:
        self.lease.set_peers([])
        self.assertTrue(self.lease.is_held())
