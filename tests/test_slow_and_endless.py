"""Ends that send a byte now and then, or bytes without end, on the thread daemon's readers."""

from select import select
from socket import create_connection, socket
from threading import Event, Thread
from time import sleep

from testtools import ExpectedException, TestCase

from cherrylane.delivery import exchange as exchange_module
from cherrylane.delivery.exchange import UpstreamClient
from cherrylane.errors import TruncatedResponseError, UpstreamError
from cherrylane.http import requests as requests_module
from cherrylane.http import server as server_module
from cherrylane.http.server import HttpServer
from cherrylane.settings.schema import Endpoint, UpstreamSettings
from tests.scripted import Script, ScriptedUpstream, send
from tests.test_exchange import HEAD, REQUEST
from tests.test_http import WAIT_S, echo
from tests.test_relay import CHUNKED, EVENT, FINAL_EVENTS, LAST_CHUNK, RelayTest, make_chunk

BLOCK = b"x" * 16384
# The byte now and then comes far more often than the time-out for silence.
PAUSE_S = 0.02
SHORT_S = 0.3
# A sound upstream may be silent for about so long and go on.
SILENCE_S = 1.6
LONG_S = 30.0


def send_repeatedly(start: bytes, part: bytes, pause_s: float = 0.0) -> Script:
    """Return a script that sends ``start`` and then ``part`` again and again until it is closed."""

    def script(connection: socket, closing: Event) -> None:
        connection.sendall(start)
        while not closing.is_set():
            connection.sendall(part)
            sleep(pause_s)

    return script


