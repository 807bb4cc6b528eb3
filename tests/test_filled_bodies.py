"""A body that is cut off and filled up by the next answer on its connection, over real sockets.

Guards against a complete success of two answers, and against the head of an answer inside a stream.
"""

import asyncio
from itertools import product

from testtools import TestCase
from testtools.matchers import Contains, Not, StartsWith

from cherrylane.http.messages import LAST_CHUNK
from cherrylane.relay.filled_bodies import contains_answer
from cherrylane.routing.routes import Route
from tests.relay_fixture import RESUMABLE, SAFE, STREAM, UNSAFE, events, fetch, stream, succeed
from tests.test_stream_continuity import make_events
from tests.wire import Call, Script

LATE_S = 0.02
STATUS = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n"
FRAMINGS = ("chunked", "length", "close")
BEGUN_EVENTS = (b"", b"id: 3\nda", b"id: 3\ndata: 3\n")


def encode_second(call: Call) -> bytes:
    """Return the second answer to a request, a failure."""
    own = f"Attempt-Id: {call.header('Attempt-Id')}\r\nServer-Seal: t\r\n\r\noops"
    return STATUS + own.encode()


def cut_body(cut: int, *, missing: int = 0, is_late: bool) -> Script:
    """Return a script that stops its body after ``cut`` bytes and answers once more.

    All but ``missing`` bytes of the second answer complete the body.
    """

    async def script(call: Call) -> None:
        second = encode_second(call)
        call.start_answer(cut + len(second) - missing)
        call.writer.write(b"x" * cut)
        if is_late:
            await call.writer.drain()
            await asyncio.sleep(LATE_S)
        call.writer.write(second)

    return script


def cut_stream(framing: str, first: int, begun: bytes) -> Script:
    """Return a script that writes two events and a part of the third, and answers once more."""

    async def script(call: Call) -> None:
        sent = make_events(first, first + 1) + begun
        second = encode_second(call) + b"\n\n"
        size = len(sent + second)
        framing_header, end = {
            "length": (b"Content-Length: %d\r\n\r\n" % size, b""),
            "chunked": (b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size, b"\r\n" + LAST_CHUNK),
            "close": (b"\r\n", b""),
        }[framing]
        call.writer.write(
            f"HTTP/1.1 200 X\r\nAttempt-Id: {call.header('Attempt-Id')}\r\nServer-Seal: s\r\n"
            "Content-Type: text/event-stream\r\n".encode() + framing_header + sent
        )
        await call.writer.drain()
        await asyncio.sleep(LATE_S)
        call.writer.write(second + end)
        if framing == "close":
            await call.writer.drain()
            call.writer.close()

    return script


class FilledBodyTest(TestCase):
    def assert_answered_elsewhere(self, route: Route, script: Script, message: str) -> None:
        received, calls = fetch(route, script, succeed, method="POST")
        self.assertThat(received, Not(Contains(b"oops")), message)
        self.assertThat(received, Not(Contains(b"HTTP/1.1 500")), message)
        if route.is_idempotent:
            self.assertThat(received, Contains(b"done"), message)
            self.assertEqual([1, 1], calls, message)
        else:
            self.assertThat(received, StartsWith(b"HTTP/1.1 502 "), message)
            self.assertEqual([1, 0], calls, message)

    # Guards against a success whose body is completed by the failure behind it.
    def test_a_body_is_not_filled_up_by_the_next_answer(self) -> None:
        for route, cut, is_late in product((SAFE, UNSAFE), (0, 1, 40), (False, True)):
            message = f"{route.kind} {cut} {is_late=}"
            self.assert_answered_elsewhere(route, cut_body(cut, is_late=is_late), message)

    # Guards against the same where the body ends within the next answer's head.
    def test_a_body_is_not_filled_up_by_a_part_of_the_next_answer(self) -> None:
        for route, missing in product((SAFE, UNSAFE), (5, 40, 70)):
            script = cut_body(4, missing=missing, is_late=False)
            self.assert_answered_elsewhere(route, script, f"{route.kind} {missing}")

    def test_a_body_that_its_connection_ends_takes_in_no_answer(self) -> None:
        async def script(call: Call) -> None:
            own = f"Attempt-Id: {call.header('Attempt-Id')}\r\nServer-Seal: s\r\n"
            call.writer.write(f"HTTP/1.1 200 X\r\n{own}\r\nwhole".encode())
            await call.writer.drain()
            await asyncio.sleep(LATE_S)
            call.writer.write(encode_second(call))
            await call.writer.drain()
            call.writer.close()

        self.assert_answered_elsewhere(SAFE, script, "close")

    # Guards against the head of an answer in the middle of a stream that ends as complete.
    def test_a_stream_takes_in_no_answer(self) -> None:
        for route, framing, begun in product((RESUMABLE, STREAM), FRAMINGS, BEGUN_EVENTS):
            message = f"{route.is_resumable} {framing} {begun!r}"
            received, calls = fetch(
                route, cut_stream(framing, 1, begun), stream(3, 4), method="POST"
            )
            self.assertThat(received, Not(Contains(b"HTTP/1.1 500")), message)
            if route.is_resumable:
                self.assertEqual([1, 2, 3, 4], events(received), message)
            else:
                self.assertEqual([1, 2], events(received), message)
                self.assertFalse(received.endswith(LAST_CHUNK), message)

    def test_a_stream_that_goes_on_takes_in_no_answer(self) -> None:
        for framing, begun in product(FRAMINGS, (b"", b"id: 5\nda", b"id: 5\ndata: 5\n")):
            received, _ = fetch(
                RESUMABLE, stream(1, 2, cut=True), cut_stream(framing, 3, begun), method="POST"
            )
            self.assertThat(received, Not(Contains(b"HTTP/1.1 500")), f"{framing} {begun!r}")
            self.assertFalse(received.endswith(LAST_CHUNK), f"{framing} {begun!r}")

    # Guards against a body being refused because it is about the protocol.
    def test_a_body_that_quotes_a_status_line_is_whole(self) -> None:
        quote = b"it was answered with HTTP/1.1 500 Oops"
        self.assertFalse(contains_answer(quote, "a1"))
        self.assertTrue(contains_answer(quote, "a1", is_surplus=True))

        async def script(call: Call) -> None:
            call.answer(quote)

        received, calls = fetch(SAFE, script, succeed)
        self.assertThat(received, Contains(quote.replace(b"Oops", b"")[:-1]))
        self.assertEqual([1, 0], calls)
