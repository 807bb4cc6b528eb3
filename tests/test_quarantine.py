from collections.abc import Sequence

from testtools import TestCase

from cherrylane.limits.crash_evidence import (
    MIN_CRASHES_ANSWERED_BEFORE,
    Suspect,
    UpstreamCrash,
    Verdict,
    count_successive,
)
from cherrylane.limits.quarantine import (
    EVIDENCE_LIFETIME_S,
    FIRST_TRIAL_S,
    MAX_ANSWERED,
    MAX_CRASHES,
    MAX_SUSPECTS,
    MAX_VERDICTS,
    TRIAL_TIMEOUT_S,
    VERDICT_LIFETIME_S,
    RequestQuarantine,
)

SYSTEM, ACCOUNT, TAINTED = "5c1e", "91bd", "dead"
PARTS = (SYSTEM, ACCOUNT, TAINTED)


def make_crash(
    number: int, *parts: str, age_s: float = 0.0, lead_s: float = 0.2, incarnation: int = 1
) -> UpstreamCrash:
    suspects = tuple(Suspect(part, depth, lead_s) for depth, part in enumerate(parts))
    return UpstreamCrash(f"i-{number}", incarnation, age_s, suspects)


def crash_often(
    quarantine: RequestQuarantine, times: int, *parts: str, start: float = 0.0, first: int = 0
) -> float:
    """Note successive crashes a second apart; returns the time of the last one."""
    for number in range(times):
        quarantine.record_crash(make_crash(first + number, *parts), now=start + number)
    return start + times - 1


def record_answered(
    quarantine: RequestQuarantine, parts: tuple[str, ...], answered_at: float
) -> None:
    for part in parts:
        quarantine.record_answered(part, answered_at)


