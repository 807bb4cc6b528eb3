"""A short seeded soak of real daemons, and the checks of its guarantees."""

import asyncio
import sys
from collections import Counter
from os import mkfifo
from pathlib import Path
from random import Random
from signal import SIGHUP, SIGTERM
from subprocess import DEVNULL, Popen
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Contains, StartsWith

from soak.callers import (
    DEADLINE_S,
    Ending,
    Exchange,
    RequestKind,
    Response,
    find_last_event,
)
from soak.checks import (
    CROSSING_S,
    DRAIN_S,
    FINISHING_S,
    REGRESSION_GRACE_S,
    Observations,
    check_response,
    find_violations,
)
from soak.disturbances import Disturbance
from soak.faults import FaultKind, draw_faults
from soak.runs import SoakOptions, run_soak
from soak.silences import Silence, Silences
from soak.streams import check_streams
from soak.upstreams import NamedLimit, Refusal, SoakUpstream, make_event, make_response_body
from standins.odd_answers import (
    FAILURE_IDS,
    RESTS,
    STREAMS,
    OddAnswer,
    draw_odd_answer,
    make_failure,
    make_rest,
    make_stopped_head,
)
from tests.test_platform_documents import BOOT
from tests.wire import TEST_TIMEOUT_S

SECONDS = 6.0
# A seed whose short soak stops a host early on.
STOP_SEED = 8
TWO_VERSIONS = "r1: the stream has events of the versions [b'v1', b'v2']"
# Seeds that have found a fault, with its cause; `make soak SEED=...` runs one of them.
#   9: a SIGTERM during start-up ended the daemon with the exit code of the signal.
#   19: no fault of the daemon: a second attempt reached an upstream that had come back since its
#      request was sent; the check went by the time of sending.
#   210: beside much load, a SIGHUP before the interpreter had reached the daemon (KNOWN-RED.txt).
#   3: a SIGHUP during start-up ended the daemon, because its handler was not installed yet.
#   8: a late success was passed on for a run that had answered with a failure, streams took in what
#      was no rest of theirs, and a planned stop cut requests off without an answer.
#   400: a silent upstream's connection was closed before another one had begun to answer, a slow
#      caller got an event twice, and responses were cut that a slow caller had not read yet.


class SoakTest(TestCase):
    def test_a_short_soak_finds_no_violations(self) -> None:
        with TemporaryDirectory() as work_dir:
            options = SoakOptions(seed=1, seconds=SECONDS, hosts=3, callers=4)
            report = asyncio.run(run_soak(options, Path(work_dir)))
        self.assertEqual([], report.violations, report.summary)

    # Guards against a stop that cuts long requests off without an answer (LOST).
    def test_a_short_soak_with_a_planned_stop_finds_no_violations(self) -> None:
        with TemporaryDirectory() as work_dir:
            options = SoakOptions(seed=STOP_SEED, seconds=SECONDS, hosts=3, callers=4)
            report = asyncio.run(run_soak(options, Path(work_dir)))
        self.assertEqual([], report.violations, report.summary)

    def test_the_seed_of_a_planned_stop_stops_a_host(self) -> None:
        kinds = [fault.kind for fault in draw_faults(Random(STOP_SEED), SECONDS)]
        self.assertIn(FaultKind.HOST_STOPPED, kinds)

    def test_the_same_seed_draws_the_same_faults(self) -> None:
        first, repeated = draw_faults(Random(7), 60.0), draw_faults(Random(7), 60.0)
        self.assertEqual(first, repeated)
        self.assertEqual(set(FaultKind), {fault.kind for fault in draw_faults(Random(7), 300.0)})

    def test_the_same_seed_draws_the_same_silences(self) -> None:
        ids = [f"r{number:06d}" for number in range(1000)]
        first, repeated = (
            [silences.draw(request_id, "i-1") for request_id in ids]
            for silences in (Silences(7), Silences(7))
        )
        self.assertEqual(first, repeated)
        drawn = [silence for silence in first if silence is not None]
        self.assertEqual({None, 0, 3}, {silence.after_events for silence in drawn})
        self.assertEqual({True, False}, {silence.is_refused_elsewhere for silence in drawn})

    def test_only_one_upstream_is_silent_on_a_request_and_others_may_refuse_it(self) -> None:
        silences = Silences(7)
        silences.by_request["r1"] = Silence("r1", "i-1", 1.0, None, is_refused_elsewhere=True)
        self.assertIsNone(silences.draw("r1", "i-2"))
        self.assertEqual([False, True], [silences.is_refused("r1", n) for n in ("i-1", "i-2")])
        self.assertFalse(silences.is_refused("r2", "i-2"))


