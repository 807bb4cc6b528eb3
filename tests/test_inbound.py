import asyncio
from collections.abc import Callable
from contextlib import suppress
from socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket

from attrs import evolve
from testtools import ExpectedException, TestCase
from testtools.matchers import Contains, EndsWith, LessThan, StartsWith

from cherrylane.http.framing import ReadFailure
from cherrylane.http.inbound import LINGER_S
from cherrylane.http.limits import InboundLimits
from cherrylane.http.listener import InboundServer
from cherrylane.http.messages import LAST_CHUNK, Request, RequestHead, Response, encode_chunk
from cherrylane.http.responder import Responder
from tests.wire import LOOPBACK, open_listener, reset_connection, run, send_raw, wait_for

LIMITS = InboundLimits(
    max_header_bytes=1000, max_body_bytes=100, read_timeout_s=0.3, idle_timeout_s=0.3
)


# More than the kernel holds for a caller that doesn't read.
MANY_BYTES = 20_000_000


class Recorder:
    """Handles requests: records each, and responds with its body or as its path says."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.failures: list[ReadFailure] = []
        self.cancelled = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        self.requests.append(request)
        if request.head.path == "/wait":
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.head.path == "/broken":
            responder.start(200, [], b"a")
            responder.abort()
            return
        if request.head.path == "/stream":
            responder.start(200, [], b"a")
            await responder.write(b"b")
            responder.finish()
            return
        responder.send(Response(200, (), request.body or b"empty"))


async def open_slow_caller(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection on which little is received until the caller reads."""
    connection = socket()
    connection.setsockopt(SOL_SOCKET, SO_RCVBUF, 64 * 1024)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (LOOPBACK, port))
    return await asyncio.open_connection(sock=connection, limit=1024)


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """Return all that is received until the connection is closed or reset."""
    parts: list[bytes] = []
    with suppress(ConnectionError):
        while part := await reader.read(256 * 1024):
            parts.append(part)
    return b"".join(parts)


class InboundCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.recorder = Recorder()

    async def open(self) -> InboundServer:
        server = InboundServer(self.recorder.handle, LIMITS, self.recorder.failures.append)
        await server.listen(open_listener())
        return server

    def send(self, data: bytes) -> bytes:
        async def scenario() -> bytes:
            server = await self.open()
            return await send_raw(server.port, data)

        return run(scenario())


