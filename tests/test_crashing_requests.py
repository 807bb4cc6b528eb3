"""Whole requests, without parts of prompts, that crash each upstream which runs them."""

import asyncio

from testtools import TestCase
from testtools.matchers import LessThan

from cherrylane.limits.crash_evidence import MIN_CRASHES_ANSWERED_BEFORE
from cherrylane.relay.forwarding import SAFE_PATIENCE_SHARE
from cherrylane.routing.routes import RequestKind, Route
from tests.relay_fixture import SAFE, STREAM, UNSAFE, RelayFixture
from tests.wire import Call, Script, ScriptedUpstream, make_configuration, make_route, run

DEADLY, SOUND = "deadly", "sound"
UPSTREAMS = 12
# Seconds that an upstream works on a request before it crashes, or answers.
WORK_S = 0.03
# Seconds after which a silent safe request is tried elsewhere as well.
PATIENCE_S = 0.08
# Crashes after which a request may reach no further upstream, but for requests already sent.
MAX_CRASHES = 3


def crash_on_deadly_requests(
    upstreams: dict[int, ScriptedUpstream], index: int, work_s: float
) -> Script:
    async def script(call: Call) -> None:
        await asyncio.sleep(work_s)
        if call.header("Test-Kind") == DEADLY:
            upstreams[index].crash()
        else:
            call.answer(b"done")

    return script


async def start_upstreams(route: Route, work_s: float = WORK_S) -> RelayFixture:
    """Return a relay in front of upstreams that crash on a deadly request, and stay down."""
    by_index: dict[int, ScriptedUpstream] = {}
    scripts = tuple(crash_on_deadly_requests(by_index, index, work_s) for index in range(UPSTREAMS))
    fixture = await RelayFixture(scripts, make_configuration(route)).open()
    by_index.update(enumerate(fixture.upstreams))
    return fixture


async def ask(fixture: RelayFixture, kind: str, number: int, body: str = "") -> bytes:
    """Send a request; the fields that a repeat need not have in common tell which are deadly."""
    return await fixture.fetch(
        "POST",
        extra=f"Test-Kind: {kind}\r\nContent-Length: {len(body or kind)}\r\n",
        request_id=f"{kind}-{number}",
        body=body or kind,
    )


def count_crashed(fixture: RelayFixture) -> int:
    return sum(
        any(call.header("Test-Kind") == DEADLY for call in upstream.calls)
        for upstream in fixture.upstreams
    )


class CrashingRequestTest(TestCase):
    # Guards against one request that comes again crashing upstream after upstream (second1).
    def test_a_request_that_crashed_three_upstreams_reaches_no_more(self) -> None:
        for route in (SAFE, UNSAFE):
            crashed, answers = run(self.repeat(route, at_once=1))
            self.assertThat(crashed, LessThan(MAX_CRASHES + 1))
            for answer in answers[MAX_CRASHES:]:
                self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)

    # Guards against the host's own retry ending the next upstream.
    def test_it_is_not_retried_after_its_upstream_has_crashed(self) -> None:
        async def scenario() -> tuple[int, bytes]:
            fixture = await start_upstreams(SAFE)
            answer = await ask(fixture, DEADLY, 1)
            return count_crashed(fixture), answer

        crashed, answer = run(scenario())
        self.assertEqual(1, crashed)
        self.assertTrue(answer.startswith(b"HTTP/1.1 502 "), answer)

    # Guards against the crash of a silent attempt not being seen, or another attempt beside it.
    def test_one_that_crashes_upstreams_slowly_reaches_no_more(self) -> None:
        route = make_route(RequestKind.SAFE, target_s=PATIENCE_S / SAFE_PATIENCE_SHARE)
        crashed, answers = run(self.repeat(route, at_once=1, work_s=2 * PATIENCE_S))
        # Two upstreams have the very first one, as nothing is known of the request then.
        self.assertThat(crashed, LessThan(1 + MAX_CRASHES + 1))
        for answer in answers[1 + MAX_CRASHES :]:
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)

    # Guards against crashes of the same moment counting once, however many upstreams they end.
    def test_one_that_several_callers_send_at_once_reaches_no_more(self) -> None:
        for route in (SAFE, UNSAFE):
            crashed, answers = run(self.repeat(route, at_once=MAX_CRASHES))
            # Two crashes are known when all of the next round are sent.
            self.assertThat(crashed, LessThan(MAX_CRASHES - 1 + MAX_CRASHES + 1))
            for answer in answers[MAX_CRASHES**2 :]:
                self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)

    async def repeat(
        self, route: Route, at_once: int, work_s: float = WORK_S
    ) -> tuple[int, list[bytes]]:
        """Return how many upstreams a deadly request has crashed, and the answers to it."""
        fixture = await start_upstreams(route, work_s)
        answers: list[bytes] = []
        for number in range(UPSTREAMS):
            repeats = [ask(fixture, DEADLY, number * at_once + n) for n in range(at_once)]
            answers += await asyncio.gather(*repeats)
        return count_crashed(fixture), answers

    # Guards against the beginning of an answer that ends in a crash being taken for a sound one.
    def test_one_that_crashes_upstreams_soon_after_its_first_events_reaches_no_more(self) -> None:
        by_index: dict[int, ScriptedUpstream] = {}

        def crash_after_events(index: int) -> Script:
            async def script(call: Call) -> None:
                call.start_events()
                for number in range(1, 7):
                    call.write_event(number)
                    await asyncio.sleep(0.08)
                by_index[index].crash()

            return script

        async def scenario() -> int:
            scripts = tuple(map(crash_after_events, range(UPSTREAMS)))
            fixture = await RelayFixture(scripts, make_configuration(STREAM)).open()
            by_index.update(enumerate(fixture.upstreams))
            for number in range(UPSTREAMS):
                await ask(fixture, DEADLY, number)
            return count_crashed(fixture)

        # Five, as for what was answered before.
        self.assertThat(run(scenario()), LessThan(MIN_CRASHES_ANSWERED_BEFORE + 1))

    # Guards against sound requests being refused, or finding no upstream, beside deadly ones.
    def test_other_requests_are_served(self) -> None:
        async def scenario() -> list[bytes]:
            fixture = await start_upstreams(SAFE)
            answers = []
            for number in range(UPSTREAMS):
                await ask(fixture, DEADLY, number)
                answers.append(await ask(fixture, SOUND, number))
                answers.append(await ask(fixture, SOUND, 100 + number, f"own {number}"))
            return answers

        for answer in run(scenario()):
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    # Guards against requests being refused because they were in progress at the same crashes.
    def test_requests_in_progress_beside_deadly_ones_are_not_refused(self) -> None:
        async def scenario() -> list[list[bytes]]:
            fixture = await start_upstreams(SAFE)
            await ask(fixture, SOUND, 99)
            rounds = []
            for number in range(UPSTREAMS):
                same = ask(fixture, SOUND, number)
                own = ask(fixture, SOUND, 100 + number, f"own {number}")
                _, *answers = await asyncio.gather(ask(fixture, DEADLY, number), same, own)
                rounds.append(answers)
            return rounds

        rounds = run(scenario())
        for answer in sum(rounds, []):
            self.assertFalse(answer.startswith(b"HTTP/1.1 503 "), answer)
        for answer in sum(rounds[MAX_CRASHES:], []):
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
