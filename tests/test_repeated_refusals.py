"""An upstream that writes an earlier refusal once more, over real sockets.

Guards against a caller being told 'not run' of a request that ran, against such a request running
at a second upstream, and against an answer that is lost because others came before it (users'
report).
"""

from itertools import product
from json import dumps

from testtools import TestCase
from testtools.matchers import Contains, Not, StartsWith

from cherrylane.errors import UpstreamError
from cherrylane.gateway.calls import call as call_endpoint
from cherrylane.relay.exchange import MAX_FOREIGN_ANSWERS
from cherrylane.routing.routes import Route
from cherrylane.settings.schema import Endpoint
from tests.relay_fixture import (
    RESUMABLE,
    SAFE,
    STREAM,
    UNSAFE,
    RelayFixture,
    events,
    fetch,
    refuse_not_run,
    stream,
    succeed,
)
from tests.wire import LOOPBACK, Call, Script, ScriptedUpstream, make_configuration, run

REFUSAL = (
    "HTTP/1.1 503 X\r\n{ids}Not-Executed: 1\r\nRetry-After: 9\r\nContent-Length: 4\r\n\r\nfull"
)
# The headers by which a refusal of another request may name it, or not.
EARLIER = "Attempt-Id: earlier\r\n"
UNCLEAR_IDS = {
    "none": "",
    "an empty one": "Attempt-Id: \r\n",
    "its own after the earlier one": EARLIER + "Attempt-Id: 1\r\n",
    "its own before the earlier one": "Attempt-Id: 1\r\n" + EARLIER,
    "both in one": "Attempt-Id: 1, earlier\r\n",
}
FOREIGN_IDS = {"the earlier one": EARLIER} | UNCLEAR_IDS
ROUTES = (SAFE, UNSAFE, RESUMABLE, STREAM)


def repeat_refusal(ids: str, then: Script, *, copies: int = 1) -> Script:
    """Return a script that writes foreign refusals before it goes on."""

    async def script(call: Call) -> None:
        call.writer.write(REFUSAL.format(ids=ids).encode() * copies)
        await call.writer.drain()
        await then(call)

    return script


async def reset(call: Call) -> None:
    call.reset()


def answer(route: Route) -> Script:
    return stream(1, 3) if route in (RESUMABLE, STREAM) else succeed


def answer_other(route: Route) -> Script:
    async def script(call: Call) -> None:
        call.answer(b"other")

    return stream(7, 9) if route in (RESUMABLE, STREAM) else script