class OddAnswersTest(TestCase):
    def test_a_seed_draws_the_same_odd_answers_and_each_kind_of_them(self) -> None:
        def draw_all(is_stream: bool, last_event: int) -> list[OddAnswer | None]:
            random = Random(7)
            return [draw_odd_answer(random, is_stream, last_event, 8) for _ in range(2000)]

        self.assertEqual(draw_all(True, 0), draw_all(True, 0))
        self.assertEqual({None, *STREAMS}, set(draw_all(True, 0)))
        self.assertEqual({None, OddAnswer.TWICE, OddAnswer.STOP_IN_HEAD}, set(draw_all(False, 0)))
        self.assertEqual({None, *RESTS}, set(draw_all(True, 3)))
        self.assertEqual({None, *RESTS} - {OddAnswer.GAP}, set(draw_all(True, 7)))
        self.assertEqual({None}, set(draw_all(True, 8)))

    def test_a_failure_bears_the_id_of_its_request_or_none_or_several(self) -> None:
        failures = {make_failure(Random(seed), "r1") for seed in range(100)}
        self.assertEqual(2 * len(set(FAILURE_IDS)), len(failures))
        self.assertEqual({0, 1, 2}, {failure.count(b"Attempt-Id") for failure in failures})

    def test_a_head_stops_before_its_end(self) -> None:
        for seed in range(200):
            head = make_stopped_head(Random(seed), "r1", "Content-Length: 64")
            self.assertFalse(head.replace(b"\r", b"").endswith(b"\n\n"))
            self.assertTrue(head)

    def test_no_false_rest_is_what_follows_the_last_event(self) -> None:
        following = [make_event(number) for number in range(4, 9)]
        rests = {answer: make_rest(answer, 4, 8, make_event) for answer in RESTS}
        self.assertNotIn(following, rests.values())
        self.assertEqual(following[1:], rests[OddAnswer.GAP])
        self.assertEqual([make_event(3), *following], rests[OddAnswer.OVERLAP])


class SignalAtStartTest(TestCase):
    def test_sighup_during_start_up_does_not_end_the_daemon(self) -> None:
        """Found by soak seed 3: SIGHUP arrived before its handler was installed."""
        self.assertEqual(0, self.start_and_signal(SIGHUP, BOOT))

    def test_sigterm_during_start_up_ends_the_daemon_with_exit_code_0(self) -> None:
        """Found by soak seed 9: the daemon ended with the exit code of the signal."""
        self.assertEqual(0, self.start_and_signal(SIGTERM, ""))

    def start_and_signal(self, number: int, text: str) -> int:
        """Signal a daemon that is reading its settings from a FIFO, and return its exit code."""
        with TemporaryDirectory() as work_dir:
            settings = Path(work_dir) / "boot.conf"
            mkfifo(settings)
            command = [sys.executable, "-m", "cherrylane.gateway", "--check"]
            process = Popen([*command, "--settings", str(settings)], stdout=DEVNULL, stderr=DEVNULL)
            with settings.open("w", encoding="utf-8") as stream:
                process.send_signal(number)
                stream.write(text)
            return process.wait(TEST_TIMEOUT_S)


def make_exchange(kind: RequestKind, response: Response, **fields: float) -> Exchange:
    exchange = Exchange("r1", kind, "host-1", 1, 0.0, response=response)
    for name, value in fields.items():
        setattr(exchange, name, value)
    return exchange