class RequestsTest(InboundCase):
    def test_pipelined_requests_are_answered_in_order(self) -> None:
        first = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
        second = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2"
        answer = self.send(first + second)
        self.assertEqual([b"1", b"2"], [request.body for request in self.recorder.requests])
        self.assertEqual(2, answer.count(b"HTTP/1.1 200"))
        self.assertThat(answer, Contains(b"Connection: close"))

    def test_a_chunked_body_is_read_completely(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual([b"abcde"], [request.body for request in self.recorder.requests])

    def test_expect_100_continue_is_answered(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        answer = self.send(head + b"ab")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"))

    # The interim response was written into the middle of the response before, which broke it.
    def test_expect_100_continue_waits_for_the_responses_before_it(self) -> None:
        async def scenario() -> bytes:
            is_released = asyncio.Event()

            async def respond(request: Request, responder: Responder) -> None:
                if request.head.method == b"GET":
                    responder.start(200, [], b"a")
                    await is_released.wait()
                    responder.finish()
                    return
                responder.send(Response(200, (), request.body))

            server = InboundServer(respond, InboundLimits())
            await server.listen(open_listener())
            reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            received = await reader.readuntil(b"a\r\n")
            head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n"
            writer.write(head + b"Expect: 100-continue\r\n\r\n")
            await asyncio.sleep(0.1)
            is_released.set()
            received += await reader.readuntil(b"100 Continue\r\n\r\n")
            writer.write(b"bc")
            return received + await read_until_closed(reader)

        answer = run(scenario())
        stream = b"\r\n\r\n1\r\na\r\n0\r\n\r\n"
        self.assertThat(answer, Contains(stream + b"HTTP/1.1 100 Continue\r\n\r\n"))
        self.assertTrue(answer.endswith(b"\r\n\r\nbc"), answer)

    def test_a_stream_is_sent_chunked(self) -> None:
        answer = self.send(b"GET /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        self.assertThat(answer, Contains(b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n"))

    def test_an_http_1_0_caller_gets_a_stream_without_chunks(self) -> None:
        answer = self.send(b"GET /stream HTTP/1.0\r\nHost: h\r\n\r\n")
        self.assertTrue(answer.endswith(b"\r\n\r\nab"), answer)

    def test_an_aborted_stream_resets_the_connection(self) -> None:
        async def scenario(version: str) -> None:
            server = await self.open()
            reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(f"GET /broken HTTP/{version}\r\nHost: h\r\n\r\n".encode())
            await reader.read()

        for version in ("1.0", "1.1"):
            with ExpectedException(ConnectionResetError):
                run(scenario(version))

    # The body of an HTTP/1.0 response ends with its connection: when the process ended, or the
    # caller had closed its sending side, an orderly close made a part of it look complete.
    def test_a_cancelled_stream_resets_the_connection(self) -> None:
        async def scenario(version: str) -> None:
            async def respond(request: Request, responder: Responder) -> None:
                responder.start(200, [], b"a")
                await asyncio.sleep(60)

            server = InboundServer(respond, LIMITS)
            await server.listen(open_listener())
            reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
            await reader.readuntil(b"a")
            writer.write_eof()
            await reader.read()

        for version in ("1.0", "1.1"):
            with ExpectedException(ConnectionResetError):
                run(scenario(version))

    def test_a_disconnect_cancels_the_request(self) -> None:
        async def scenario() -> None:
            server = await self.open()
            _, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
            await wait_for(lambda: bool(self.recorder.requests))
            writer.close()
            await wait_for(lambda: self.recorder.cancelled == 1)

        run(scenario())

    # An Upgrade ended the reading of the connection, so that the next request got no answer at all.
    def test_requests_behind_one_with_an_upgrade_header_are_answered(self) -> None:
        first = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        second = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

        async def scenario(pause_s: float) -> bytes:
            server = await self.open()
            reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(first)
            await asyncio.sleep(pause_s)
            writer.write(second)
            return await read_until_closed(reader)

        for pause_s in (0.0, 0.1):
            self.assertEqual(2, run(scenario(pause_s)).count(b"HTTP/1.1 200"))

    # The body of such a request was dropped; nor may it be taken for a request of its own.
    def test_the_body_of_a_request_with_an_upgrade_header_is_read(self) -> None:
        inner = b"GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
        head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\n"
        self.send(head + b"Content-Length: %d\r\n\r\n" % len(inner) + inner)
        self.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunk(inner) + LAST_CHUNK)
        self.assertEqual([inner, inner], [request.body for request in self.recorder.requests])

    # A time limit on one wait for a slow caller cancelled the next one too, which ended the
    # connection without the rest of the response.
    def test_a_time_limit_on_a_slow_caller_leaves_its_connection_usable(self) -> None:
        async def respond(request: Request, responder: Responder) -> None:
            responder.start(200, [], b"x" * MANY_BYTES)
            with suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await responder.write(b"first")
            await responder.write(b"second")
            responder.finish()

        async def scenario() -> bytes:
            server = InboundServer(respond, InboundLimits())
            await server.listen(open_listener())
            reader, writer = await open_slow_caller(server.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            await asyncio.sleep(0.5)
            return await read_until_closed(reader)

        end = b"6\r\nsecond\r\n0\r\n\r\n"
        self.assertEqual(end, run(scenario())[-len(end) :])

    # Any CancelledError counted as the caller's leaving, so a caller that was there got nothing.
    def test_a_cancel_that_is_not_the_callers_ends_as_an_error_response(self) -> None:
        async def scenario() -> bytes:
            async def respond(request: Request, responder: Responder) -> None:
                if request.head.path == "/cancelled":
                    waiting = asyncio.get_running_loop().create_future()
                    waiting.cancel()
                    await waiting
                responder.send(Response(200, (), b"next"))

            server = InboundServer(respond, LIMITS)
            await server.listen(open_listener())
            first = b"GET /cancelled HTTP/1.1\r\nHost: h\r\n\r\n"
            second = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            return await send_raw(server.port, first + second)

        answer = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
        self.assertThat(answer, Contains(b"next"))

    # An error after a complete response reset the connection, and what had not left was lost.
    def test_an_error_after_a_complete_response_leaves_it_complete(self) -> None:
        async def respond(request: Request, responder: Responder) -> None:
            responder.send(Response(200, (), b"x" * MANY_BYTES))
            raise RuntimeError("after the response")

        async def scenario() -> int:
            server = InboundServer(respond, InboundLimits())
            await server.listen(open_listener())
            reader, writer = await open_slow_caller(server.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            return len(await read_until_closed(reader))

        self.assertEqual(MANY_BYTES, run(scenario()))

    def test_a_draining_server_closes_after_the_response(self) -> None:
        async def scenario() -> bytes:
            server = await self.open()
            server.draining = True
            return await send_raw(server.port, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

        self.assertThat(run(scenario()), Contains(b"Connection: close"))


class DrainingTest(InboundCase):
    async def drain_behind_a_request(self, behind: bytes, rest: bytes) -> bytes:
        """Send a request and ``behind``, drain meanwhile, and send ``rest`` when it is answered."""
        is_released = asyncio.Event()

        async def respond(request: Request, responder: Responder) -> None:
            if not self.recorder.requests:
                self.recorder.requests.append(request)
                await is_released.wait()
            responder.send(Response(200, (), request.head.path.encode()))

        server = InboundServer(respond, evolve(LIMITS, idle_timeout_s=60.0))
        await server.listen(open_listener())
        reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + behind)
        await wait_for(lambda: bool(self.recorder.requests))
        server.draining = True
        server.close_idle()
        is_released.set()
        first = await reader.readuntil(b"/a")
        writer.write(rest)
        return first + await read_until_closed(reader)

    def assert_all_answered(self, answer: bytes) -> None:
        responses = answer.split(b"HTTP/1.1 200 OK\r\n")[1:]
        bodies = [response.partition(b"\r\n\r\n")[2] for response in responses]
        self.assertEqual([b"/a", b"/b"], bodies)
        closing = [b"Connection: close" in response for response in responses]
        self.assertEqual([False, True], closing)

    # The first response said close, and the requests behind it were dropped without an answer.
    def test_requests_that_were_read_are_answered_and_the_last_response_says_close(self) -> None:
        behind = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assert_all_answered(run(self.drain_behind_a_request(behind, b"")))

    # The same for a request of which only a part had arrived by then.
    def test_a_request_that_has_begun_to_arrive_is_answered(self) -> None:
        behind, rest = b"GET /b HTTP/1.1\r\nHo", b"st: h\r\n\r\n"
        self.assert_all_answered(run(self.drain_behind_a_request(behind, rest)))

    # A server that drains must not wait without end for the rest of such a request.
    def test_a_request_that_does_not_arrive_completely_is_refused_in_time(self) -> None:
        answer = run(self.drain_behind_a_request(b"GET /b HTTP/1.1\r\nHo", b""))
        self.assertThat(answer, Contains(b"HTTP/1.1 408"))

    # A request that had arrived, but that this process hadn't read yet, was read after the close of
    # its connection and dropped.
    def test_a_connection_on_which_a_request_has_arrived_is_not_idle(self) -> None:
        async def scenario() -> bytes:
            server = await self.open()
            caller = create_connection((LOOPBACK, server.port))
            await wait_for(lambda: bool(server.connections))
            server.draining = True
            caller.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            server.close_idle()
            self.assertEqual(1, server.unfinished)
            reader, _ = await asyncio.open_connection(sock=caller)
            return await read_until_closed(reader)

        self.assertThat(run(scenario()), StartsWith(b"HTTP/1.1 200"))

    # Guards against heartbeats of a stopping host that fail because its listener is closed.
    def test_the_port_of_a_server_is_known_when_it_has_stopped_accepting(self) -> None:
        async def scenario() -> tuple[int, int]:
            server = await self.open()
            port = server.port
            server.stop_accepting()
            await asyncio.sleep(0.05)
            return port, server.port

        port, port_when_stopped = run(scenario())
        self.assertNotEqual(0, port)
        self.assertEqual(port, port_when_stopped)

    # The kernel reset connections that weren't accepted yet, and asyncio dropped those that it had
    # accepted in the same moment.
    def test_a_server_that_stops_accepting_serves_the_connections_that_wait(self) -> None:
        async def scenario(turns: int) -> bytes:
            server = await self.open()
            server.draining = True
            caller = create_connection((LOOPBACK, server.port))
            caller.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            for _ in range(turns):
                await asyncio.sleep(0)
            server.stop_accepting()
            reader, _ = await asyncio.open_connection(sock=caller)
            return await read_until_closed(reader)

        answers = [run(scenario(turns))[:12] for turns in range(5)]
        self.assertEqual([b"HTTP/1.1 200"] * 5, answers)

    # RFC 9112, section 9.6: after a caller's own close nothing more is due, or may run.
    def test_a_request_behind_one_that_says_close_is_not_handled(self) -> None:
        first = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = self.send(first + b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(1, answer.count(b"HTTP/1.1 "))
        self.assertEqual(["/a"], [request.head.path for request in self.recorder.requests])


class IdleTest(InboundCase):
    # Connections kept the idle timeout of the configuration in whose time they became idle, so
    # that after a longer one a caller's request met a connection that was already closed.
    def test_a_longer_idle_timeout_holds_for_connections_that_are_already_idle(self) -> None:
        async def scenario() -> bytes:
            server = await self.open()
            reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"empty")
            server.limits = evolve(LIMITS, idle_timeout_s=60.0)
            await asyncio.sleep(2 * LIMITS.idle_timeout_s)
            writer.write(b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return await read_until_closed(reader)

        self.assertThat(run(scenario()), StartsWith(b"HTTP/1.1 200"))


class SlowCallerTest(InboundCase):
    async def read_slowly(self, extra: bytes, limits: InboundLimits, pause_s: float) -> int:
        """Return how many bytes a caller gets that pauses before each of eight parts."""

        async def respond(request: Request, responder: Responder) -> None:
            responder.send(Response(200, (), b"x" * MANY_BYTES))

        server = InboundServer(respond, limits)
        await server.listen(open_listener())
        reader, writer = await open_slow_caller(server.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + extra + b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        with suppress(asyncio.IncompleteReadError):
            for _ in range(8):
                await asyncio.sleep(pause_s)
                received += len(await reader.readexactly(MANY_BYTES // 8))
        return received

    # The time in which a closed connection lingers began before its last response had left.
    def test_a_slow_caller_gets_the_whole_of_a_connections_last_response(self) -> None:
        slow = self.read_slowly(b"Connection: close\r\n", InboundLimits(), LINGER_S / 4)
        self.assertEqual(MANY_BYTES, run(slow))

    # The time in which a connection is idle began before its last response had left.
    def test_a_caller_that_reads_a_response_is_not_idle(self) -> None:
        limits = evolve(InboundLimits(), idle_timeout_s=1.5)
        self.assertEqual(MANY_BYTES, run(self.read_slowly(b"", limits, 0.4)))

    # A caller that takes nothing must not keep its connection, and a server that drains, for ever.
    def test_a_caller_that_takes_nothing_of_a_response_is_cut(self) -> None:
        async def scenario() -> None:
            async def respond(request: Request, responder: Responder) -> None:
                responder.send(Response(200, (), b"x" * MANY_BYTES))

            server = InboundServer(respond, LIMITS)
            await server.listen(open_listener())
            for extra in (b"", b"Connection: close\r\n"):
                _, writer = await open_slow_caller(server.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + extra + b"\r\n")
                await wait_for(lambda: server.unfinished == 1)
                await wait_for(lambda: not server.connections)

        run(scenario())

    # Guards against callers that hold a connection, or a server that drains, by reading slowly.
    def test_a_caller_that_takes_a_response_without_end_is_cut(self) -> None:
        limits = evolve(InboundLimits(), idle_timeout_s=0.3, body_timeout_s=0.6)
        for extra in (b"", b"Connection: close\r\n"):
            received = run(self.read_slowly(extra, limits, 0.2))
            self.assertThat(received, LessThan(MANY_BYTES))

    # Found by soak seed 310: the reset of a stream behind it took the unread rest of a response.
    def test_a_whole_response_arrives_before_a_stream_that_breaks_off(self) -> None:
        received = run(self.read_response_before_a_broken_stream("1.1"))
        self.assertEqual(MANY_BYTES, received.count(b"x"))
        self.assertThat(received, EndsWith(b"1\r\na\r\n"))

    # The body of an HTTP/1.0 response would look complete at an orderly end.
    def test_an_http_1_0_stream_that_breaks_off_behind_a_response_is_reset(self) -> None:
        with ExpectedException(ConnectionResetError):
            run(self.read_response_before_a_broken_stream("1.0"))

    async def read_response_before_a_broken_stream(self, version: str) -> bytes:
        """Return what a slow caller gets of a whole response and a stream that breaks off."""

        async def respond(request: Request, responder: Responder) -> None:
            if request.head.path == "/broken":
                await self.recorder.handle(request, responder)
            else:
                responder.send(Response(200, (), b"x" * MANY_BYTES))

        server = InboundServer(respond, InboundLimits())
        await server.listen(open_listener())
        reader, writer = await open_slow_caller(server.port)
        for line in ("GET / HTTP/1.1", f"GET /broken HTTP/{version}"):
            writer.write(f"{line}\r\nHost: h\r\n\r\n".encode())
        await wait_for(lambda: len(self.recorder.requests) == 1)
        return await reader.read()


class InvalidRequestTest(InboundCase):
    def assert_refused(self, data: bytes, status: int) -> None:
        answer = self.send(data)
        self.assertThat(answer, StartsWith(f"HTTP/1.1 {status} ".encode()))
        self.assertEqual([], self.recorder.requests)

    def test_content_length_with_transfer_encoding_is_refused(self) -> None:
        both = b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        self.assert_refused(b"POST / HTTP/1.1\r\nHost: h\r\n" + both, 400)

    def test_two_content_lengths_are_refused(self) -> None:
        two = b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"
        self.assert_refused(b"POST / HTTP/1.1\r\nHost: h\r\n" + two, 400)

    def test_transfer_codings_other_than_chunked_are_refused(self) -> None:
        for coding in (b"gzip, chunked", b"chunked, identity", b"xchunked"):
            head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding
            self.assert_refused(head + b"\r\n\r\n0\r\n\r\n", 400)

    def test_malformed_chunks_are_refused(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_refused(head + b"zz\r\nab\r\n0\r\n\r\n", 400)

    def test_a_malformed_head_is_refused(self) -> None:
        for head in (
            b"GET / HTTP/1.1\r\nHost: h\r\nBad Header: 1\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            b"GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n",
            b"not http at all\r\n\r\n",
        ):
            self.assert_refused(head, 400)

    def test_a_large_head_is_refused(self) -> None:
        self.assert_refused(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 1000 + b"\r\n\r\n", 431)
        self.assert_refused(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000, 431)

    def test_a_large_body_is_refused_by_its_content_length(self) -> None:
        self.assert_refused(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413)

    def test_a_large_chunked_body_is_refused(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_refused(head + b"c8\r\n" + b"x" * 200 + b"\r\n0\r\n\r\n", 413)

    def test_a_slow_head_times_out(self) -> None:
        self.assert_refused(b"GET / HTTP/1.1\r\nHost: h\r\n", 408)

    def test_a_slow_body_times_out(self) -> None:
        self.assert_refused(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", 408)

    def test_an_idle_connection_is_closed_without_a_response(self) -> None:
        self.assertEqual(b"", self.send(b""))


class EndTest(InboundCase):
    """Guards against connections that end without an answer and without a trace of who ended them.

    The record of a lost request (LOST, altamaha-lots-grown) could not be explained by the logs.
    """

    def end(self, act: Callable[[InboundServer, asyncio.StreamWriter], None]) -> list[str]:
        """Return who has ended a connection, as the handler of a request and one behind it see."""
        ends: list[str] = []

        async def handle(request: Request, responder: Responder) -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ends.append(f"{request.head.path} {responder.ended_by}")

        def record_dropped(head: RequestHead, ended_by: str) -> None:
            ends.append(f"{head.path} {ended_by}")

        async def scenario() -> None:
            server = InboundServer(handle, LIMITS, on_dropped=record_dropped)
            await server.listen(open_listener())
            _, writer = await asyncio.open_connection(LOOPBACK, server.port)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
            await wait_for(lambda: server.busy == 1)
            act(server, writer)
            await wait_for(lambda: len(ends) == 2)

        run(scenario())
        return sorted(ends)

    def test_who_has_ended_a_connection_is_told_for_each_of_its_requests(self) -> None:
        def cut(server: InboundServer, writer: asyncio.StreamWriter) -> None:
            next(iter(server.connections)).cut()

        acts: dict[str, Callable[[InboundServer, asyncio.StreamWriter], None]] = {
            "caller: end of its sending side": lambda server, writer: writer.write_eof(),
            "network: ConnectionResetError": lambda server, writer: reset_connection(writer),
            "host: reset for the sake of memory or descriptors": cut,
            "host: reset at the end of the process": lambda server, writer: server.abort_all(),
        }
        for ended_by, act in acts.items():
            self.assertEqual([f"/a {ended_by}", f"/b {ended_by}"], self.end(act))
