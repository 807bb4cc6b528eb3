from testtools import TestCase

from cherrylane.membership.failure_detector import WITNESS_COUNT, FailureDetector, find_witnesses
from cherrylane.membership.lease import HomeLease
from cherrylane.peer.identity import PeerIdentity
from tests.builders import SITE, FakeClock, make_roster

PEER = PeerIdentity("host-2", "run")


class LivenessTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = FakeClock()
        self.liveness = FailureDetector(2.0, clock=self.clock)
        self.liveness.watch({PEER.holder})

    def test_a_host_that_probes_is_not_silent(self) -> None:
        for _ in range(5):
            self.clock.now += 1.0
            self.assertTrue(self.liveness.acknowledge(PEER))
        self.assertEqual([], self.liveness.find_suspects())
        self.assertFalse(self.liveness.declare_dead_if_silent(PEER.holder))

    def test_a_run_that_was_given_up_is_never_acknowledged_again(self) -> None:
        self.clock.now += 2.1
        self.assertEqual([PEER.holder], self.liveness.find_suspects())
        self.assertTrue(self.liveness.declare_dead_if_silent(PEER.holder))
        self.assertFalse(self.liveness.acknowledge(PEER))
        self.assertTrue(self.liveness.acknowledge(PeerIdentity("host-2", "next-run")))

    def test_a_run_that_is_not_watched_is_not_given_up(self) -> None:
        self.clock.now += 100.0
        self.assertFalse(self.liveness.declare_dead_if_silent("stranger/run"))

    def test_witnesses_are_few_and_change_little(self) -> None:
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

    def test_most_of_host_and_peers_make_the_lease(self) -> None:
        self.lease.acknowledge("b", self.clock.now)
        self.assertFalse(self.lease.is_held())
        self.lease.acknowledge("c", self.clock.now)
        self.assertTrue(self.lease.is_held())

    def test_it_runs_from_the_sending_of_the_probe(self) -> None:
        sent_at = self.clock.now
        self.clock.now += 1.4
        self.lease.acknowledge("b", sent_at)
        self.lease.acknowledge("c", sent_at)
        self.assertTrue(self.lease.is_held())
        self.clock.now += 0.2
        self.assertFalse(self.lease.is_held())

    def test_strangers_do_not_count(self) -> None:
        for name in ("x", "y", "z"):
            self.lease.acknowledge(name, self.clock.now)
        self.assertFalse(self.lease.is_held())

    def test_a_host_alone_at_its_site_holds_it(self) -> None:
        self.lease.set_peers([])
        self.assertTrue(self.lease.is_held())
