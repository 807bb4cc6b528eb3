from socket import SHUT_WR, socket, socketpair
from threading import Event

from attrs import evolve
from testtools import ExpectedException, TestCase

from cherrylane.delivery.exchange import UpstreamClient, UpstreamRequest
from cherrylane.errors import CallerDisconnectedError, TruncatedResponseError, UpstreamError
from cherrylane.settings.schema import UpstreamSettings
from tests.builders import make_runner
from tests.scripted import Script, ScriptedUpstream, send, send_then_hang

REQUEST = UpstreamRequest("GET", "/", {}, b"")
# For upstreams that respond or close; a busy machine may take seconds for it.
LONG_TIMEOUTS = UpstreamSettings(
    first_byte_timeout_s=30.0, silence_timeout_s=30.0, max_connections=2
)
# For upstreams that send nothing, so that the test waits for the time-out.
SHORT_FIRST_BYTE = UpstreamSettings(first_byte_timeout_s=0.2)
SHORT_SILENCE = UpstreamSettings(first_byte_timeout_s=30.0, silence_timeout_s=0.2)
HEAD = b"HTTP/1.1 200 OK\r\n"


class ExchangeTest(TestCase):
    def start(self, script: Script) -> ScriptedUpstream:
        upstream = ScriptedUpstream(script)
        self.addCleanup(upstream.close)
        return upstream

    def read(self, script: Script, settings: UpstreamSettings = LONG_TIMEOUTS) -> bytes:
        upstream = self.start(script)
        return UpstreamClient(settings).open(upstream.runner, REQUEST).read_full_body()

    def test_complete_bodies_are_read(self) -> None:
        self.assertEqual(b"abcd", self.read(send(HEAD + b"Content-Length: 4\r\n\r\nab", b"cd")))
        chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        self.assertEqual(b"ab", self.read(send(chunked)))

    def test_a_body_shorter_than_its_framing_is_truncated(self) -> None:
        for body in (
            b"Content-Length: 5\r\n\r\nab",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        ):
            with ExpectedException(TruncatedResponseError):
                self.read(send(HEAD + body))

    # Guards against an engine's crash passing half an object on as a whole answer (like inc1).
    def test_a_json_body_that_its_connection_ends_early_is_truncated(self) -> None:
        for body in (b"", b'{"choices": [', b'{"n": "ab'):
            with ExpectedException(TruncatedResponseError):
                self.read(send(HEAD + b"Content-Type: application/json\r\n\r\n" + body))

    def test_other_bodies_that_their_connection_ends_are_read(self) -> None:
        for head, body in (
            (b"Content-Type: application/json; charset=utf-8\r\n", b'{"n": [1]}'),
            (b"Content-Type: text/plain\r\n", b'{"n": '),
            (b"Content-Type: application/json\r\nContent-Encoding: gzip\r\n", b"\x1f\x8b"),
            (b"Content-Type: application/json\r\nContent-Length: 3\r\n", b"{n}"),
            (b"", b"abc"),
        ):
            self.assertEqual(body, self.read(send(HEAD + head + b"\r\n" + body)))

    def test_a_body_that_stalls_is_truncated(self) -> None:
        with ExpectedException(TruncatedResponseError):
            self.read(send_then_hang(HEAD + b"Content-Length: 5\r\n\r\nab"), SHORT_SILENCE)

    def test_surplus_bytes_do_not_reach_the_next_response(self) -> None:
        upstream = self.start(send_then_hang(HEAD + b"Content-Length: 2\r\n\r\nabEXTRA"))
        client = UpstreamClient(LONG_TIMEOUTS)
        self.assertEqual(b"ab", client.open(upstream.runner, REQUEST).read_full_body())
        self.assertEqual(b"ab", client.open(upstream.runner, REQUEST).read_full_body())
        self.assertEqual(2, upstream.calls)

    def test_only_a_refused_connection_counts_as_not_sent(self) -> None:
        closed = self.start(send())
        closed.close()
        for runner, sent, settings in (
            (make_runner("nobody", port=1), False, LONG_TIMEOUTS),
            (self.start(send()).runner, True, LONG_TIMEOUTS),
            (self.start(send_then_hang()).runner, True, SHORT_FIRST_BYTE),
            (self.start(send(b"garbage\r\n\r\n")).runner, True, LONG_TIMEOUTS),
        ):
            error = self.assertRaises(UpstreamError, UpstreamClient(settings).open, runner, REQUEST)
            self.assertEqual(sent, error.sent, str(error))

    def test_a_caller_that_disconnects_ends_the_wait(self) -> None:
        upstream = self.start(send_then_hang())
        near, far = socketpair()
        far.close()
        with ExpectedException(CallerDisconnectedError):
            UpstreamClient(UpstreamSettings()).open(upstream.runner, REQUEST, caller=near)

    # Guards against the limit of a response's head being applied to the wait for its first byte.
    def test_a_caller_that_ends_its_sending_side_behind_more_requests_is_still_answered(
        self,
    ) -> None:
        def answer_late(connection: socket, closing: Event) -> None:
            closing.wait(0.6)
            connection.sendall(HEAD + b"Content-Length: 2\r\n\r\nab")

        near, far = socketpair()
        far.sendall(b"GET /next HTTP/1.1\r\n\r\n")
        far.shutdown(SHUT_WR)
        client = UpstreamClient(evolve(LONG_TIMEOUTS, head_timeout_s=0.2))
        exchange = client.open(self.start(answer_late).runner, REQUEST, caller=near)
        self.assertEqual(b"ab", exchange.read_full_body())

    def test_open_connections_per_upstream_are_limited_and_reusable_after_close(self) -> None:
        upstream = self.start(send_then_hang(HEAD + b"Content-Length: 2\r\n\r\nab"))
        client = UpstreamClient(LONG_TIMEOUTS)
        first = client.open(upstream.runner, REQUEST)
        client.open(upstream.runner, REQUEST)
        error = self.assertRaises(UpstreamError, client.open, upstream.runner, REQUEST)
        self.assertFalse(error.sent)
        first.close()
        self.assertEqual(b"ab", client.open(upstream.runner, REQUEST).read_full_body())