class RepeatedRefusalTest(TestCase):
    def assert_answered(self, route: Route, received: bytes, message: str) -> None:
        self.assertThat(received, StartsWith(b"HTTP/1.1 200 "), message)
        if route in (RESUMABLE, STREAM):
            self.assertEqual([1, 2, 3], events(received), message)
        else:
            self.assertThat(received, Contains(b"done"), message)

    def test_a_refusal_that_names_another_request_is_skipped(self) -> None:
        for route in ROUTES:
            for copies in (1, 4, MAX_FOREIGN_ANSWERS):
                script = repeat_refusal(EARLIER, answer(route), copies=copies)
                received, calls = fetch(route, script, answer(route), method="POST")
                self.assert_answered(route, received, f"{copies} copies")
                self.assertEqual([1, 0], calls, f"{copies} copies")

    # Guards against the answer behind a refusal that does not say which request it answers.
    def test_nothing_behind_a_refusal_that_names_none_or_several_is_passed_on(self) -> None:
        for route, (what, ids), copies in product(
            ROUTES, UNCLEAR_IDS.items(), (1, 4, MAX_FOREIGN_ANSWERS)
        ):
            message = f"{route.kind} {what}, {copies} copies"
            script = repeat_refusal(ids, answer_other(route), copies=copies)
            received, calls = fetch(route, script, answer(route), method="POST")
            if route.is_idempotent:
                self.assert_answered(route, received, message)
                self.assertEqual([1, 1], calls, message)
            else:
                self.assertThat(received, StartsWith(b"HTTP/1.1 502 "), message)
                self.assertThat(received, Not(Contains(b"Retry-After")), message)
                self.assertEqual([1, 0], calls, message)
            self.assertThat(received, Not(Contains(b"other")), message)

    def test_a_refusal_of_another_request_promises_nothing(self) -> None:
        for what, ids in FOREIGN_IDS.items():
            for route in (UNSAFE, STREAM):
                script = repeat_refusal(ids, reset)
                received, calls = fetch(route, script, answer(route), method="POST")
                self.assertThat(received, StartsWith(b"HTTP/1.1 502 "), what)
                self.assertEqual([1, 0], calls, what)
            received, calls = fetch(SAFE, repeat_refusal(ids, reset), succeed)
            self.assert_answered(SAFE, received, what)
            self.assertEqual([1, 1], calls, what)

    def test_a_refusal_of_the_request_itself_is_believed(self) -> None:
        for route in ROUTES:
            received, calls = fetch(route, refuse_not_run, answer(route), method="POST")
            self.assert_answered(route, received, "refused")
            self.assertEqual([1, 1], calls)
            script = repeat_refusal(EARLIER, refuse_not_run)
            received, calls = fetch(route, script, answer(route), method="POST")
            self.assert_answered(route, received, "refused behind another refusal")
            self.assertEqual([1, 1], calls)

    def test_answers_to_other_requests_without_end_are_given_up(self) -> None:
        script = repeat_refusal(EARLIER, succeed, copies=MAX_FOREIGN_ANSWERS + 1)
        received, calls = fetch(UNSAFE, script, succeed, method="POST")
        self.assertThat(received, StartsWith(b"HTTP/1.1 502 "))
        self.assertEqual([1, 0], calls)

    def test_a_refusal_in_two_parts_around_an_answer_is_no_part_of_it(self) -> None:
        refusal = REFUSAL.format(ids=EARLIER).encode()

        async def script(call: Call) -> None:
            for part in (refusal[:30], refusal[30:]):
                call.writer.write(part)
                await call.writer.drain()
            call.answer(b"done")
            call.writer.write(refusal[:50])
            await call.writer.drain()

        for route in (SAFE, UNSAFE):
            received, calls = fetch(route, script, succeed, method="POST")
            self.assert_answered(route, received, "in two parts")
            self.assertEqual([1, 0], calls)

    # Guards against a repeated refusal setting its upstream aside for all others.
    def test_a_repeated_refusal_does_not_reach_the_backoff_of_its_upstream(self) -> None:
        async def scenario() -> tuple[list[bytes], list[int]]:
            script = repeat_refusal(EARLIER, succeed)
            fixture = await RelayFixture((script, succeed), make_configuration(SAFE)).open()
            received = [await fixture.fetch(request_id=str(number)) for number in range(3)]
            return received, fixture.calls

        received, calls = run(scenario())
        self.assertEqual([3, 0], calls)
        for one in received:
            self.assert_answered(SAFE, one, "after a repeated refusal")


class OwnCallTest(TestCase):
    """The gateway's own calls, such as for reports, which name no request."""

    def fetch(self, ids: str, *, copies: int = 1) -> bytes:
        async def report(call: Call) -> None:
            body = dumps({"born": 1})
            call.writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
            )

        async def scenario() -> bytes:
            script = repeat_refusal(ids, report, copies=copies)
            upstream = await ScriptedUpstream(script).start()
            return await call_endpoint(Endpoint(LOOPBACK, upstream.port), b"/own", timeout_s=5.0)

        return run(scenario())

    def test_a_refusal_of_a_callers_request_is_skipped(self) -> None:
        self.assertEqual(b'{"born": 1}', self.fetch(EARLIER, copies=3))

    def test_refusals_without_end_are_given_up(self) -> None:
        self.assertRaises(UpstreamError, self.fetch, EARLIER, copies=100)
