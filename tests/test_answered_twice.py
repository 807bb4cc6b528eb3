"""An upstream that answers a request twice, a failure and then a success, over real sockets.

Guards against a caller getting a success for a request that its upstream has answered with a
failure, and against a log that does not say which answers were skipped and whose was passed on.
"""

from typing import Any

from logbook import TestHandler
from testtools import TestCase

from cherrylane.routing.routes import Route
from tests.relay_fixture import SAFE, UNSAFE, RelayFixture, fail, succeed
from tests.wire import Call, Script, make_configuration, run

WARM_UP = "0"
OTHER = "Attempt-Id: other\r\n"


def encode_answer(status: str, ids: str, body: str) -> bytes:
    """Return an answer without a signature; ``status`` may be followed by header lines."""
    code, _, extra = status.partition(" ")
    return (
        f"HTTP/1.1 {code} X\r\n{ids}{extra}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def find_lines(handler: TestHandler, message: str, request_id: str) -> list[dict[str, Any]]:
    """Return the fields of the log lines with this message for a request."""
    return [
        dict(record.extra)
        for record in handler.records
        if record.message == message and record.extra["request"] == request_id
    ]


class AnswerLogTest(TestCase):
    """The log lines from which it can be told which answer a caller got, and what was skipped."""

    def fetch(self, *scripts: Script, route: Route = SAFE) -> TestHandler:
        async def scenario() -> None:
            fixture = await RelayFixture(scripts, make_configuration(route)).open()
            await fixture.fetch(request_id=WARM_UP)
            await fixture.fetch()

        handler = TestHandler()
        with handler.applicationbound():
            run(scenario())
        return handler

    def test_a_request_is_logged_with_the_answer_that_was_passed_on(self) -> None:
        async def skip_and_succeed(call: Call) -> None:
            if call.header("Attempt-Id") != WARM_UP:
                call.writer.write(encode_answer("500", OTHER, "oops"))
            call.answer(b"done")

        handler = self.fetch(skip_and_succeed)
        (warm_up,) = find_lines(handler, "request", WARM_UP)
        self.assertEqual(("i0", 1, 1), _name_answer(warm_up))
        self.assertNotIn("skipped", warm_up)
        (line,) = find_lines(handler, "request", "1")
        self.assertEqual(("i0", 1, 2), _name_answer(line))
        self.assertEqual((200, "s"), (line["answered_status"], line["signature"]))
        self.assertEqual((1, ["500 other"]), (line["skipped"], line["skipped_answers"]))
        (skipped,) = find_lines(handler, "answer to another request skipped", "1")
        self.assertEqual((500, "other", 2), _name_skipped(skipped))

    def test_a_failed_attempt_is_logged_with_its_status_and_what_was_skipped(self) -> None:
        async def skip_and_fail(call: Call) -> None:
            if call.header("Attempt-Id") == WARM_UP:
                call.answer(b"done")
                return
            call.writer.write(encode_answer("404", OTHER, "") * 6)
            call.answer(b"oops", status=500)

        handler = self.fetch(skip_and_fail, succeed)
        (line,) = find_lines(handler, "attempt failed", "1")
        self.assertEqual(("Failed", 500), (line["outcome"], line["answered_status"]))
        self.assertEqual((1, 2), (line["attempt"], line["exchange"]))
        self.assertEqual((6, ["404 other"] * 4), (line["skipped"], line["skipped_answers"]))
        (line,) = find_lines(handler, "request", "1")
        self.assertEqual(("i1", 2, 1), _name_answer(line))

    def test_a_failure_that_is_passed_on_is_logged_with_its_upstream(self) -> None:
        (line,) = find_lines(self.fetch(fail, succeed, route=UNSAFE), "request", "1")
        self.assertEqual(("i0", 1, 1), _name_answer(line))
        self.assertEqual(500, line["answered_status"])


def _name_answer(line: dict[str, Any]) -> tuple[str, int, int]:
    return line["answered_by"], line["attempt"], line["exchange"]


def _name_skipped(line: dict[str, Any]) -> tuple[int, str, int]:
    return line["status"], line["answered"], line["exchange"]
