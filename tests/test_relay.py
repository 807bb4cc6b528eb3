"""Tests of stream relaying in the event loop, with scripted upstreams."""

from fcntl import ioctl
from json import loads
from socket import SO_LINGER, SOL_SOCKET, socket, socketpair
from struct import unpack
from termios import TIOCOUTQ
from threading import Event

from testtools import TestCase

from cherrylane.delivery.attempts import GrantedExchange
from cherrylane.delivery.exchange import UpstreamClient, UpstreamRequest
from cherrylane.delivery.relay import StreamRelay
from cherrylane.delivery.streams import StreamLoop
from cherrylane.http.inbound import RESET_ON_CLOSE
from cherrylane.limits.work import Grant, GrantOutcome
from cherrylane.settings.schema import UpstreamSettings
from cherrylane.telemetry.metrics import Metrics
from cherrylane.telemetry.traffic import TrafficCounter
from standins.fleet import wait_until
from tests.builders import POOL
from tests.scripted import Script, ScriptedUpstream, send, send_then_hang

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = b'data: {"n": 1}\n\n'
FINAL_EVENTS = b'data: {"usage": {"cached_tokens": 64}}\n\ndata: [DONE]\n\n'
LAST_CHUNK = b"0\r\n\r\n"
GRANT = Grant(id="g", holder="h", pool=POOL, engine="scripted", account="a", work=1.0)
TIMEOUT_S = 10.0


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def send_then_reset(response: bytes, reset: Event) -> Script:
    """Return a script that resets the connection once all of ``response`` has arrived."""

    def script(connection: socket, _: Event) -> None:
        connection.sendall(response)
        wait_until(lambda: count_unacknowledged_bytes(connection) == 0, "the response to arrive")
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        connection.close()
        reset.set()

    return script


def count_unacknowledged_bytes(connection: socket) -> int:
    return int(unpack("i", ioctl(connection, TIOCOUTQ, bytes(4)))[0])


class RelayTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.loop = StreamLoop()
        self.loop.start()
        self.addCleanup(self.loop.stop)
        self.released = Event()
        self.outcomes: list[GrantOutcome] = []

    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        self.outcomes.append(outcome)
        self.released.set()

    def begin(self, script: Script, *, silence_timeout_s: float = 30.0) -> socket:
        upstream = ScriptedUpstream(script)
        self.addCleanup(upstream.close)
        request = UpstreamRequest("POST", "/", {}, b"")
        exchange = UpstreamClient(UpstreamSettings()).open(upstream.runner, request)
        near, far = socketpair()
        far.settimeout(TIMEOUT_S)
        self.addCleanup(far.close)
        metrics = Metrics(TrafficCounter())
        relay = StreamRelay(
            GrantedExchange(GRANT, exchange, self.release),
            self.loop,
            metrics,
            started=0.0,
            service="s",
            silence_timeout_s=silence_timeout_s,
        )
        relay.begin(near, chunked=False)
        return far

    def read_all(self, caller: socket) -> bytes:
        received = b""
        while data := caller.recv(65536):
            received += data
        self.assertTrue(self.released.wait(TIMEOUT_S), "the grant was not released")
        return received

    def assert_cut(self, received: bytes, *, after: bytes) -> None:
        self.assertTrue(received.startswith(after))
        error = loads(received[len(after) :].removeprefix(b"data: "))["error"]
        self.assertEqual(("stream_cut", "outcome_unknown"), (error["code"], error["execution"]))
        self.assertNotIn(b"[DONE]", received)
        self.assertTrue(self.outcomes[0].failed)

    def test_a_complete_stream_is_relayed_unchanged(self) -> None:
        for response in (
            CHUNKED + make_chunk(EVENT) + make_chunk(EVENT + FINAL_EVENTS) + LAST_CHUNK,
            HEAD
            + b"Content-Length: %d\r\n\r\n" % len(EVENT + EVENT + FINAL_EVENTS)
            + EVENT * 2
            + FINAL_EVENTS,
            HEAD + b"\r\n" + EVENT * 2 + FINAL_EVENTS,
        ):
            for script in (send(response), send(*(response[i : i + 7] for i in range(0, 400, 7)))):
                self.assertEqual(EVENT * 2 + FINAL_EVENTS, self.read_all(self.begin(script)))
        self.assertEqual(64, self.outcomes[0].found_tokens)

    def test_a_truncated_stream_ends_with_an_error_event(self) -> None:
        for script in (
            send(CHUNKED + make_chunk(EVENT)),
            send(CHUNKED + make_chunk(EVENT) + b"ff\r\nhalf"),
            send(CHUNKED + make_chunk(EVENT) + b"garbage\r\n"),
        ):
            received = self.read_all(self.begin(script))
            self.assertTrue(received.startswith(EVENT))
            self.assertIn(b"stream_cut", received)
            self.assertNotIn(b"[DONE]", received)

    def test_a_stream_without_its_final_event_ends_with_an_error_event(self) -> None:
        received = self.read_all(self.begin(send(CHUNKED + make_chunk(EVENT) + LAST_CHUNK)))
        self.assert_cut(received, after=EVENT)

    # Guards against the error event being hidden in an event that had been cut off (like inc1).
    def test_the_error_event_follows_whole_events_only(self) -> None:
        unfinished = EVENT + b'data: {"n'
        for response in (
            HEAD + b"\r\n" + unfinished,
            CHUNKED + make_chunk(unfinished) + LAST_CHUNK,
            CHUNKED + make_chunk(unfinished),
            HEAD + b"\r\n" + EVENT + b"data: [DONE]",
        ):
            received = self.read_all(self.begin(send(response)))
            self.assert_cut(received, after=EVENT)

    # Guards against pieces that an engine writes twice (ORDER).
    def test_a_stream_whose_ids_go_back_ends_with_an_error_event(self) -> None:
        numbered = b"id: 1\n" + EVENT + b"id: 2\n" + EVENT
        for repeated in (b"id: 2\n" + EVENT, numbered, b"id: 0\n" + EVENT):
            for response in (
                HEAD + b"\r\n" + numbered + repeated + FINAL_EVENTS,
                CHUNKED + make_chunk(numbered + repeated + FINAL_EVENTS) + LAST_CHUNK,
                CHUNKED + make_chunk(numbered) + make_chunk(repeated + FINAL_EVENTS) + LAST_CHUNK,
            ):
                received = self.read_all(self.begin(send(response)))
                self.assert_cut(received, after=numbered)

    def test_numbered_events_before_others_are_relayed_unchanged(self) -> None:
        body = b"id: 1\n" + EVENT + b"id: 7\n" + EVENT + EVENT + b"id: x\n" + EVENT + FINAL_EVENTS
        response = CHUNKED + make_chunk(body) + LAST_CHUNK
        self.assertEqual(body, self.read_all(self.begin(send(response))))

    # Guards against text that mentions the final event making a cut stream look whole (like inc1).
    def test_text_that_mentions_the_final_event_does_not_end_the_stream(self) -> None:
        mention = b'data: {"text": "ends with data: [DONE]"}\n\n'
        for response in (HEAD + b"\r\n" + mention, CHUNKED + make_chunk(mention) + LAST_CHUNK):
            received = self.read_all(self.begin(send(response)))
            self.assertIn(b"stream_cut", received)
            self.assertTrue(self.outcomes[-1].failed)

    def test_the_final_event_may_have_crlf_lines(self) -> None:
        crlf = (EVENT + FINAL_EVENTS).replace(b"\n", b"\r\n")
        for response in (crlf, crlf + b"\r\n", crlf.replace(b"data: ", b"data:")):
            received = self.read_all(self.begin(send(HEAD + b"\r\n" + response)))
            self.assertEqual(response, received)
            self.assertFalse(self.outcomes[-1].failed)

    def test_a_stalled_stream_ends_with_an_error_event(self) -> None:
        script = send_then_hang(CHUNKED + make_chunk(EVENT))
        received = self.read_all(self.begin(script, silence_timeout_s=0.2))
        self.assert_cut(received, after=EVENT)

    def test_a_slow_caller_receives_the_whole_stream(self) -> None:
        body = EVENT * 200_000
        caller = self.begin(
            send(CHUNKED + make_chunk(body) + make_chunk(FINAL_EVENTS) + LAST_CHUNK)
        )
        self.assertFalse(self.released.wait(0.5), "the stream ended before its caller read it")
        self.assertEqual(body + FINAL_EVENTS, self.read_all(caller))

    # Guards against a thread of the server waiting for the first event, without an error event.
    def test_a_stream_begins_before_its_first_event(self) -> None:
        proceed = Event()

        def script(connection: socket, _: Event) -> None:
            connection.sendall(CHUNKED)
            proceed.wait()
            connection.sendall(make_chunk(EVENT + FINAL_EVENTS) + LAST_CHUNK)

        self.addCleanup(proceed.set)
        caller = self.begin(script)
        proceed.set()
        self.assertEqual(EVENT + FINAL_EVENTS, self.read_all(caller))

    # Guards against a stream without any event that ends without an error event.
    def test_a_stream_that_stalls_before_its_first_event_ends_with_an_error_event(self) -> None:
        caller = self.begin(send_then_hang(CHUNKED), silence_timeout_s=0.2)
        self.assert_cut(self.read_all(caller), after=b"")

    # Guards against the reset of an engine's connection counting as the end of a slow caller's.
    def test_a_slow_caller_receives_what_arrived_before_a_reset(self) -> None:
        events = EVENT * 15_000
        caller = self.begin_and_reset(make_chunk(events + FINAL_EVENTS) + LAST_CHUNK)
        received = self.read_all(caller)
        self.assertEqual(len(events + FINAL_EVENTS), len(received))
        self.assertTrue(received == events + FINAL_EVENTS)
        caller = self.begin_and_reset(make_chunk(events))
        self.assert_cut(self.read_all(caller), after=events)

    def begin_and_reset(self, chunks: bytes) -> socket:
        """Begin a stream whose engine resets its connection before the caller reads."""
        self.released.clear()
        self.outcomes.clear()
        reset = Event()
        caller = self.begin(send_then_reset(CHUNKED + chunks, reset))
        self.assertTrue(reset.wait(TIMEOUT_S), "the engine did not reset its connection")
        return caller

    def test_a_caller_that_disconnects_ends_the_stream(self) -> None:
        caller = self.begin(send_then_hang(CHUNKED + make_chunk(EVENT)))
        caller.recv(1)
        caller.close()
        self.assertTrue(self.released.wait(TIMEOUT_S), "the grant was not released")