class VerdictTest(TestCase):
    def test_three_successive_crashes_quarantine_the_deepest_common_part_only(self) -> None:
        quarantine = RequestQuarantine()
        now = crash_often(quarantine, 2, *PARTS)
        self.assertIsNone(quarantine.find(PARTS, now))
        now = crash_often(quarantine, 1, *PARTS, start=2.0, first=2)
        self.assertEqual(TAINTED, quarantine.find(PARTS, now).part)  # type: ignore[union-attr]
        self.assertIsNone(quarantine.find((SYSTEM, ACCOUNT), now))
        self.assertEqual(1, quarantine.count_in_force())

    def test_requests_beside_the_tainted_one_do_not_count_against_what_they_share(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(10):
            now = float(number)
            quarantine.record_crash(make_crash(number, *PARTS), now)
            quarantine.record_crash(make_crash(number, SYSTEM, f"chat-{number}"), now)
            quarantine.find(PARTS, now)
        self.assertEqual([TAINTED], [verdict.part for verdict in quarantine.list_verdicts(now)])

    def test_a_part_that_every_tainted_prompt_begins_with_is_found(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(3):
            quarantine.record_crash(make_crash(number, TAINTED, f"chat-{number}"), float(number))
        self.assertIsNotNone(quarantine.find((TAINTED, "chat-9"), 2.0))
        self.assertIsNone(quarantine.find((SYSTEM, "chat-0"), 2.0))

    # Guards against a failure domain that goes down at once being taken for a tainted part.
    def test_upstreams_that_end_together_count_once(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(30):
            quarantine.record_crash(make_crash(number, SYSTEM, "chat", lead_s=1.0), number / 100)
        self.assertIsNone(quarantine.find((SYSTEM, "chat"), 1.0))

    # Guards against a prompt that all share being refused when engines crash for other reasons.
    def test_a_completed_answer_clears_the_parts_of_its_prompt(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(20):
            quarantine.record_crash(make_crash(number, SYSTEM, f"chat-{number}"), float(number))
            record_answered(quarantine, (SYSTEM, "other"), answered_at=number + 0.5)
            self.assertIsNone(quarantine.find((SYSTEM, "other"), number + 0.6))

    def test_an_answer_that_began_before_a_crash_clears_nothing(self) -> None:
        quarantine = RequestQuarantine()
        record_answered(quarantine, PARTS, answered_at=-1.0)
        now = crash_often(quarantine, MIN_CRASHES_ANSWERED_BEFORE, *PARTS)
        record_answered(quarantine, PARTS, answered_at=-0.5)
        self.assertIsNotNone(quarantine.find(PARTS, now))

    # Guards against a system prompt being refused when engines crash before a tainted part does.
    def test_a_part_that_was_answered_before_needs_more_crashes(self) -> None:
        quarantine = RequestQuarantine()
        record_answered(quarantine, (SYSTEM, ACCOUNT), answered_at=-1.0)
        for number, parts in enumerate(((SYSTEM, "chat"), PARTS, PARTS, PARTS, PARTS)):
            now = float(number)
            quarantine.record_crash(make_crash(number, *parts), now)
            self.assertIsNone(quarantine.find((SYSTEM, ACCOUNT), now))
        self.assertIsNotNone(quarantine.find(PARTS, now))

    # Guards against a crash that peers report again undoing an answer since then.
    def test_repeated_reports_do_not_bring_back_a_part_that_was_answered_since(self) -> None:
        quarantine = RequestQuarantine()
        crash_often(quarantine, MIN_CRASHES_ANSWERED_BEFORE, SYSTEM)
        quarantine.record_answered(SYSTEM, 10.0)
        for number in range(MIN_CRASHES_ANSWERED_BEFORE):
            quarantine.record_crash(make_crash(number, SYSTEM, age_s=11.0 - number), now=11.0)
        self.assertIsNone(quarantine.find((SYSTEM,), 11.0))

    def test_more_guilty_parts_than_verdicts_are_judged(self) -> None:
        quarantine = RequestQuarantine()
        suspects = tuple(Suspect(f"p{number}", 1, 0.2) for number in range(MAX_VERDICTS + 9))
        for number in range(3):
            crash = UpstreamCrash(f"i-{number}", 1, 0.0, suspects)
            quarantine.record_crash(crash, float(number))
        quarantine.find(("p0",), 2.0)
        self.assertEqual(MAX_VERDICTS, quarantine.count_in_force())

    # Guards against callers that fill a host's memory with the parts of their prompts.
    def test_the_suspects_of_a_crash_are_bounded(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(MAX_SUSPECTS * 2):
            quarantine.record_crash(make_crash(1, f"p{number}"), 0.0)
        self.assertEqual(MAX_SUSPECTS, len(next(iter(quarantine._crashes.values())).suspects))

    # Guards against a part that crashes engines being forgotten because others were lifted.
    def test_lifted_verdicts_are_dropped_before_those_in_force(self) -> None:
        quarantine = RequestQuarantine()
        quarantine.apply_verdict(Verdict("dead", 1, False, 0.0), now=0.0)
        for number in range(MAX_VERDICTS * 2):
            quarantine.apply_verdict(Verdict(f"p{number}", 1, True, 0.0), now=1.0 + number)
        self.assertIsNotNone(quarantine.find(("dead",), 2.0))

    def test_memory_of_answered_parts_is_bounded(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(MAX_ANSWERED * 2):
            quarantine.record_answered(f"p{number}", 0.0)
        self.assertEqual(MAX_ANSWERED, len(quarantine._answered))

    # Guards against a retry being taken for a request sent before the crash that it follows.
    def test_a_request_sent_at_the_moment_of_a_crash_counts_as_sent_after_it(self) -> None:
        quarantine = RequestQuarantine()
        for number, at in enumerate((1.0, 1.5, 2.0)):
            quarantine.record_crash(make_crash(number, *PARTS, lead_s=0.503), at)
        self.assertIsNotNone(quarantine.find(PARTS, 2.0))

    def test_repeated_reports_of_one_crash_count_once(self) -> None:
        quarantine = RequestQuarantine()
        for age_s in (0.0, 0.2, 5.0):
            quarantine.record_crash(
                make_crash(1, *PARTS, age_s=age_s, lead_s=0.0), now=10.0 + age_s
            )
        self.assertIsNone(quarantine.find(PARTS, 15.0))
        for incarnation in (2, 3):
            now = 20.0 + incarnation
            quarantine.record_crash(make_crash(1, *PARTS, incarnation=incarnation), now)
        self.assertIsNotNone(quarantine.find(PARTS, now))

    # Guards against a host judging by its own requests before it has heard of the tainted one.
    def test_crashes_are_judged_once_the_peers_have_reported_theirs(self) -> None:
        quarantine = RequestQuarantine(settle_s=1.0)
        now = crash_often(quarantine, 3, SYSTEM, ACCOUNT)
        self.assertIsNone(quarantine.find((SYSTEM, ACCOUNT), now + 0.5))
        for number in range(3):
            quarantine.record_crash(make_crash(number, *PARTS, age_s=2.4 - number), now + 0.4)
        self.assertIsNone(quarantine.find((SYSTEM, ACCOUNT), now + 1.1))
        self.assertIsNotNone(quarantine.find(PARTS, now + 1.1))

    def test_old_crashes_do_not_count_and_memory_is_bounded(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(3):
            now = number * EVIDENCE_LIFETIME_S * 0.6
            quarantine.record_crash(make_crash(number, *PARTS), now)
        self.assertIsNone(quarantine.find(PARTS, now))
        for number in range(MAX_CRASHES * 3):
            quarantine.record_crash(make_crash(number, f"p{number}"), now)
        self.assertEqual(MAX_CRASHES, len(quarantine._crashes))
        for number in range(MAX_VERDICTS * 3):
            quarantine.apply_verdict(Verdict(f"p{number}", 1, False, 0.0), now + number)
        self.assertEqual(MAX_VERDICTS, quarantine.count_in_force())


class WholeRequestTest(TestCase):
    """Requests without parts of prompts, known by a fingerprint."""

    DEADLY = ("r:dead",)
    OTHER = ("r:07e2",)

    def crash_at_once(
        self, quarantine: RequestQuarantine, times: int, *fingerprints: str, start: float = 0.0
    ) -> float:
        """Note crashes 0.03 s apart at which the same requests are in progress."""
        for number in range(times):
            suspects = tuple(Suspect(fingerprint, 0, 0.15) for fingerprint in fingerprints)
            name = f"i-{start}-{number}"
            crash = UpstreamCrash(name, 1, 0.0, suspects)
            quarantine.record_crash(crash, start + number * 0.03)
        return start + (times - 1) * 0.03

    # Guards against upstreams that one request ends in the same moment counting as one (second1).
    def test_crashes_of_the_same_moment_count_each_for_one_that_was_never_answered(self) -> None:
        quarantine = RequestQuarantine()
        now = self.crash_at_once(quarantine, 2, *self.DEADLY)
        self.assertIsNone(quarantine.find(self.DEADLY, now))
        now = self.crash_at_once(quarantine, 1, *self.DEADLY, start=0.06)
        self.assertIsNotNone(quarantine.find(self.DEADLY, now))

    # Guards against sending it on while the peers' reports are awaited.
    def test_one_at_three_crashes_is_held_until_they_are_judged(self) -> None:
        quarantine = RequestQuarantine(settle_s=1.0)
        now = self.crash_at_once(quarantine, 3, *self.DEADLY)
        held = quarantine.find(self.DEADLY, now + 0.01)
        self.assertIsNotNone(held)
        self.assertTrue(0.0 < held.retry_after_s <= 1.0, held)  # type: ignore[union-attr]
        self.assertEqual(0, quarantine.count_in_force())
        judged = quarantine.find(self.DEADLY, now + 1.01)
        self.assertTrue(judged.retry_after_s > 20.0, judged)  # type: ignore[union-attr]
        self.assertEqual(1, quarantine.count_in_force())

    # Guards against a request that many send being refused when a failure domain ends.
    def test_one_that_was_answered_before_is_not_refused_for_crashes_of_one_moment(self) -> None:
        quarantine = RequestQuarantine(settle_s=1.0)
        quarantine.record_answered(self.OTHER[0], -1.0)
        for start in (0.0, 4.0):
            now = self.crash_at_once(quarantine, 4, *self.OTHER, start=start)
            self.assertIsNone(quarantine.find(self.OTHER, now))
            self.assertIsNone(quarantine.find(self.OTHER, now + 2.0))

    def test_an_answer_between_crashes_clears_it(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(20):
            now = self.crash_at_once(quarantine, 2, *self.OTHER, start=float(number))
            quarantine.record_answered(self.OTHER[0], now + 0.2)
            self.assertIsNone(quarantine.find(self.OTHER, now + 0.3))

    # Guards against crashes whose suspects were all answered taking the place of evidence.
    def test_crashes_without_suspects_are_forgotten_first(self) -> None:
        quarantine = RequestQuarantine()
        self.crash_at_once(quarantine, 2, *self.DEADLY)
        for number in range(MAX_CRASHES):
            now = self.crash_at_once(quarantine, 1, *self.OTHER, start=1.0 + number)
            quarantine.record_answered(self.OTHER[0], now + 0.2)
        now = self.crash_at_once(quarantine, 1, *self.DEADLY, start=100.0)
        self.assertEqual(MAX_CRASHES, len(quarantine._crashes))
        self.assertIsNotNone(quarantine.find(self.DEADLY, now))

    def test_an_answer_ends_a_hold(self) -> None:
        quarantine = RequestQuarantine(settle_s=1.0)
        now = self.crash_at_once(quarantine, 3, *self.OTHER)
        self.assertIsNotNone(quarantine.find(self.OTHER, now))
        quarantine.record_answered(self.OTHER[0], now + 0.1)
        self.assertIsNone(quarantine.find(self.OTHER, now + 0.2))

    # Guards against each answer after a storm of crashes costing a look at all their suspects.
    def test_answers_to_what_is_not_held_do_not_find_the_causes_again(self) -> None:
        quarantine = RequestQuarantine(settle_s=1.0)
        bystanders = [f"r:{number}" for number in range(20)]
        self.crash_at_once(quarantine, 2, *self.DEADLY)
        now = self.crash_at_once(quarantine, 1, *self.DEADLY, *bystanders, *PARTS, start=0.06)
        self.assertIsNotNone(quarantine.find(self.DEADLY, now))
        held = quarantine._held
        for part in (*bystanders, *PARTS):
            self.assertTrue(quarantine.record_answered(part, now + 0.1))
            self.assertIsNotNone(quarantine.find(self.DEADLY, now + 0.2))
            self.assertIs(held, quarantine._held)
        quarantine.record_answered(self.DEADLY[0], now + 0.1)
        self.assertIsNone(quarantine.find(self.DEADLY, now + 0.2))

    def test_of_two_at_the_same_crashes_the_one_at_more_of_them_explains_them(self) -> None:
        for settle_s in (0.0, 1.0):
            quarantine = RequestQuarantine(settle_s=settle_s)
            self.crash_at_once(quarantine, 3, *self.DEADLY, *self.OTHER)
            now = self.crash_at_once(quarantine, 1, *self.DEADLY, start=0.2)
            self.assertIsNotNone(quarantine.find(self.DEADLY, now))
            self.assertIsNone(quarantine.find(self.OTHER, now))
            self.assertIsNotNone(quarantine.find(self.DEADLY, now + 2.0))
            self.assertIsNone(quarantine.find(self.OTHER, now + 2.0))

    def test_two_that_crash_upstreams_in_turn_are_both_refused(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(3):
            self.crash_at_once(quarantine, 1, *self.DEADLY, start=number / 10)
            now = self.crash_at_once(quarantine, 1, *self.OTHER, start=number / 10 + 0.05)
        self.assertIsNotNone(quarantine.find(self.DEADLY, now))
        self.assertIsNotNone(quarantine.find(self.OTHER, now))

    # Guards against requests being refused because many upstreams end for another reason.
    def test_a_storm_of_crashes_with_other_requests_each_refuses_none(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(MAX_CRASHES):
            own = (f"r:{number}", f"r:{number // 2}-b")
            now = self.crash_at_once(quarantine, 1, *own, start=number * 0.01)
        for number in range(MAX_CRASHES):
            self.assertIsNone(quarantine.find((f"r:{number}",), now))
            self.assertIsNone(quarantine.find((f"r:{number // 2}-b",), now))

    # Guards against the retry of a request being the second crash.
    def test_one_that_was_at_a_crash_and_never_answered_is_not_retried(self) -> None:
        quarantine = RequestQuarantine()
        self.assertTrue(quarantine.may_retry(self.DEADLY))
        quarantine.record_answered(self.OTHER[0], -1.0)
        self.crash_at_once(quarantine, 1, *self.DEADLY, *self.OTHER, *PARTS)
        self.assertFalse(quarantine.may_retry(self.DEADLY))
        self.assertTrue(quarantine.may_retry(self.OTHER))
        self.assertTrue(quarantine.may_retry(PARTS))
        quarantine.record_answered(self.DEADLY[0], 1.0)
        self.assertTrue(quarantine.may_retry(self.DEADLY))


class PartsOfPeersTest(TestCase):
    # Guards against unanswered parts needing more crashes because a peer has seen them answered.
    def test_what_peers_have_seen_answered_counts_for_whole_requests_only(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(3):
            suspects = (Suspect("part", 0, 0.3, was_answered=True),)
            quarantine.record_crash(UpstreamCrash(f"i-{number}", 1, 0.0, suspects), number * 0.5)
        self.assertIsNotNone(quarantine.find(("part",), 1.0))


class WholeChatRequestTest(TestCase):
    """Whole requests whose prompts have parts that others share, known by both."""

    DEADLY = ("system", "session", "r:dead")

    def crash_with(
        self, quarantine: RequestQuarantine, number: int, *prompts: Sequence[str]
    ) -> float:
        """Note a crash at which requests with these parts are in progress, one after the other."""
        now = number * 0.5
        suspects = tuple(
            Suspect(part, depth, 0.3) for prompt in prompts for depth, part in enumerate(prompt)
        )
        quarantine.record_crash(UpstreamCrash(f"i-{number}", 1, 0.0, suspects), now)
        return now

    # Guards against one request crashing engine after engine because its parts are answered in
    # other requests (second1).
    def test_one_whose_parts_were_answered_in_others_is_refused_as_a_whole(self) -> None:
        quarantine = RequestQuarantine()
        for part in ("system", "session"):
            quarantine.record_answered(part, -1.0)
        for number in range(3):
            now = self.crash_with(quarantine, number, self.DEADLY, ("system", f"r:{number}"))
        self.assertEqual("r:dead", quarantine.find(self.DEADLY, now).part)  # type: ignore[union-attr]
        self.assertIsNone(quarantine.find(("system", "session", "r:07e2"), now))

    # Guards against a session being refused for one request of it.
    def test_a_part_that_is_at_its_crashes_alone_is_not_refused(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(4):
            now = self.crash_with(quarantine, number, self.DEADLY)
        self.assertIsNotNone(quarantine.find(self.DEADLY, now))
        self.assertIsNone(quarantine.find(("system", "session", "r:07e2"), now))

    # Guards against a part going on because one request with it came three times.
    def test_a_part_that_crashes_with_other_requests_too_is_refused(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(3):
            now = self.crash_with(quarantine, number, ("system", "part", "r:first"))
        self.assertIsNone(quarantine.find(("system", "part", "r:second"), now))
        now = self.crash_with(quarantine, 3, ("system", "part", "r:second"))
        self.assertEqual("part", quarantine.find(("system", "part", "r:x"), now).part)  # type: ignore[union-attr]

    # Guards against a deadly request having no place among the suspects beside long prompts.
    def test_the_parts_of_others_take_no_places_of_whole_requests(self) -> None:
        quarantine = RequestQuarantine()
        for number in range(3):
            prompts = [
                (*(f"{number}-{prompt}-{part}" for part in range(64)), f"r:{number}-{prompt}")
                for prompt in range(MAX_SUSPECTS // 64 + 1)
            ]
            now = self.crash_with(quarantine, number, *prompts, self.DEADLY)
        self.assertEqual(3, quarantine.count_crashes("r:dead"))
        self.assertIsNotNone(quarantine.find(self.DEADLY, now))

    # Guards against streams losing their retry because an engine with many of them crashed.
    def test_it_is_retried_after_one_crash_and_not_after_two(self) -> None:
        quarantine = RequestQuarantine()
        self.crash_with(quarantine, 0, self.DEADLY)
        self.assertTrue(quarantine.may_retry(self.DEADLY))
        self.crash_with(quarantine, 1, self.DEADLY)
        self.assertFalse(quarantine.may_retry(self.DEADLY))


class HealingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.quarantine = RequestQuarantine()
        self.now = crash_often(self.quarantine, 3, *PARTS)
        self.assertIsNotNone(self.quarantine.find(PARTS, self.now))

    def test_an_answer_that_began_after_the_verdict_lifts_it(self) -> None:
        record_answered(self.quarantine, PARTS, answered_at=self.now + 0.1)
        self.assertIsNone(self.quarantine.find(PARTS, self.now + 0.2))
        now = crash_often(self.quarantine, 5, *PARTS, start=self.now + 1, first=10)
        self.assertIsNotNone(self.quarantine.find(PARTS, now))
        verdicts = self.quarantine.list_verdicts(now)
        self.assertEqual([2], [verdict.generation for verdict in verdicts])

    def test_one_request_at_a_time_tries_the_part_at_the_chosen_host(self) -> None:
        due = self.now + FIRST_TRIAL_S
        refused = self.quarantine.find(PARTS, due - 12.0)
        self.assertAlmostEqual(12.0, refused.retry_after_s)  # type: ignore[union-attr]
        self.quarantine.is_trial_host = lambda part: False
        self.assertIsNotNone(self.quarantine.find(PARTS, due))
        self.quarantine.is_trial_host = lambda part: True
        self.assertIsNone(self.quarantine.find(PARTS, due))
        self.assertIsNotNone(self.quarantine.find(PARTS, due))
        self.assertIsNone(self.quarantine.find(PARTS, due + TRIAL_TIMEOUT_S))

    # Guards against a request that no host ever tries since each waits for the other.
    def test_what_is_quarantined_with_its_part_is_tried_by_one_of_the_hosts(self) -> None:
        trials = 0
        for own in ("part", "r:whole"):
            host = RequestQuarantine(is_trial_host=own.__eq__)
            for part in ("part", "r:whole"):
                host.apply_verdict(Verdict(part, 1, False, 0.0), 0.0)
            trials += host.find(("part", "r:whole"), FIRST_TRIAL_S + 1) is None
        self.assertEqual(1, trials)

    # Guards against trials that go on crashing engines at the same pace.
    def test_trials_that_fail_become_rarer(self) -> None:
        trials = []
        for second in range(250):
            now = self.now + second
            if self.quarantine.find(PARTS, now) is None:
                trials.append(second)
                self.quarantine.record_crash(make_crash(100 + second, *PARTS), now + 0.3)
        self.assertEqual([30, 91, 212], trials)

    def test_crashes_by_requests_sent_before_the_verdict_put_off_the_trial(self) -> None:
        self.quarantine.record_crash(make_crash(9, *PARTS, lead_s=8.0), self.now + 5.0)
        self.assertIsNotNone(self.quarantine.find(PARTS, self.now + FIRST_TRIAL_S + 1))
        self.assertIsNone(self.quarantine.find(PARTS, self.now + FIRST_TRIAL_S + 5))
        verdicts = self.quarantine.list_verdicts(self.now)
        self.assertEqual([1], [verdict.generation for verdict in verdicts])

    def test_a_verdict_is_dropped_long_after_the_last_crash(self) -> None:
        self.assertEqual([], self.quarantine.list_verdicts(self.now + VERDICT_LIFETIME_S + 1))
        self.assertIsNone(self.quarantine.find(PARTS, self.now + VERDICT_LIFETIME_S + 1))


class PeersTest(TestCase):
    def test_newer_verdicts_replace_older_ones_in_any_order(self) -> None:
        verdicts = [
            Verdict(TAINTED, generation, lifted, 1.0)
            for generation in (1, 2)
            for lifted in (False, True)
        ]
        for order in (verdicts, verdicts[::-1]):
            quarantine = RequestQuarantine()
            for verdict in order:
                quarantine.apply_verdict(verdict, now=10.0)
            self.assertEqual(verdicts[-1:], quarantine.list_verdicts(10.0))

    def test_a_lifted_verdict_is_not_renewed_by_the_crashes_before_it(self) -> None:
        quarantine = RequestQuarantine()
        now = crash_often(quarantine, 3, *PARTS)
        quarantine.find(PARTS, now)
        quarantine.apply_verdict(Verdict(TAINTED, 1, True, 0.5), now + 0.5)
        for number in range(3):
            quarantine.record_crash(make_crash(number, *PARTS, age_s=3.0 - number), now + 1.0)
        self.assertIsNone(quarantine.find(PARTS, now + 1.0))

    # Guards against a host that starts forgetting crashes because of an answer long before them.
    def test_a_verdict_that_was_lifted_long_ago_clears_no_crashes_since(self) -> None:
        quarantine = RequestQuarantine()
        now = crash_often(quarantine, 3, *PARTS, start=1000.0)
        self.assertIsNotNone(quarantine.find(PARTS, now))
        quarantine.apply_verdict(Verdict(TAINTED, 1, True, age_s=500.0), now + 0.1)
        self.assertIsNotNone(quarantine.find(PARTS, now + 0.2))

    # Guards against a host refusing for all what another one has seen answered.
    def test_a_verdict_on_a_part_that_was_answered_since_its_last_crash_is_lifted(self) -> None:
        quarantine = RequestQuarantine()
        quarantine.record_answered(SYSTEM, 9.0)
        quarantine.apply_verdict(Verdict(SYSTEM, 1, False, age_s=2.0), now=10.0)
        self.assertIsNone(quarantine.find((SYSTEM,), 10.0))
        self.assertEqual([Verdict(SYSTEM, 1, True, 2.0)], quarantine.list_verdicts(10.0))
        quarantine.apply_verdict(Verdict(SYSTEM, 2, False, age_s=0.5), now=10.0)
        self.assertIsNotNone(quarantine.find((SYSTEM,), 10.0))

    # Guards against a host that starts not hearing of a verdict because of newer ones on others.
    def test_verdicts_in_force_are_told_before_those_that_were_lifted_long_ago(self) -> None:
        quarantine = RequestQuarantine()
        quarantine.apply_verdict(Verdict("dead", 1, False, 1.0), now=0.0)
        quarantine.apply_verdict(Verdict("old", 1, True, 1.0), now=1.0)
        quarantine.apply_verdict(Verdict("new", 1, True, 1.0), now=100.0)
        told = [verdict.part for verdict in quarantine.list_verdicts(now=101.0)]
        self.assertEqual(["new", "dead", "old"], told)

    def test_an_expired_verdict_is_ignored(self) -> None:
        quarantine = RequestQuarantine()
        quarantine.apply_verdict(Verdict(TAINTED, 1, False, VERDICT_LIFETIME_S + 1), now=0.0)
        self.assertIsNone(quarantine.find(PARTS, 0.0))


class SuccessionTest(TestCase):
    def test_overlapping_spans_count_once(self) -> None:
        self.assertEqual(0, count_successive([]))
        self.assertEqual(1, count_successive([(0.0, 5.0), (4.0, 6.0), (1.0, 5.5)]))
        self.assertEqual(1, count_successive([(0.96, 1.0), (0.98, 1.03), (0.97, 1.01)]))
        self.assertEqual(3, count_successive([(5.0, 6.0), (0.0, 1.0), (0.5, 6.0), (2.0, 3.0)]))
