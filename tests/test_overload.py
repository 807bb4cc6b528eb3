from random import Random

from testtools import TestCase

from bench.overload import CAPACITY, SLOTS, TARGET_S, TrafficClass, simulate
from cherrylane.limits.overload import (
    MIN_RETRY_S,
    NO_WAIT_S,
    QUIET_S,
    RETRY_SHARE,
    WAIT_SHARES,
    CallerPatience,
    Demand,
    Pace,
    Returns,
    expect_wait,
    has_room,
)
from cherrylane.placement.loads import Load


class BurstTest(TestCase):
    """Several times as many requests come as the engines can begin."""

    def test_what_is_let_in_is_served_in_time(self) -> None:
        kinds = (TrafficClass(1, CAPACITY * 4),)
        without = simulate(kinds, 20.0, limited=False).in_time[1]
        with_limit = simulate(kinds, 20.0, limited=True).in_time[1]
        self.assertTrue(with_limit >= 0.9 * CAPACITY * 20, f"{with_limit} of {CAPACITY * 20}")
        self.assertTrue(with_limit >= 3 * without, f"{with_limit} against {without}")

    def test_urgent_requests_are_served_before_others(self) -> None:
        kinds = (
            TrafficClass(0, CAPACITY / 2),
            TrafficClass(2, CAPACITY),
            TrafficClass(4, CAPACITY),
        )
        played = simulate(kinds, 20.0, limited=True)
        served = {rank: played.in_time[rank] / played.arrived[rank] for rank in played.arrived}
        self.assertTrue(served[0] >= 0.95, str(served))
        self.assertTrue(served[0] >= served[2] >= served[4], str(served))

    def test_below_the_capacity_nobody_is_refused(self) -> None:
        played = simulate(
            (TrafficClass(0, CAPACITY * 0.3), TrafficClass(4, CAPACITY * 0.4)), 20.0, limited=True
        )
        self.assertEqual(played.arrived, played.in_time)


class LostEnginesTest(TestCase):
    """Engines are lost with what they had cached, and prompts have to be read anew."""

    def test_a_long_queue_of_prompts_counts_as_wait(self) -> None:
        pace = Pace(2.0, tokens_per_s=80_000.0)
        self.assertEqual(1.0, expect_wait(Load(3, 80_000), SLOTS, pace))
        self.assertFalse(has_room(Demand(1, 0.6), Load(3, 80_000), SLOTS, pace))
        self.assertTrue(has_room(Demand(1, 0.6), Load(3, 20_000), SLOTS, pace))

    def test_the_size_of_a_prompt_does_not_matter_for_its_own_admission(self) -> None:
        """Large prompts would starve if what they add themselves counted as wait."""
        self.assertTrue(has_room(Demand(4, 0.6), Load(), SLOTS, Pace(2.0, 1_000.0)))

    def test_the_pace_follows_what_engines_show(self) -> None:
        pace = Pace()
        for _ in range(60):
            pace.note_first_event(10_000, 0.5)
            pace.note_end(1.5)
        self.assertTrue(19_000 < pace.tokens_per_s < 21_000, str(pace.tokens_per_s))
        self.assertTrue(1.4 < pace.seconds_per_request < 1.6, str(pace.seconds_per_request))

    def test_short_prompts_tell_nothing_of_the_pace(self) -> None:
        pace = Pace()
        before = pace.tokens_per_s
        pace.note_first_event(50, 3.0)
        self.assertEqual(before, pace.tokens_per_s)


class LateCallersTest(TestCase):
    """Callers that were refused come back after their target time."""

    def test_they_use_only_what_others_leave(self) -> None:
        pace = Pace(2.0)
        late = Demand(0, TARGET_S, waited_s=2.0)
        self.assertEqual(NO_WAIT_S, late.longest_wait_s)
        self.assertTrue(has_room(late, Load(SLOTS - 1), SLOTS, pace))
        self.assertFalse(has_room(late, Load(SLOTS), SLOTS, pace))
        self.assertTrue(has_room(Demand(0, TARGET_S), Load(SLOTS), SLOTS, pace))

    def test_how_long_they_have_waited_is_told_by_the_time_they_have_left(self) -> None:
        patience = CallerPatience()
        self.assertEqual(0.0, patience.estimate_waited("r", 10.0))
        self.assertTrue(2.9 < patience.estimate_waited("r", 7.0) <= 3.0)
        self.assertEqual(0.0, patience.estimate_waited("other", 7.0))

    def test_one_caller_with_far_more_patience_does_not_make_all_others_late(self) -> None:
        patience = CallerPatience()
        patience.estimate_waited("r", 60.0)
        self.assertTrue(patience.estimate_waited("r", 10.0) > 49)
        for _ in range(2_000):
            patience.estimate_waited("r", 10.0)
        self.assertTrue(patience.estimate_waited("r", 10.0) < 0.02)

    def test_an_overload_is_expected_to_last_as_long_as_it_has_lasted(self) -> None:
        returns = Returns(Random(1))
        first = returns.choose_delay(12.0, 0.0)
        self.assertTrue(first <= 1.6 * MIN_RETRY_S, str(first))
        delays = [returns.choose_delay(12.0, now / 10) for now in range(1, 40)]
        self.assertTrue(min(delays[-5:]) > 0.8 * 3, str(delays))
        calm = returns.choose_delay(12.0, 4.0 + 2 * QUIET_S)
        self.assertTrue(calm <= 1.6 * MIN_RETRY_S, str(calm))

    def test_returns_are_spread_and_within_the_callers_time(self) -> None:
        returns = Returns(Random(1))
        returns.choose_delay(9.0, 0.0)
        delays = [returns.choose_delay(9.0, 0.9) for _ in range(50)]
        self.assertTrue(max(delays) - min(delays) > 0.5, str(delays))
        late = [returns.choose_delay(1.2, 1.8) for _ in range(50)]
        self.assertTrue(max(late) <= 1.2 * RETRY_SHARE, str(max(late)))


class RanksTest(TestCase):
    def test_the_less_urgent_the_shorter_the_wait(self) -> None:
        waits = [Demand(rank, 1.0).longest_wait_s for rank in range(8)]
        self.assertEqual(sorted(waits, reverse=True), waits)
        self.assertEqual(WAIT_SHARES[-1], waits[-1])
        self.assertEqual(waits[0], Demand(-3, 1.0).longest_wait_s)