class ChecksTest(TestCase):
    def test_responses_that_keep_the_guarantees_pass(self) -> None:
        body = make_response_body("r1")
        for kind, response, executions in (
            (RequestKind.UNSAFE, Response(200, "r1", "s", body, True), 1),
            (RequestKind.SAFE, Response(200, "r1", "s", body, True), 2),
            (RequestKind.UNSAFE, Response(503, "r1", "", b"no_upstream\n", True), 0),
            (RequestKind.UNSAFE, Response(502, "r1", "", b"outcome_unknown\n", True), 1),
            (RequestKind.UNSAFE, Response(), 1),
            (RequestKind.STREAM, Response(200, "r1", "s", make_event(1) + make_event(2)), 1),
        ):
            self.assertEqual([], check_response(make_exchange(kind, response), executions))

    def test_each_violation_is_found(self) -> None:
        body = make_response_body("r1")
        for kind, response, executions, text in (
            (RequestKind.UNSAFE, Response(200, "r1", "s", body, True), 2, "executed 2 times"),
            (
                RequestKind.UNSAFE,
                Response(503, "r1", "", b"", True),
                1,
                "answered 503 but was executed",
            ),
            (RequestKind.SAFE, Response(200, "r2", "s", body, True), 1, "got the response to r2"),
            (RequestKind.SAFE, Response(200, "r1", "", body, True), 1, "without a signature"),
            (RequestKind.SAFE, Response(200, "r1", "s", body, True), 0, "without an execution"),
            (RequestKind.SAFE, Response(200, "r1", "s", body[:5], True), 1, "unexpected body"),
            (
                RequestKind.STREAM,
                Response(200, "r1", "s", b"id: 1\ndata: 1\n\n", True),
                1,
                "unexpected body",
            ),
            (
                RequestKind.STREAM,
                Response(200, "r1", "s", make_event(1) + make_event(1)),
                1,
                "part of a success with an unexpected body",
            ),
        ):
            found = check_response(make_exchange(kind, response), executions)
            self.assertThat("; ".join(found), Contains(text))

    def test_a_version_regression_is_found_unless_the_daemon_was_restarted(self) -> None:
        body = make_response_body("r1")
        served = make_exchange(RequestKind.SAFE, Response(200, "r1", "s", body, True), version=4)
        lost = make_exchange(RequestKind.SAFE, Response(404, "r1", "", b"", True), version=4)
        lost.sent = 2 * REGRESSION_GRACE_S
        observed = Observations([served, lost], Counter(r1=1), [])
        self.assertThat(find_violations(observed)[0], Contains("404 for version 4"))
        lost.incarnation = 2
        self.assertEqual([], find_violations(observed))

    # Guards against a late success for a run that had answered with a failure (MIXED).
    def test_a_success_of_a_run_that_had_failed_is_found(self) -> None:
        upstream = SoakUpstream("i-1", Random(1), failed_runs={"i-1/r1"})
        for kind, response in (
            (RequestKind.SAFE, Response(200, "r1", "s", make_response_body("r1"), True)),
            (RequestKind.STREAM, Response(200, "r1", "s", make_event(1))),
        ):
            exchange = make_exchange(kind, response)
            observed = Observations([exchange], Counter(r1=1), [], upstreams=[upstream])
            exchange.response.run = "i-2/r1"
            self.assertEqual([], find_violations(observed))
            exchange.response.run = "i-1/r1"
            self.assertThat(find_violations(observed)[0], Contains("answered with a failure"))
            exchange.response.status = 500
            self.assertEqual([], find_violations(observed))

    # Guards against an answer to an earlier run that bears the same id (MIXED).
    def test_the_answer_to_an_earlier_request_of_the_same_id_is_found(self) -> None:
        for body, is_allowed in (
            (make_response_body("r2"), True),
            (make_response_body("r1"), False),
        ):
            repeated = make_exchange(RequestKind.SAFE, Response(200, "r1", "s", body, True))
            repeated.id, repeated.repeats = "r2", "r1"
            self.assertEqual(is_allowed, not check_response(repeated, 1))

    def test_retries_beyond_the_budget_are_found(self) -> None:
        arrivals = [(number / 100, "r1") for number in range(100)]
        observed = Observations([], Counter(), arrivals)
        self.assertThat(find_violations(observed)[0], Contains("99 retries"))

    def test_unexpected_ends_and_failed_stops_are_found(self) -> None:
        observed = Observations([], Counter(), [], [("a", 0), ("b", None)], {"c": [-11]}, ["d"])
        self.assertEqual(3, len(find_violations(observed)))

    def test_requests_to_an_upstream_whose_leaving_was_passed_on_are_found(self) -> None:
        upstream = SoakUpstream("i-1", Random(1))
        leaving = Response(500, "r1", "s", b"", True, leaving_upstream="i-1")
        history = [make_exchange(RequestKind.SAFE, leaving, ended=1.0)]
        for number, sent in ((2, 1.0 + DRAIN_S), (3, 1.5 + DRAIN_S), (4, 9.0)):
            later = make_exchange(RequestKind.SAFE, Response(), sent=sent)
            later.id = f"r{number}"
            history.append(later)
        upstream.arrivals = [(exchange.sent, exchange.id) for exchange in history]
        observed = Observations(history, Counter(), [], upstreams=[upstream])
        self.assertEqual(2, len(find_violations(observed)))
        upstream.rejoined_at = [5.0]
        self.assertThat(find_violations(observed)[0], Contains("r3 at host-1"))
        self.assertEqual(1, len(find_violations(observed)))
        # Sent while the upstream was away, tried elsewhere first, and there after its return.
        upstream.arrivals[2] = (5.1, "r3")
        self.assertEqual([], find_violations(observed))
        # Back before the end of the response in which it said that it leaves, or before it said so.
        upstream.arrivals[2], upstream.rejoined_at = (history[2].sent, "r3"), [0.5]
        upstream.said_leaving["r1"] = 0.6
        self.assertEqual(2, len(find_violations(observed)))
        upstream.said_leaving["r1"] = 0.4
        self.assertEqual([], find_violations(observed))

    def test_requests_to_an_upstream_that_wanted_none_are_found(self) -> None:
        upstream = SoakUpstream("i-1", Random(1))
        history = []
        for number in range(1, 5):
            exchange = make_exchange(RequestKind.SAFE, Response())
            exchange.id = f"r{number}"
            history.append(exchange)
        upstream.refusals = [Refusal(0.0, "r1", 2.0)]
        upstream.arrivals = [(0.0, "r1"), (0.4, "r2"), (1.0, "r3"), (1.1, "r4")]
        observed = Observations(history, Counter(), [], upstreams=[upstream])
        self.assertEqual([], find_violations(observed))
        upstream.arrivals.append((1.2, "r2"))
        self.assertThat(find_violations(observed)[0], Contains("reached i-1 too soon"))

    # Guards against: streams held events from two software versions of a back end (ORDER).
    def test_a_stream_of_two_versions_is_found_over_a_callers_tries(self) -> None:
        first, second = make_event(1), make_event(2, software="v2")
        begun = make_exchange(RequestKind.STREAM, Response(200, "r1", "s", first + second[:-2]))
        resumed = make_exchange(RequestKind.STREAM, Response(200, "r2", "s", second))
        resumed.id, resumed.resumes, resumed.last_event = "r2", begun.id, 1
        observed = Observations([begun, resumed], Counter({"r1": 1, "r2": 1}), [])
        self.assertThat(find_violations(observed), Contains(TWO_VERSIONS))
        resumed.response.body = make_event(2)
        self.assertEqual([], check_streams(observed.history))
        begun.response.body = first + second
        self.assertThat(find_violations(observed)[0], Contains("part of a success"))

    def test_a_stream_is_taken_up_after_its_last_whole_event(self) -> None:
        body = make_event(1) + make_event(2) + make_event(3)[:-2]
        exchange = make_exchange(RequestKind.STREAM, Response(200, "r1", "s", body))
        self.assertEqual(2, find_last_event(exchange))
        exchange.response.body, exchange.last_event = b"", 5
        self.assertEqual(5, find_last_event(exchange))

    def test_more_requests_than_a_named_limit_are_found(self) -> None:
        upstream = SoakUpstream("i-1", Random(1), limits=[NamedLimit(2.0, 0.0, 20.0)])
        told = make_exchange(RequestKind.SAFE, Response(limiting_upstream="i-1"), ended=1.0)
        allowed = 17
        history = [told]
        for number in range(allowed + 1):
            exchange = make_exchange(RequestKind.SAFE, Response())
            exchange.id = f"a{number}"
            history.append(exchange)
            upstream.arrivals.append((5.0 + number / 10, exchange.id))
        observed = Observations(history, Counter(), [], upstreams=[upstream])
        self.assertThat(find_violations(observed)[0], Contains("named a limit of 2.0"))
        upstream.arrivals.pop()
        self.assertEqual([], find_violations(observed))
        upstream.arrivals += [(time, name) for time, name in upstream.arrivals if time < 6.0]
        self.assertEqual(1, len(find_violations(observed)))
        frozen = Disturbance(told.host, "host frozen", 6.0, 7.0)
        observed.disturbances.append(frozen)
        self.assertEqual([], find_violations(observed))

    def test_a_lost_answer_of_a_sound_silent_upstream_is_found(self) -> None:
        for kind, response in (
            (RequestKind.STREAM, Response(200, "r1", "s", make_event(1))),
            (RequestKind.SAFE, Response(502, "r1", "", b"outcome_unknown\n", True)),
            (RequestKind.SAFE, Response(503, "r1", "", b"not_accepted\n", True)),
            (RequestKind.UNSAFE, Response()),
        ):
            observed, _ = make_silent_exchange(kind, response)
            self.assertThat(find_violations(observed)[0], Contains("its answer was lost"))

    # Seed 600: the host was killed, and the request behind the one that ended by that was reported.
    def test_a_request_behind_one_that_did_not_end_is_judged_by_that_one(self) -> None:
        observed, behind = make_silent_exchange(RequestKind.UNSAFE, Response())
        behind.ending, behind.ended = Ending.BEHIND, 0.0
        before = make_exchange(RequestKind.SAFE, Response(), ended=1.5)
        before.id, before.ending = "r0", Ending.CLOSED
        observed.history.insert(0, before)
        self.assertThat(find_violations(observed)[0], StartsWith("r0 "))
        self.assertEqual(1, len(find_violations(observed)))

    def test_the_answer_of_a_silent_upstream_may_be_lost_for_a_reason(self) -> None:
        body = make_response_body("r1")
        observed, exchange = make_silent_exchange(
            RequestKind.SAFE, Response(200, "r1", "s", body, True)
        )
        self.assertEqual([], find_violations(observed))
        observed, exchange = make_silent_exchange(RequestKind.SAFE, Response(502, complete=True))
        exchange.ended = DEADLINE_S
        self.assertEqual([], find_violations(observed))
        observed, exchange = make_silent_exchange(RequestKind.SAFE, Response(502, complete=True))
        observed.upstreams[1].answered.add("r1")
        self.assertEqual([], find_violations(observed))
        for target, kind, is_reason in (
            ("link 1", "link to an upstream", True),
            ("link 2", "link to an upstream", False),
            ("host-1", "host killed", True),
            ("host-2", "host killed", False),
            ("host-1", "host stopped", False),
            ("host-1", "host frozen", False),
        ):
            observed, _ = make_silent_exchange(RequestKind.SAFE, Response(502, complete=True))
            observed.disturbances = [Disturbance(target, kind, 0.5, 0.6)]
            self.assertEqual(is_reason, not find_violations(observed), target + kind)
            observed.disturbances = [Disturbance(target, kind, 8.0, 9.0)]
            self.assertNotEqual([], find_violations(observed))

    def test_requests_without_a_whole_response_are_found(self) -> None:
        for kind, ending, is_allowed in (
            (RequestKind.SAFE, Ending.NOT_SENT, True),
            (RequestKind.SAFE, Ending.BEHIND, True),
            (RequestKind.SAFE, Ending.CLOSED, False),
            (RequestKind.SAFE, Ending.BROKEN, False),
            (RequestKind.STREAM, Ending.BROKEN, False),
            (RequestKind.SAFE, Ending.TIMED_OUT, False),
        ):
            exchange = make_exchange(kind, Response(), ended=1.0)
            exchange.ending = ending
            observed = Observations([exchange], Counter(), [])
            self.assertEqual(is_allowed, not find_violations(observed), ending.value)
            observed.disturbances = [Disturbance("host-1", "host killed", 0.9)]
            self.assertEqual([], find_violations(observed))

    # Guards against stray bytes behind an answer passing for a closed connection (review/1).
    def test_bytes_that_are_no_response_are_found_whatever_was_disturbed(self) -> None:
        exchange = make_exchange(RequestKind.SAFE, Response(), ended=1.0)
        exchange.ending = Ending.MALFORMED
        disturbances = [Disturbance("host-1", "host killed", 0.9)]
        observed = Observations([exchange], Counter(), [], disturbances=disturbances)
        self.assertThat(find_violations(observed)[0], Contains("bytes that are no response"))

    def test_a_stream_may_break_off_with_its_upstream_or_at_its_deadline(self) -> None:
        for is_failed, ended, is_allowed in (
            (False, 1.0, False),
            (True, 1.0, True),
            (False, DEADLINE_S, True),
        ):
            for kind in (RequestKind.STREAM, RequestKind.SAFE):
                exchange = make_exchange(kind, Response(), ended=ended)
                exchange.ending = Ending.BROKEN
                upstream = SoakUpstream("i-1", Random(1), arrivals=[(0.0, "r1")])
                upstream.misbehaved.update(["r1"] if is_failed else [])
                observed = Observations([exchange], Counter(), [], upstreams=[upstream])
                expected = is_allowed and kind is RequestKind.STREAM
                self.assertEqual(expected, not find_violations(observed))

    # Guards against requests that a planned stop cuts off without an answer (LOST).
    def test_a_request_may_be_lost_only_as_it_crosses_a_stop(self) -> None:
        for sent, ended, has_arrived, is_allowed in (
            (1.1, 1.2, False, True),  # It crosses the end.
            (1.1, 1.2, True, False),
            (1.1, 1.2 + CROSSING_S, False, False),
            (0.9, 1.1, False, False),  # Sent before the signal.
            (1.1, 1.1 + FINISHING_S, True, False),
            (1.1, 1.1 + FINISHING_S, False, False),
        ):
            observed = make_stopped_exchange(sent, ended, Ending.CLOSED, has_arrived)
            self.assertEqual(is_allowed, not find_violations(observed))

    def test_an_answer_that_has_begun_may_break_off_when_the_grace_is_over(self) -> None:
        for ended, is_allowed in ((1.1 + FINISHING_S, True), (0.9 + FINISHING_S, False)):
            observed = make_stopped_exchange(1.1, ended, Ending.BROKEN, has_arrived=True)
            self.assertEqual(is_allowed, not find_violations(observed))

    def test_a_response_may_be_late_only_if_its_host_was_frozen_or_starting(self) -> None:
        late = make_exchange(RequestKind.SAFE, Response(), ended=5.0)
        late.ending = Ending.TIMED_OUT
        response = Response(200, "r2", "s", make_response_body("r2"), True)
        other = make_exchange(RequestKind.SAFE, response, ended=4.9)
        other.id = "r2"
        frozen = Disturbance("host-1", "host frozen", 1.0, 3.0)
        observed = Observations([late, other], Counter(r2=1), [], disturbances=[frozen])
        self.assertEqual([], find_violations(observed))
        frozen.target = "host-2"
        self.assertThat(find_violations(observed)[0], Contains("no whole response in time"))
        other.ended = 5.1
        self.assertEqual([], find_violations(observed))


def make_silent_exchange(kind: RequestKind, response: Response) -> tuple[Observations, Exchange]:
    """Return an exchange of 1.5 s at which i-1 was silent, with two sound upstreams."""
    exchange = make_exchange(kind, response, ended=1.5)
    upstreams = [SoakUpstream(f"i-{n}", Random(n), link_port=n) for n in (1, 2)]
    silence = Silence("r1", "i-1", 1.2, None, is_refused_elsewhere=False)
    executions = Counter({"r1": 0 if response.status == 503 else 1})
    return (
        Observations([exchange], executions, [], upstreams=upstreams, silences=[silence]),
        exchange,
    )


def make_stopped_exchange(
    sent: float, ended: float, ending: Ending, has_arrived: bool
) -> Observations:
    """Return an exchange without a whole response whose host was told to stop at 1 s."""
    exchange = make_exchange(RequestKind.SAFE, Response(), sent=sent, ended=ended)
    exchange.ending = ending
    observed = Observations([exchange], Counter(), [(sent, "r1")] if has_arrived else [])
    observed.disturbances = [Disturbance("host-1", "host stopped", 1.0, 5.0)]
    return observed
