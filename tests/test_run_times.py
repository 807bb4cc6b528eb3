from testtools import TestCase

from cherrylane.limits.run_times import MAX_RUNS, MIN_START_INTERVAL_S, RunTimes

ROUTE = "desk"


def play(run_times: RunTimes, *, seconds: list[float], until: float) -> None:
    """Start a request every 0.5 s until then; they take ``seconds`` in turn."""
    for index in range(int(until / 0.5)):
        started_at = index * 0.5
        run = run_times.begin(ROUTE, started_at)
        taken_s = seconds[index % len(seconds)]
        if started_at + taken_s <= until:
            run.end(started_at + taken_s, is_whole=True)


class StopTest(TestCase):
    # Guards against requests that are passed on in a stop and cut at its end.
    def test_run_times_of_7_s_in_a_stop_of_8_s(self) -> None:
        run_times = RunTimes()
        play(run_times, seconds=[7.0], until=30.0)
        self.assertTrue(run_times.can_end_within(ROUTE, 7.3, now=30.0))
        self.assertFalse(run_times.can_end_within(ROUTE, 6.9, now=30.0))

    # Guards against a rolling stop that refuses requests that would end in time.
    def test_short_requests_are_started_to_the_end(self) -> None:
        run_times = RunTimes()
        play(run_times, seconds=[0.3, 1.2], until=30.0)
        self.assertTrue(run_times.can_end_within(ROUTE, 1.3, now=30.0))

    # Guards against run times taken from ended requests alone, of which none is a long one yet.
    def test_running_requests_count_with_their_ages(self) -> None:
        run_times = RunTimes()
        play(run_times, seconds=[0.1, 7.0], until=6.0)
        self.assertFalse(run_times.can_end_within(ROUTE, 6.0, now=6.0))
        self.assertAlmostEqual(0.5, run_times.estimate_late_share(ROUTE, 6.0, now=6.0), places=2)

    # Guards against one slow request that has a whole route refused.
    def test_one_long_request_among_many_short_ones(self) -> None:
        run_times = RunTimes()
        play(run_times, seconds=[0.1] * 39 + [7.0], until=60.0)
        self.assertTrue(run_times.can_end_within(ROUTE, 2.0, now=60.0))

    def test_one_long_request_among_few_short_ones(self) -> None:
        for short in (9, 10, 18, 19, 20):
            run_times = RunTimes()
            run_times.begin(ROUTE, 0.0)
            for index in range(short):
                run_times.begin(ROUTE, 1.0 + index * 0.25).end(1.5 + index * 0.25, is_whole=True)
            self.assertTrue(run_times.can_end_within(ROUTE, 5.0, now=7.0), short)
            run_times.begin(ROUTE, 6.2)
            run_times.begin(ROUTE, 6.4)
            self.assertFalse(run_times.can_end_within(ROUTE, 0.55, now=7.0), short)

    # Guards against refused requests that take the places of those from which something is known.
    def test_refused_requests_are_not_followed(self) -> None:
        run_times = RunTimes()
        play(run_times, seconds=[0.3], until=30.0)
        for index in range(1000):
            started_at = 30.0 + index * 0.25
            run = run_times.begin(ROUTE, started_at)
            run.end(started_at, is_whole=False)
            run_times.discard(ROUTE, run)
        self.assertEqual(0.0, run_times.estimate_late_share(ROUTE, 1.0, now=300.0))

    def test_nothing_is_known_of_a_route_without_ended_requests(self) -> None:
        run_times = RunTimes()
        self.assertEqual(1.0, run_times.estimate_late_share(ROUTE, 60.0, now=0.0))
        run_times.begin(ROUTE, now=0.0)
        self.assertEqual(1.0, run_times.estimate_late_share(ROUTE, 60.0, now=1.0))

    # Guards against requests that were refused or given up early and make others look short.
    def test_requests_given_up_say_nothing_of_later_ends(self) -> None:
        run_times = RunTimes()
        for index in range(10):
            run_times.begin(ROUTE, index * 1.0).end(index + 0.1, is_whole=False)
        self.assertFalse(run_times.can_end_within(ROUTE, 5.0, now=20.0))


class BoundsTest(TestCase):
    # Guards against a share that counts only the shortest requests, since these end first.
    def test_many_requests_are_followed_for_long_enough(self) -> None:
        run_times = RunTimes()
        for index in range(20_000):
            run = run_times.begin(ROUTE, index * 0.01)
            if index % 2 == 0:
                run.end(index * 0.01 + 0.05, is_whole=True)
        self.assertTrue(run_times.estimate_late_share(ROUTE, 3.0, now=200.0) > 0.05)
        self.assertTrue(MAX_RUNS * MIN_START_INTERVAL_S >= 50.0)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        run_times = RunTimes()
        run_times.begin(ROUTE, 0.0).end(1.0, is_whole=True)
        run_times.keep({"other"})
        self.assertEqual(1.0, run_times.estimate_late_share(ROUTE, 5.0, now=2.0))