class UpstreamTest(TestCase):
    def read(
        self, script: Script, *, head_timeout_s: float = LONG_S, body_timeout_s: float = LONG_S
    ) -> bytes:
        upstream = ScriptedUpstream(script)
        self.addCleanup(upstream.close)
        settings = UpstreamSettings(
            silence_timeout_s=LONG_S, head_timeout_s=head_timeout_s, body_timeout_s=body_timeout_s
        )
        return UpstreamClient(settings).open(upstream.runner, REQUEST).read_full_body()

    def test_a_head_without_end_is_an_error(self) -> None:
        for start, part in ((HEAD, b"X: y\r\n"), (HEAD + b"X: ", BLOCK), (b"", BLOCK)):
            with ExpectedException(UpstreamError):
                self.read(send_repeatedly(start, part))

    def test_interim_responses_without_end_are_an_error(self) -> None:
        script = send_repeatedly(b"", b"HTTP/1.1 100 Continue\r\n\r\n")
        with ExpectedException(UpstreamError):
            self.read(script, head_timeout_s=SHORT_S)

    # Guards against memory that grows with what an upstream sends before its answer.
    def test_interim_responses_have_a_limit_of_size(self) -> None:
        for status in (100, 103):
            head = b"HTTP/1.1 %d Interim\r\nX: %b\r\n\r\n" % (status, BLOCK)
            error = self.assertRaises(UpstreamError, self.read, send_repeatedly(b"", head))
            self.assertIn("heads of more than", str(error))

    def test_interim_responses_now_and_then_have_a_time_limit_as_a_whole(self) -> None:
        script = send_repeatedly(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", PAUSE_S)
        with ExpectedException(UpstreamError):
            self.read(script, head_timeout_s=SHORT_S)

    def test_a_head_has_a_time_limit_as_a_whole(self) -> None:
        with ExpectedException(UpstreamError):
            self.read(send_repeatedly(HEAD + b"X: ", b"x", PAUSE_S), head_timeout_s=SHORT_S)

    def test_a_body_has_a_time_limit_as_a_whole(self) -> None:
        for framing in (b"Content-Length: 100000\r\n\r\n", b"\r\n"):
            script = send_repeatedly(HEAD + framing, b"x", PAUSE_S)
            with ExpectedException(TruncatedResponseError):
                self.read(script, body_timeout_s=SHORT_S)

    def test_a_body_without_end_is_an_error(self) -> None:
        self.patch(exchange_module, "MAX_FULL_BODY_BYTES", 2**20)
        for framing in (b"\r\n", b"Content-Length: 99999999999\r\n\r\n"):
            with ExpectedException(TruncatedResponseError):
                self.read(send_repeatedly(HEAD + framing, BLOCK))

    def test_a_head_that_breaks_off_is_no_response(self) -> None:
        """The end of the connection counted as the end of the headers: a success without a body."""
        for head in (HEAD, HEAD + b"Content-Type: a/b", HEAD + b"Content-Type: a/b\r\n"):
            with ExpectedException(UpstreamError):
                self.read(send(head))

    def test_a_slow_but_sound_body_is_read(self) -> None:
        parts = [HEAD + b"Content-Length: 10\r\n\r\n", *(b"x" for _ in range(10))]

        def script(connection: socket, _: Event) -> None:
            for part in parts:
                connection.sendall(part)
                sleep(PAUSE_S)

        self.assertEqual(b"x" * 10, self.read(script))

    # Guards against the time limit of connecting being that of each read from an upstream.
    def test_a_sound_upstream_may_be_silent_in_head_and_body(self) -> None:
        whole = HEAD + b"Content-Length: 10\r\n\r\n" + b"x" * 10
        for pause_at in (len(HEAD) // 2, len(whole) - 5):

            def script(connection: socket, _: Event, start: int = pause_at) -> None:
                connection.sendall(whole[:start])
                sleep(SILENCE_S)
                connection.sendall(whole[start:])

            upstream = ScriptedUpstream(script)
            self.addCleanup(upstream.close)
            exchange = UpstreamClient(UpstreamSettings()).open(upstream.runner, REQUEST)
            self.assertEqual(b"x" * 10, exchange.read_full_body())


class StreamTest(RelayTest):
    def test_a_stalled_stream_that_sends_a_byte_now_and_then_ends(self) -> None:
        """Each byte postponed the time-out for silence, so that the stream never ended."""
        comment = make_chunk(b":")
        script = send_repeatedly(CHUNKED + make_chunk(EVENT), comment, PAUSE_S)
        received = self.read_all(self.begin(script, silence_timeout_s=SHORT_S))
        self.assertIn(b"stream_cut", received)

    def test_a_slow_but_sound_stream_is_not_cut(self) -> None:
        events = [make_chunk(EVENT[:4]), make_chunk(EVENT[4:])] * 10

        def script(connection: socket, _: Event) -> None:
            for part in (CHUNKED, *events, make_chunk(FINAL_EVENTS) + LAST_CHUNK):
                connection.sendall(part)
                sleep(SHORT_S / 3)

        received = self.read_all(self.begin(script, silence_timeout_s=SHORT_S * 10))
        self.assertEqual(EVENT * 10 + FINAL_EVENTS, received)

    # Guards against the time limit of connecting being that of the wait for the first event.
    def test_a_sound_stream_may_be_silent_between_and_in_events(self) -> None:
        parts = (CHUNKED, make_chunk(EVENT + EVENT[:4]), make_chunk(EVENT[4:]))

        def script(connection: socket, _: Event) -> None:
            for part in (*parts, make_chunk(FINAL_EVENTS) + LAST_CHUNK):
                connection.sendall(part)
                sleep(SILENCE_S)

        default_s = UpstreamSettings().silence_timeout_s
        received = self.read_all(self.begin(script, silence_timeout_s=default_s))
        self.assertEqual(EVENT * 2 + FINAL_EVENTS, received)

    def test_a_caller_that_stops_reading_is_not_the_engines_silence(self) -> None:
        body = EVENT * 200_000
        script = send(CHUNKED + make_chunk(body) + make_chunk(FINAL_EVENTS) + LAST_CHUNK)
        self.begin(script, silence_timeout_s=SHORT_S)
        self.assertTrue(self.released.wait(WAIT_S), "the stream of a stalled caller did not end")
        self.assertFalse(self.outcomes[0].failed)


def read_until_closed(connection: socket) -> bytes:
    received = b""
    try:
        while part := connection.recv(65536):
            received += part
    except ConnectionError:
        pass
    return received


class CallerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.server = HttpServer(
            Endpoint("127.0.0.1", 0),
            echo,
            threads=4,
            idle_timeout_s=LONG_S,
            max_header_bytes=32 * 1024,
            name="callers",
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def send(self, start: bytes, part: bytes, pause_s: float = 0.0) -> bytes:
        """Send ``part`` again and again until the server closes, and return its response."""
        stopping = Event()
        with create_connection(("127.0.0.1", self.server.port), WAIT_S) as connection:

            def send_parts() -> None:
                try:
                    connection.sendall(start)
                    while not stopping.is_set():
                        connection.sendall(part)
                        sleep(pause_s)
                except OSError:
                    return

            sender = Thread(target=send_parts, daemon=True)
            sender.start()
            try:
                ready, _, _ = select([connection], [], [], WAIT_S)
                self.assertTrue(ready, "the server neither answered nor closed")
                return read_until_closed(connection)
            finally:
                stopping.set()

    def check_rejection(self, response: bytes) -> None:
        """Check what has arrived of a response; the reset that follows it may overtake it."""
        head, _, body = response.partition(b"\r\n\r\n")
        if head:
            self.assertEqual(b"4", head.split()[1][:1], str(head))
        if body:
            self.assertIn(b'"not_run"', body)

    def test_heads_without_end_are_rejected_or_cut(self) -> None:
        line = b"POST / HTTP/1.1\r\nHost: h\r\n"
        for start, part in (
            (b"GET /", BLOCK),
            (line, b"X: y\r\n" * 1000),
            (line + b"X: ", BLOCK),
        ):
            self.check_rejection(self.send(start, part))

    def test_bodies_without_end_are_rejected_or_cut(self) -> None:
        chunked = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start, part in (
            (chunked, b"4000\r\n" + BLOCK + b"\r\n"),
            (chunked + b"1;", BLOCK),
            (chunked, BLOCK),
        ):
            self.check_rejection(self.send(start, part))

    def test_a_slow_head_has_a_time_limit_as_a_whole(self) -> None:
        self.patch(server_module, "HEAD_TIMEOUT_S", SHORT_S)
        self.send(b"POST / HTTP/1.1\r\nHost: h\r\nX: ", b"x", PAUSE_S)

    def test_a_slow_body_has_a_time_limit_as_a_whole(self) -> None:
        self.patch(requests_module, "BODY_TIMEOUT_S", SHORT_S)
        start = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n"
        self.send(start, b"x", 5 * PAUSE_S)
