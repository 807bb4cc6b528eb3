"""A short seeded soak of real daemons, and the checks that judge it."""

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
from testtools.matchers import Contains

from soak.callers import Answer, Exchange, Kind
from soak.checks import REGRESS_S, Observed, check_answer, find_breaches
from soak.faults import FaultKind, draw_faults
from soak.runs import SoakOptions, run_soak
from soak.upstreams import make_body
from tests.test_platform_documents import BOOT
from tests.wire import TEST_TIMEOUT_S

SECONDS = 6.0
# Seeds that have found something, with its cause. They are played with `make soak SEED=...`.
#   9: a SIGTERM that came while the daemon was starting ended it with the signal's own exit code.
#   3: a SIGHUP that came while the daemon was starting ended it (its handler was not set yet).


class SoakTest(TestCase):
    def test_a_short_soak_breaks_no_promise(self) -> None:
        with TemporaryDirectory() as folder:
            options = SoakOptions(seed=1, seconds=SECONDS, hosts=3, callers=4)
            report = asyncio.run(run_soak(options, Path(folder)))
        self.assertEqual([], report.breaches, report.summary)

    def test_a_seed_draws_the_same_faults_again(self) -> None:
        first, again = draw_faults(Random(7), 60.0), draw_faults(Random(7), 60.0)
        self.assertEqual(first, again)
        self.assertEqual(set(FaultKind), {fault.kind for fault in draw_faults(Random(7), 300.0)})


class SignalAtStartTest(TestCase):
    def test_a_reload_that_comes_while_the_daemon_starts_does_not_end_it(self) -> None:
        """Found by the soak, seed 3."""
        self.assertEqual(0, self.start_and_signal(SIGHUP, BOOT))

    def test_a_stop_that_comes_while_the_daemon_starts_ends_it_in_order(self) -> None:
        """Found by the soak, seed 9."""
        self.assertEqual(0, self.start_and_signal(SIGTERM, ""))

    def start_and_signal(self, number: int, text: str) -> int:
        """Signal a daemon that waits for its settings, write them, and return its exit code."""
        with TemporaryDirectory() as folder:
            settings = Path(folder) / "boot.conf"
            mkfifo(settings)
            command = [sys.executable, "-m", "cherrylane.gateway", "--check"]
            process = Popen([*command, "--settings", str(settings)], stdout=DEVNULL, stderr=DEVNULL)
            with settings.open("w", encoding="utf-8") as stream:
                process.send_signal(number)
                stream.write(text)
            return process.wait(TEST_TIMEOUT_S)


def make_exchange(kind: Kind, answer: Answer, **fields: float) -> Exchange:
    exchange = Exchange("r1", kind, "host-1", 1, 0.0, answer=answer)
    for name, value in fields.items():
        setattr(exchange, name, value)
    return exchange


class ChecksTest(TestCase):
    def test_what_keeps_the_promises_passes(self) -> None:
        body = make_body("r1")
        for kind, answer, runs in (
            (Kind.UNSAFE, Answer(200, "r1", "s", body, True), 1),
            (Kind.SAFE, Answer(200, "r1", "s", body, True), 2),
            (Kind.UNSAFE, Answer(503, "r1", "", b"no_upstream\n", True), 0),
            (Kind.UNSAFE, Answer(502, "r1", "", b"outcome_unknown\n", True), 1),
            (Kind.UNSAFE, Answer(), 1),
        ):
            self.assertEqual([], check_answer(make_exchange(kind, answer), runs))

    def test_each_breach_is_found(self) -> None:
        body = make_body("r1")
        for kind, answer, runs, text in (
            (Kind.UNSAFE, Answer(200, "r1", "s", body, True), 2, "run 2 times"),
            (Kind.UNSAFE, Answer(503, "r1", "", b"", True), 1, "answered 503 and run"),
            (Kind.SAFE, Answer(200, "r2", "s", body, True), 1, "got the answer to r2"),
            (Kind.SAFE, Answer(200, "r1", "", body, True), 1, "without a signature"),
            (Kind.SAFE, Answer(200, "r1", "s", body, True), 0, "without a run"),
            (Kind.SAFE, Answer(200, "r1", "s", body[:5], True), 1, "another body"),
            (Kind.STREAM, Answer(200, "r1", "s", b"id: 1\ndata: 1\n\n", True), 1, "another body"),
        ):
            found = check_answer(make_exchange(kind, answer), runs)
            self.assertThat("; ".join(found), Contains(text))

    def test_a_version_that_goes_back_is_found_unless_the_daemon_was_started_again(self) -> None:
        body = make_body("r1")
        served = make_exchange(Kind.SAFE, Answer(200, "r1", "s", body, True), version=4)
        lost = make_exchange(Kind.SAFE, Answer(404, "r1", "", b"", True), version=4)
        lost.sent = 2 * REGRESS_S
        observed = Observed([served, lost], Counter(r1=1), [])
        self.assertThat(find_breaches(observed)[0], Contains("404 for version 4"))
        lost.incarnation = 2
        self.assertEqual([], find_breaches(observed))

    def test_too_many_repeats_are_found(self) -> None:
        arrivals = [(number / 100, "r1") for number in range(100)]
        observed = Observed([], Counter(), arrivals)
        self.assertThat(find_breaches(observed)[0], Contains("99 repeats"))

    def test_processes_that_end_by_themselves_or_do_not_stop_are_found(self) -> None:
        observed = Observed([], Counter(), [], [("a", 0), ("b", None)], {"c": [-11]}, ["d"])
        self.assertEqual(3, len(find_breaches(observed)))
