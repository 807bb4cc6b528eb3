from collections.abc import Callable
from queue import SimpleQueue
from random import Random
from typing import Any

from testtools import TestCase

from cherrylane.idempotency.claims import Claim, ClaimAnswer, ClaimOutcome, ClaimRequest, make_claim
from cherrylane.idempotency.shards import RETENTION_S, ClaimShards
from tests.fake_platform import FakePlatform, Fault

TIMEOUT_S = 20.0
SITE = "tw-north"


def claim_of(key: str, claimant: str, body: bytes = b"body") -> Claim:
    return make_claim("tw-north/union-desk", "case-service", key, claimant, body)


class ClaimShardsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = FakePlatform()
        self.now = 1_000_000.0

    def make_home(self) -> ClaimShards:
        platform: Any = self.platform
        home = ClaimShards(platform, clock=lambda: self.now)
        self.addCleanup(home.stop)
        return home

    def decide(self, home: ClaimShards, claim: Claim, *, withdraw: bool = False) -> ClaimOutcome:
        answers: SimpleQueue[ClaimAnswer] = SimpleQueue()
        home.submit(ClaimRequest("id", SITE, claim, withdraw), answers.put)
        return answers.get(timeout=TIMEOUT_S).outcome

    def fail_writes(self, *faults: Fault) -> None:
        remaining = list(faults)
        self.platform.next_fault = lambda: remaining.pop(0) if remaining else Fault.NONE

    def test_only_the_first_claim_of_a_key_is_fresh(self) -> None:
        first, second = self.make_home(), self.make_home()
        self.assertEqual(ClaimOutcome.FRESH, self.decide(first, claim_of("k", "a")))
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(second, claim_of("k", "b")))
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(first, claim_of("k", "c")))
        self.assertEqual(ClaimOutcome.MISMATCH, self.decide(first, claim_of("k", "d", b"other")))
        self.assertEqual(ClaimOutcome.FRESH, self.decide(first, claim_of("k", "a")))

    def test_a_write_whose_response_was_lost_is_recognised_by_its_claimant(self) -> None:
        self.fail_writes(Fault.LOST_ANSWER)
        self.assertEqual(ClaimOutcome.FRESH, self.decide(self.make_home(), claim_of("k", "a")))
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(self.make_home(), claim_of("k", "b")))

    def test_a_delayed_write_cannot_cause_a_second_fresh_claim(self) -> None:
        first, second = self.make_home(), self.make_home()
        self.fail_writes(Fault.LATE_WRITE)
        self.assertEqual(ClaimOutcome.FRESH, self.decide(first, claim_of("k", "a")))
        self.platform.apply_late_writes()
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(second, claim_of("k", "b")))

    def test_claims_are_unavailable_while_the_platform_is_down(self) -> None:
        home = self.make_home()
        self.platform.down = True
        self.assertEqual(ClaimOutcome.UNAVAILABLE, self.decide(home, claim_of("k", "a")))
        self.platform.down = False
        self.assertEqual(ClaimOutcome.FRESH, self.decide(home, claim_of("k", "b")))

    def test_only_its_claimant_can_withdraw_a_claim(self) -> None:
        home = self.make_home()
        self.decide(home, claim_of("k", "a"))
        self.decide(home, claim_of("k", "b"), withdraw=True)
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(home, claim_of("k", "c")))
        self.decide(home, claim_of("k", "a"), withdraw=True)
        self.assertEqual(ClaimOutcome.FRESH, self.decide(home, claim_of("k", "c")))

    def test_claims_expire_after_a_day(self) -> None:
        home = self.make_home()
        self.decide(home, claim_of("k", "a"))
        self.now += RETENTION_S - 1.0
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(home, claim_of("k", "b")))
        self.now += 2.0
        self.assertEqual(ClaimOutcome.FRESH, self.decide(home, claim_of("k", "c")))

    def test_concurrent_claims_of_a_key_share_one_write(self) -> None:
        home = self.make_home()
        answers: SimpleQueue[ClaimAnswer] = SimpleQueue()
        for number in range(1000):
            home.submit(ClaimRequest(str(number), SITE, claim_of("k", str(number))), answers.put)
        outcomes = [answers.get(timeout=TIMEOUT_S).outcome for _ in range(1000)]
        self.assertEqual(1, outcomes.count(ClaimOutcome.FRESH))
        self.assertEqual(1, self.platform.writes)

    def test_at_most_one_claim_is_fresh_under_random_faults(self) -> None:
        """Three homes claim the same keys while calls and responses are lost and writes delayed."""
        for seed in range(20):
            self.run_race(Random(seed))

    def run_race(self, random: Random) -> None:
        self.platform = FakePlatform()
        choices = [Fault.NONE, Fault.NONE, Fault.LOST_CALL, Fault.LOST_ANSWER, Fault.LATE_WRITE]

        def choose() -> Fault:
            if random.random() < 0.3:
                self.apply_late_writes()
            return random.choice(choices)

        self.platform.next_fault = choose
        answers: SimpleQueue[tuple[str, ClaimAnswer]] = SimpleQueue()
        homes = [self.make_home() for _ in range(3)]
        for key in range(6):
            for number, home in enumerate(homes):
                claim = claim_of(str(key), f"{key}-{number}")
                home.submit(ClaimRequest("id", SITE, claim), self.collect(answers, str(key)))
        fresh: dict[str, int] = {}
        for _ in range(18):
            key_name, answer = answers.get(timeout=TIMEOUT_S)
            if answer.outcome is ClaimOutcome.FRESH:
                fresh[key_name] = fresh.get(key_name, 0) + 1
        self.assertTrue(all(count == 1 for count in fresh.values()), str(fresh))

    def apply_late_writes(self) -> None:
        late, self.platform._late = self.platform._late, []
        for write in late:
            try:
                self.platform._apply(write)
            except Exception:
                continue

    def collect(
        self, answers: "SimpleQueue[tuple[str, ClaimAnswer]]", key: str
    ) -> Callable[[ClaimAnswer], None]:
        return lambda answer: answers.put((key, answer))

    def test_claims_that_a_restored_store_has_lost_are_written_again(self) -> None:
        """A key whose claim is lost would be run a second time after a change of home."""
        home = self.make_home()
        self.decide(home, claim_of("k", "a"))
        self.decide(home, claim_of("k2", "a"))
        self.platform.restore(writes=2)
        home.restore()
        home.stop()
        other = self.make_home()
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(other, claim_of("k", "b")))
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(other, claim_of("k2", "b")))

    def test_lost_claims_are_known_before_the_restoration_is(self) -> None:
        home = self.make_home()
        self.decide(home, claim_of("k", "a"))
        first = claim_of("k", "a")
        others = [claim_of(f"k{number}", "b") for number in range(500)]
        same_shard = next(claim for claim in others if claim.shard == first.shard)
        self.platform.restore(writes=1)
        self.decide(home, same_shard)
        self.assertEqual(ClaimOutcome.TAKEN, self.decide(self.make_home(), claim_of("k", "c")))
