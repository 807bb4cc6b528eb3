"""Messages that break off within their head or body, at each byte, on every reader of HTTP."""

import asyncio
from collections.abc import Iterable, Iterator
from socket import SHUT_WR, create_connection

from testtools import TestCase

from cherrylane.delivery.plain import MAX_BUFFERED_RESPONSE_BYTES
from cherrylane.delivery.responses import make_json_response, make_refusal_response
from cherrylane.http.requests import read_request
from cherrylane.http.server import Environ, HttpServer, StartResponse, write_response
from cherrylane.routing.routes import RequestKind
from cherrylane.settings.schema import Endpoint
from tests.daemon_fixture import Answer, DaemonTest
from tests.relay_fixture import RESUMABLE, SAFE, STREAM, UNSAFE, RelayFixture, fetch, succeed
from tests.test_relay import LAST_CHUNK, make_chunk
from tests.wire import LOOPBACK, Call, Script, make_configuration, make_route, run

WAIT_S = 10.0
MAX_BODY_BYTES = 1000
BODY = b"abcdefghijkl"

REQUEST_LINES = b"POST /a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 7\r\n"
FIRST_REQUEST = b"POST /a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 6\r\n"
FIRST_REQUEST += b"Content-Length: 1\r\n\r\nz"
# The chunk sizes begin with a zero, which alone would be the size of the last chunk.
REQUEST_BODIES = (
    b"Content-Length: 12\r\n\r\n" + BODY,
    b"Transfer-Encoding: chunked\r\n\r\n05\r\nabcde\r\n007;x=y\r\nfghijkl\r\n0\r\n\r\n",
)

OK = b"HTTP/1.1 200 OK\r\n"
WHOLE_ANSWER = OK + b"Content-Length: 2\r\n\r\nab"
EVENTS = b'data: {"n": 1}\n\ndata: [DONE]\n\n'
EVENTS_HEAD = OK + b"Content-Type: text/event-stream\r\n"
WHOLE_STREAM = EVENTS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + make_chunk(EVENTS) + LAST_CHUNK
LENGTH = b"Content-Length: 12\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Heads that were garbled: without the lines that cannot be read, each would frame another body.
GARBLED_FRAMING = (
    b"Transfer-Encoding: chunke\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked, gzip\r\n",
    b"Transfer-Encoding:\r\n",
    b"Transfer-Enco\r\n",
    b"Transfer-Encoding : chunked\r\n",
    CHUNKED + CHUNKED,
    CHUNKED + LENGTH,
    b"Content-Leng\r\n",
    b"X-Garbled\r\n" + LENGTH,
    b"Content-TyHTTP/1.1 200 OK\r\n" + LENGTH,
    b" " + LENGTH,
    b"Content-Length : 12\r\n",
    b"Content-Length: 12;\r\n",
    b"Content-Length: 1x\r\n",
    b"Content-Length: 1\r\n 2\r\n",
    b"Content-Length: +12\r\n",
    b"Content-Length: 1_2\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length:\r\n",
    b"Content-Length: 2\r\n" + LENGTH,
    b"X: a\r" + LENGTH,
)
GARBLED_STATUS = (
    b"HTTP/1.1 20",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1. 200 OK",
    b"TTP",
)


def list_cuts(message: bytes) -> Iterator[bytes]:
    """Return the message without its end, for each number of bytes that may be there."""
    return (message[:length] for length in range(1, len(message)))


class CallersOfThreadDaemonTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bodies: list[bytes] = []
        self.server = HttpServer(
            Endpoint(LOOPBACK, 0),
            self.record,
            threads=4,
            idle_timeout_s=WAIT_S,
            max_header_bytes=4096,
            name="callers",
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def record(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request = read_request(environ, MAX_BODY_BYTES)
        if request.is_err():
            return write_response(make_refusal_response(request.unwrap_err()), start_response)
        self.bodies.append(request.unwrap().body)
        return write_response(make_json_response({}), start_response)

    def send(self, data: bytes) -> bytes:
        """Send ``data`` and the end of the connection, and return what is answered."""
        self.bodies.clear()
        received = b""
        with create_connection((LOOPBACK, self.server.port), WAIT_S) as connection:
            connection.sendall(data)
            connection.shutdown(SHUT_WR)
            while part := connection.recv(65536):
                received += part
        return received

    # Guards against a request being run with half a body, its caller having broken off.
    def test_a_request_that_breaks_off_is_not_run(self) -> None:
        for body in REQUEST_BODIES:
            self.send(REQUEST_LINES + body)
            self.assertEqual([BODY], self.bodies)
            for cut in list_cuts(REQUEST_LINES + body):
                self.send(cut)
                self.assertEqual([], self.bodies, str(cut))

    # The same behind a whole request on a kept connection.
    def test_a_request_that_breaks_off_behind_another_is_not_run(self) -> None:
        for body in REQUEST_BODIES:
            self.send(FIRST_REQUEST + REQUEST_LINES + body)
            self.assertEqual([b"z", BODY], self.bodies)
            for cut in list_cuts(REQUEST_LINES + body):
                self.send(FIRST_REQUEST + cut)
                self.assertEqual([b"z"], self.bodies, str(cut))

    # Guards against a request of which a part is run, and the rest as a request of its own.
    def test_a_request_whose_end_is_ambiguous_is_not_run(self) -> None:
        chunked = make_chunk(BODY) + LAST_CHUNK
        for framing in GARBLED_FRAMING:
            for body in (BODY, chunked):
                answer = self.send(REQUEST_LINES + framing + b"\r\n" + body)
                self.assertEqual([], self.bodies, str(framing))
                self.assertEqual(b"4", answer.split()[1][:1], str(framing))
        lines = REQUEST_LINES.replace(b"/1.1", b"/1.0")
        self.send(lines + CHUNKED + b"\r\n" + chunked)
        self.assertEqual([], self.bodies)
        self.send(lines + LENGTH + b"\r\n" + BODY)
        self.assertEqual([BODY], self.bodies)

    # Guards against a size that Python reads as a number and HTTP doesn't.
    def test_a_malformed_size_of_a_chunk_is_refused(self) -> None:
        start = REQUEST_LINES + b"Transfer-Encoding: chunked\r\n\r\n"
        for size in (b"-5", b"+3", b"0x3", b"0_3", b" 3", b"", b"3\n", b"f" * 17):
            answer = self.send(start + size + b"\r\nabc\r\n0\r\n\r\n")
            self.assertEqual([], self.bodies, str(size))
            self.assertIn(b"incomplete_body", answer, str(size))

    def test_trailers_are_no_request(self) -> None:
        start = REQUEST_LINES + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
        self.send(start + b"X: y\r\n\r\n" + FIRST_REQUEST)
        self.assertEqual([b"abc", b"z"], self.bodies)
        self.send(start + b"X: y\r\n" * MAX_BODY_BYTES * 20 + b"\r\n")
        self.assertEqual([], self.bodies)


def read_status(answer: bytes) -> int:
    """Return the status of an answer, 0 if there is none."""
    return int(answer.split()[1]) if answer else 0


def is_visibly_cut(answer: bytes) -> bool:
    """Return whether a stream's caller is told; a reset may overtake the head before it is read."""
    return b"stream_cut" in answer or read_status(answer) == 502


class UpstreamsOfThreadDaemonTest(DaemonTest):
    # Guards against a 103, for one, being taken for the answer, and the next one for another's.
    def test_the_answer_behind_interim_ones_is_passed_on(self) -> None:
        for status in (100, 102, 103, 199):
            interim = b"HTTP/1.1 %d Interim\r\nLink: a\r\n\r\n" % status
            for method in ("GET", "POST"):
                self.answer = Answer(interim + interim + WHOLE_ANSWER)
                answer = self.fetch(method)
                self.assertEqual((200, b"ab"), (read_status(answer), answer[-2:]), str(status))
                self.answer = Answer(interim + b"HTTP/1.1 500 No\r\n\r\n" + WHOLE_ANSWER)
                self.assertEqual(500, read_status(self.fetch(method)))
                for cut in list_cuts(interim):
                    self.answer = Answer(cut)
                    self.assertEqual(502, read_status(self.fetch(method)), str(cut))

    def test_an_upgrade_that_was_not_asked_for_is_no_answer(self) -> None:
        self.answer = Answer(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + WHOLE_ANSWER)
        self.assertEqual(502, read_status(self.fetch()))

    # Guards against a head without its garbled lines, which frames another body as whole.
    def test_a_garbled_head_is_no_answer(self) -> None:
        heads = [OK + framing for framing in GARBLED_FRAMING]
        heads += [status + b"\r\n" + LENGTH for status in GARBLED_STATUS]
        heads.append(OK.replace(b"\r", b"") + LENGTH)
        for head in heads:
            for method in ("GET", "HEAD", "POST"):
                self.answer = Answer(head + b"\r\n" + BODY)
                self.assertEqual(502, read_status(self.fetch(method)), f"{method} {head!r}")
            self.answer = Answer(head + b"Content-Type: text/event-stream\r\n\r\n" + EVENTS)
            self.assertEqual(502, read_status(self.fetch_stream()), str(head))

    def test_sound_heads_of_all_kinds_are_answers(self) -> None:
        for head, body in (
            (OK + LENGTH, BODY),
            (OK.replace(b"OK", b"") + LENGTH, BODY),
            (OK + b"content-length:12 \r\nX:\r\n", BODY),
            (OK + b"Transfer-Encoding: Chunked\r\n", make_chunk(BODY) + LAST_CHUNK),
            (OK + b"Connection: Upgrade, close\r\nUpgrade: h2c\r\n" + LENGTH, BODY),
            (OK.replace(b"1.1", b"1.0"), BODY),
            (OK, BODY),
        ):
            self.answer = Answer(head + b"\r\n" + body)
            self.assertEqual((200, BODY), (read_status(self.fetch()), self.fetch()[-12:]))
            self.assertEqual(200, read_status(self.fetch("HEAD")))

    # Guards against sizes that Python reads as numbers, and chunks whose ends nobody looks at.
    def test_garbled_chunks_are_no_whole_body(self) -> None:
        for body in (
            b"0xc\r\n" + BODY + b"\r\n",
            b"+c\r\n" + BODY + b"\r\n",
            b"0_c\r\n" + BODY + b"\r\n",
            b"-1\r\n",
            b"\r\n",
            b"1\r\n" + BODY[:10] + b"\r\n" + make_chunk(BODY),
            b"c\r\n" + BODY + b"XX",
            b"c\n" + BODY + b"\n",
        ):
            self.answer = Answer(OK + CHUNKED + b"\r\n" + body + LAST_CHUNK)
            for method in ("GET", "POST"):
                self.assertEqual(502, read_status(self.fetch(method)), f"{method} {body!r}")

    # Guards against the rest of a second answer being joined to the stream of the first one.
    def test_nothing_behind_the_end_of_a_stream_belongs_to_it(self) -> None:
        for second in (WHOLE_STREAM, b"HTTP/1.1 500 No\r\n" + LENGTH + b"\r\n" + BODY, b"oops\r\n"):
            self.answer = Answer(WHOLE_STREAM + second)
            received = self.fetch_stream(protocol="1.0")
            self.assertEqual(EVENTS, received.partition(b"\r\n\r\n")[2], str(second))

    # Guards against a caller that waits for the end of a stream for as long as a thread is idle.
    def test_the_connection_of_a_stream_is_closed_at_its_end(self) -> None:
        self.answer = Answer(WHOLE_STREAM)
        for protocol, body in (("1.0", EVENTS), ("1.1", make_chunk(EVENTS) + LAST_CHUNK)):
            received = self.fetch_stream(protocol=protocol)
            self.assertEqual(body, received.partition(b"\r\n\r\n")[2])
        self.answer = Answer(EVENTS_HEAD + b"Content-Length: 90\r\n\r\n" + EVENTS)
        self.assertIn(b"stream_cut", self.fetch_stream(protocol="1.0"))

    # Guards against a head that stops in the middle, and then a 200 with an empty or short body.
    def test_an_answer_that_breaks_off_is_not_passed_on(self) -> None:
        for whole in (WHOLE_ANSWER, OK + CHUNKED + b"\r\n" + make_chunk(b"ab") + LAST_CHUNK):
            for resets in (False, True):
                for cut in list_cuts(whole):
                    for method, extra in (("GET", ""), ("POST", "Idempotency-Key: %d\r\n")):
                        number = len(self.grants.outcomes)
                        self.answer = Answer(cut, resets=resets)
                        answer = self.fetch(method, extra=extra and extra % number)
                        self.assertEqual(502, read_status(answer), f"{method} {cut!r}")
                        self.answer = Answer(WHOLE_ANSWER)
                        answer = self.fetch(method, extra=extra and extra % number)
                        status = 502 if extra else 200
                        self.assertEqual(status, read_status(answer), f"{method} {cut!r}")

    def test_a_head_that_breaks_off_is_no_answer_where_none_has_a_body(self) -> None:
        for status in (200, 204, 304):
            head = b"HTTP/1.1 %d Some\r\n" % status + LENGTH + b"\r\n"
            for resets in (False, True):
                for cut in list_cuts(head):
                    self.answer = Answer(cut, resets=resets)
                    method = "HEAD" if status == 200 else "GET"
                    self.assertEqual(502, read_status(self.fetch(method)), str(cut))
            self.answer = Answer(head)
            self.assertEqual(status, read_status(self.fetch("HEAD")))

    # Guards against a stream that looks complete, to callers whose body ends with the connection.
    def test_a_stream_that_breaks_off_says_so(self) -> None:
        length = EVENTS_HEAD + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
        for whole in (WHOLE_STREAM, length):
            for cut in list_cuts(whole):
                for protocol, resets in (("1.0", True), ("1.1", False)):
                    self.answer = Answer(cut, resets=resets)
                    answer = self.fetch_stream(protocol=protocol)
                    if b"\r\n\r\n" not in cut:
                        self.assertEqual(502, read_status(answer), str(cut))
                    else:
                        self.assertTrue(is_visibly_cut(answer), f"{cut!r} {answer!r}")

    # Guards against the error of a reset being lost, which is reported only once.
    def test_a_stream_that_is_reset_behind_its_head_says_so(self) -> None:
        for framing in (b"Content-Length: 30\r\n", CHUNKED, b""):
            self.answer = Answer(EVENTS_HEAD + framing + b"\r\n", resets=True)
            for protocol in ("1.0", "1.1"):
                for _ in range(5):
                    answer = self.fetch_stream(protocol=protocol)
                    self.assertTrue(is_visibly_cut(answer), f"{framing!r} {answer!r}")

    # Guards against a large body, passed on while it is received, that looks complete.
    def test_a_large_body_that_breaks_off_looks_so(self) -> None:
        length = MAX_BUFFERED_RESPONSE_BYTES + 1
        head = OK + b"Content-Length: %d\r\n\r\n" % length
        for protocol in ("1.0", "1.1"):
            for sent in (0, 1, length - 1):
                self.answer = Answer(head + bytes(sent))
                received, _, body = self.fetch(protocol=protocol).partition(b"\r\n\r\n")
                if received:
                    self.assertIn(b"Content-Length: %d" % length, received)
                self.assertTrue(len(body) < length)


SEALED = OK + b"Attempt-Id: 1\r\nServer-Seal: s\r\n"
ROUTES = (SAFE, UNSAFE, STREAM, RESUMABLE)


def send_bytes(data: bytes, *, resets: bool = False) -> Script:
    """Return a script that sends ``data``, after which the connection is closed or reset."""

    async def script(call: Call) -> None:
        call.writer.write(data)
        await call.writer.drain()
        if resets:
            call.reset()
        else:
            call.writer.close()

    return script


class UpstreamsOfGatewayTest(TestCase):
    # Guards against chunk sizes in a body, and a cut one passed on as whole.
    def test_a_garbled_head_is_no_answer(self) -> None:
        second = SEALED + b"Content-Length: 2\r\n\r\nab"
        for route in ROUTES:
            for framing in GARBLED_FRAMING:
                whole = SEALED + framing + b"\r\n" + make_chunk(BODY) + LAST_CHUNK + second
                answer, _ = fetch(route, send_bytes(whole))
                self.assertEqual(502, read_status(answer), f"{route.kind} {framing!r}")

    # Guards against a rest of one answer that, with the begin of another, reads as a whole one.
    def test_an_answer_that_breaks_off_behind_others_is_not_passed_on(self) -> None:
        other = WHOLE_ANSWER.replace(b"\r\n", b"\r\nAttempt-Id: 77\r\nServer-Seal: s\r\n", 1)
        interim = b"HTTP/1.1 103 Early Hints\r\nAttempt-Id: 1\r\n\r\n"
        whole = SEALED + b"Content-Length: 2\r\n\r\nab"
        chunked = SEALED + CHUNKED + b"\r\n" + make_chunk(b"ab") + LAST_CHUNK
        route = make_route(RequestKind.SAFE, max_attempts=1)
        for number, cut in enumerate((*list_cuts(whole), *list_cuts(chunked))):
            for before in (other, interim, interim + other):
                script = send_bytes(before + cut, resets=number % 2 == 1)
                answer, _ = fetch(route, script)
                self.assertEqual(502, read_status(answer), f"{before!r} {cut!r}")

    # The same on a kept connection, behind the whole answer to another request.
    def test_an_answer_that_breaks_off_on_a_kept_connection_is_not_passed_on(self) -> None:
        whole = b"Server-Seal: s\r\nContent-Length: 2\r\n\r\nab"
        route = make_route(RequestKind.SAFE, max_attempts=1)

        async def scenario() -> None:
            for number, cut in enumerate(list_cuts(whole)):

                async def serve(
                    call: Call, rest: bytes = cut, resets: bool = number % 2 == 1
                ) -> None:
                    if call.header("Attempt-Id") == "1":
                        call.answer(b"done")
                        return
                    await send_bytes(OK + b"Attempt-Id: 2\r\n" + rest, resets=resets)(call)

                fixture = await RelayFixture((serve,), make_configuration(route)).open()
                self.assertIn(b"done", await fixture.fetch(request_id="1"))
                answer = await fixture.fetch(request_id="2")
                self.assertEqual(502, read_status(answer), str(cut))
                self.assertEqual(1, fixture.upstreams[0].connections)

        run(scenario())

    # The same for callers whose answer has no body, or ends with its connection.
    def test_an_answer_that_breaks_off_is_none_for_callers_of_all_kinds(self) -> None:
        head = SEALED + LENGTH + b"\r\n"

        async def scenario() -> None:
            for cut in list_cuts(head + BODY):
                fixture = await RelayFixture((send_bytes(cut),), make_configuration(UNSAFE)).open()
                assert fixture.server is not None
                port = fixture.server.port
                answer, _ = await read_to_end(port, b"1.0")
                self.assertEqual(502, read_status(answer), str(cut))
                answer, _ = await read_to_end(port, b"1.1", method=b"HEAD")
                status = 200 if len(cut) >= len(head) else 502
                self.assertEqual(status, read_status(answer), str(cut))

        run(scenario())

    # Guards against a caller that takes the beginning of a stream for the whole of it.
    def test_a_stream_that_breaks_off_looks_so(self) -> None:
        head = SEALED + b"Content-Type: text/event-stream\r\n"
        event = b"id: 1\ndata: 1\n\n"
        rest = event.replace(b"1", b"2")

        async def scenario() -> None:
            for framing, first, last in (
                (b"Content-Length: %d\r\n\r\n" % len(event + rest), event, rest),
                (CHUNKED + b"\r\n", make_chunk(event), make_chunk(rest) + LAST_CHUNK),
            ):
                for length in range(len(last)):
                    script = send_bytes(head + framing + first + last[:length])
                    fixture = await RelayFixture((script,), make_configuration(STREAM)).open()
                    assert fixture.server is not None
                    for protocol in (b"1.1", b"1.0"):
                        answer, was_reset = await read_to_end(fixture.server.port, protocol)
                        is_complete = answer.endswith(LAST_CHUNK) if protocol == b"1.1" else True
                        self.assertTrue(was_reset or not is_complete, f"{answer!r} {length}")

        run(scenario())


async def read_to_end(port: int, protocol: bytes, *, method: bytes = b"GET") -> tuple[bytes, bool]:
    """Fetch ``/x/y``; return what was received, and whether the connection was reset."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    head = b"%b /x/y HTTP/%b\r\nHost: desk.example\r\nAttempt-Id: 1\r\n" % (method, protocol)
    writer.write(head + b"Connection: close\r\n\r\n")
    received = b""
    try:
        while part := await reader.read(65536):
            received += part
    except ConnectionError:
        return received, True
    finally:
        writer.close()
    return received, False


class CallersOfGatewayTest(TestCase):
    # Guards against a request that is passed on with half a body, its caller having broken off.
    def test_a_request_that_breaks_off_is_not_passed_on(self) -> None:
        first = FIRST_REQUEST.replace(b"/a", b"/x/a")
        lines = REQUEST_LINES.replace(b"/a", b"/x/a")

        async def scenario() -> None:
            fixture = await RelayFixture((succeed,), make_configuration(UNSAFE)).open()
            assert fixture.server is not None
            calls = fixture.upstreams[0].calls
            for body in REQUEST_BODIES:
                for cut in list_cuts(lines + body):
                    await send_and_leave(fixture.server.port, cut)
                    await send_and_leave(fixture.server.port, first + cut, answers=1)
            self.assertEqual({b"z"}, {call.body for call in calls})

        run(scenario())


async def send_and_leave(port: int, data: bytes, *, answers: int = 0) -> None:
    """Send ``data``, wait for so many answers, and end the connection."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(data)
    for _ in range(answers):
        await reader.readuntil(b"done")
    writer.write_eof()
    try:
        await reader.read()
    except ConnectionError:
        pass
    writer.close()
