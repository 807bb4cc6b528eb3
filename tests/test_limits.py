from testtools import TestCase

from cherrylane.limits.outliers import FIRST_AVOIDANCE_S, OutlierDetector
from cherrylane.limits.retries import HostRetryBudget
from cherrylane.placement.loads import PEER_LOADS_LIFETIME_S, Load, LoadTracker
from cherrylane.settings.gateway import RetryBounds

BOUNDS = RetryBounds(share=0.2, window_s=10.0, slack=54.0)
HOSTS = 7


class RetryAllowanceTest(TestCase):
    def spend(self, allowance: HostRetryBudget, requests: int) -> int:
        spent = 0
        for _ in range(requests):
            allowance.deposit()
            spent += allowance.withdraw()
        return spent

    def test_all_hosts_together_stay_within_the_bound_though_all_start_again(self) -> None:
        """Every request fails; all hosts are restarted within the window."""
        requests = 1000
        spent = 0
        for _ in range(2 * HOSTS):
            spent += self.spend(HostRetryBudget(BOUNDS, HOSTS), requests)
        allowed = BOUNDS.share * 2 * HOSTS * requests + BOUNDS.slack
        self.assertTrue(spent <= allowed, f"{spent} of {allowed}")

    def test_a_large_fleet_that_starts_at_once_stays_within_the_slack(self) -> None:
        """Seventy hosts start, each knows few others, and the first requests of all fail."""
        spent = 0
        for _ in range(70):
            allowance = HostRetryBudget(RetryBounds(0.2, 10.0, 174.0), 8)
            while allowance.withdraw():
                spent += 1
        self.assertTrue(spent <= 174, str(spent))

    def test_a_quiet_host_saves_up_no_more_than_its_part_of_the_slack(self) -> None:
        allowance = HostRetryBudget(BOUNDS, HOSTS)
        for _ in range(10_000):
            allowance.deposit()
        spent = 0
        while allowance.withdraw():
            spent += 1
        self.assertTrue(spent * HOSTS <= BOUNDS.slack / 2, str(spent))


class SuspicionTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspicion = OutlierDetector()
        self.peers = ["a", "b", "c"]

    def fail(self, name: str, times: int, now: float = 0.0) -> None:  # type: ignore[override]
        for _ in range(times):
            self.suspicion.note_failure(name, self.peers, now)

    def test_an_upstream_that_fails_more_than_the_others_is_avoided_for_a_while(self) -> None:
        self.fail("a", 6)
        self.assertTrue(self.suspicion.is_avoided("a", 0.1))
        self.assertFalse(self.suspicion.is_avoided("b", 0.1))
        self.assertFalse(self.suspicion.is_avoided("a", FIRST_AVOIDANCE_S + 0.1))

    def test_where_all_fail_alike_none_is_avoided(self) -> None:
        for _ in range(20):
            for name in self.peers:
                self.fail(name, 1)
        self.assertFalse(any(self.suspicion.is_avoided(name, 0.1) for name in self.peers))

    def test_a_few_failures_among_successes_are_tolerated(self) -> None:
        for _ in range(20):
            self.fail("a", 1)
            for _ in range(6):
                self.suspicion.note_success("a", 0.0)
        self.assertFalse(self.suspicion.is_avoided("a", 0.1))

    def test_the_time_doubles_while_an_upstream_stays_unreachable(self) -> None:
        self.suspicion.note_unreachable("a", 0.0)
        self.suspicion.note_unreachable("a", 1.0)
        self.assertTrue(self.suspicion.is_avoided("a", 1.0 + 1.9 * FIRST_AVOIDANCE_S))
        self.suspicion.note_success("a", 10.0)
        self.suspicion.note_unreachable("a", 11.0)
        self.assertFalse(self.suspicion.is_avoided("a", 11.0 + 1.1 * FIRST_AVOIDANCE_S))


class LoadBoardTest(TestCase):
    def test_loads_of_peers_count_while_they_are_fresh(self) -> None:
        board = LoadTracker()
        work = board.begin("i", Load(1, 900))
        board.update_peer("p", {"i": Load(4, 100)}, 0.0)
        self.assertEqual({"i": Load(5, 1000)}, board.read(["i"], 0.0))
        self.assertEqual({"i": Load(1, 900)}, board.read(["i"], PEER_LOADS_LIFETIME_S + 0.1))
        work.note_answer_started()
        self.assertEqual({"i": Load(1, 0)}, board.read(["i"], PEER_LOADS_LIFETIME_S + 0.1))
        work.end()
        self.assertEqual({"i": Load()}, board.read(["i"], PEER_LOADS_LIFETIME_S + 0.1))
        self.assertEqual({}, board.own)

    def test_what_ends_before_it_has_begun_leaves_nothing(self) -> None:
        board = LoadTracker()
        first, second = board.begin("i", Load(1, 50)), board.begin("i", Load(1, 70))
        first.end()
        self.assertEqual({"i": Load(1, 70)}, board.own)
        second.note_answer_started()
        second.end()
        self.assertEqual({}, board.own)
