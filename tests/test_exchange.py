from socket import socketpair

from testtools import ExpectedException, TestCase

from cherrylane.delivery.exchange import UpstreamClient, UpstreamRequest
from cherrylane.errors import CallerDisconnectedError, TruncatedResponseError, UpstreamError
from cherrylane.settings.schema import UpstreamSettings
from tests.builders import make_runner
from tests.scripted import Script, ScriptedUpstream, say, say_then_hang

REQUEST = UpstreamRequest("GET", "/", {}, b"")
# An answer or an end comes; a busy machine may take seconds for it.
PATIENT = UpstreamSettings(first_byte_timeout_s=30.0, silence_timeout_s=30.0, max_connections=2)
# Nothing comes, and the test waits for that.
SILENT = UpstreamSettings(first_byte_timeout_s=0.2)
SILENT_LATER = UpstreamSettings(first_byte_timeout_s=30.0, silence_timeout_s=0.2)
HEAD = b"HTTP/1.1 200 OK\r\n"


class ExchangeTest(TestCase):
    def start(self, script: Script) -> ScriptedUpstream:
        upstream = ScriptedUpstream(script)
        self.addCleanup(upstream.close)
        return upstream

    def read(self, script: Script, settings: UpstreamSettings = PATIENT) -> bytes:
        upstream = self.start(script)
        return UpstreamClient(settings).open(upstream.runner, REQUEST).read_whole()

    def test_whole_answers_are_taken(self) -> None:
        self.assertEqual(b"abcd", self.read(say(HEAD + b"Content-Length: 4\r\n\r\nab", b"cd")))
        chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        self.assertEqual(b"ab", self.read(say(chunked)))

    def test_an_answer_shorter_than_it_said_is_not_whole(self) -> None:
        for body in (
            b"Content-Length: 5\r\n\r\nab",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        ):
            with ExpectedException(TruncatedResponseError):
                self.read(say(HEAD + body))

    def test_an_answer_that_goes_silent_is_not_whole(self) -> None:
        with ExpectedException(TruncatedResponseError):
            self.read(say_then_hang(HEAD + b"Content-Length: 5\r\n\r\nab"), SILENT_LATER)

    def test_bytes_beyond_the_answer_do_not_reach_the_next_one(self) -> None:
        upstream = self.start(say_then_hang(HEAD + b"Content-Length: 2\r\n\r\nabEXTRA"))
        client = UpstreamClient(PATIENT)
        self.assertEqual(b"ab", client.open(upstream.runner, REQUEST).read_whole())
        self.assertEqual(b"ab", client.open(upstream.runner, REQUEST).read_whole())
        self.assertEqual(2, upstream.calls)

    def test_only_a_refused_connection_proves_that_nothing_was_sent(self) -> None:
        closed = self.start(say())
        closed.close()
        for runner, sent, settings in (
            (make_runner("nobody", port=1), False, PATIENT),
            (self.start(say()).runner, True, PATIENT),
            (self.start(say_then_hang()).runner, True, SILENT),
            (self.start(say(b"garbage\r\n\r\n")).runner, True, PATIENT),
        ):
            error = self.assertRaises(UpstreamError, UpstreamClient(settings).open, runner, REQUEST)
            self.assertEqual(sent, error.sent, str(error))

    def test_a_caller_that_leaves_ends_the_wait(self) -> None:
        upstream = self.start(say_then_hang())
        near, far = socketpair()
        far.close()
        with ExpectedException(CallerDisconnectedError):
            UpstreamClient(UpstreamSettings()).open(upstream.runner, REQUEST, caller=near)

    def test_connections_to_one_upstream_are_bounded_and_given_back(self) -> None:
        upstream = self.start(say_then_hang(HEAD + b"Content-Length: 2\r\n\r\nab"))
        client = UpstreamClient(PATIENT)
        first = client.open(upstream.runner, REQUEST)
        client.open(upstream.runner, REQUEST)
        error = self.assertRaises(UpstreamError, client.open, upstream.runner, REQUEST)
        self.assertFalse(error.sent)
        first.close()
        self.assertEqual(b"ab", client.open(upstream.runner, REQUEST).read_whole())
