import asyncio

from testtools import ExpectedException, TestCase

from cherrylane.errors import ConnectError, IncompleteResponseError
from cherrylane.http.messages import ResponseHead, encode_request
from cherrylane.http.outbound import ConnectionPool, OutboundConnection, open_connection
from cherrylane.settings.schema import Endpoint
from tests.wire import LOOPBACK, Call, Script, ScriptedUpstream, run

REQUEST = encode_request(b"GET", b"/", [(b"Host", b"h")], b"", has_body=False)


async def connect(script: Script) -> OutboundConnection:
    upstream = await ScriptedUpstream(script).start()
    return await open_connection(Endpoint(LOOPBACK, upstream.port), 5.0)


async def exchange(script: Script) -> tuple[ResponseHead, bytes, bool]:
    connection = await connect(script)
    connection.send(REQUEST)
    head = await connection.read_head()
    body = await connection.read_body()
    return head, body, connection.release(head)


def raw(*parts: bytes, reset: bool = False, close: bool = False) -> Script:
    async def script(call: Call) -> None:
        for part in parts:
            call.writer.write(part)
            await call.writer.drain()
        if reset:
            await asyncio.sleep(0.05)
            call.reset()
        if close:
            call.writer.close()

    return script


class ExchangeTest(TestCase):
    def test_an_answer_with_a_length_leaves_the_connection_usable(self) -> None:
        head, body, kept = run(exchange(raw(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")))
        self.assertEqual((200, b"ab", True), (head.status, body, kept))

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        head, body, kept = run(exchange(raw(b"HTTP/1.1 200 OK\r\n\r\nabc", close=True)))
        self.assertEqual((False, b"abc", False), (head.has_length, body, kept))

    def test_an_answer_without_a_length_that_is_reset_is_broken(self) -> None:
        with ExpectedException(IncompleteResponseError):
            run(exchange(raw(b"HTTP/1.1 200 OK\r\n\r\nabc", reset=True)))

    def test_an_answer_shorter_than_its_length_is_broken(self) -> None:
        with ExpectedException(IncompleteResponseError):
            run(exchange(raw(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", close=True)))

    def test_chunks_without_their_end_are_broken(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        with ExpectedException(IncompleteResponseError):
            run(exchange(raw(head, close=True)))

    def test_bytes_that_are_no_answer_are_broken(self) -> None:
        with ExpectedException(IncompleteResponseError):
            run(exchange(raw(b"garbage\r\n\r\n")))

    def test_a_second_answer_ends_the_use_of_the_connection(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
        _, body, kept = run(exchange(raw(answer + answer)))
        self.assertEqual((b"a", False), (body, kept))

    def test_spare_bytes_after_an_answer_do_not_spoil_it(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
        _, body, kept = run(exchange(raw(answer + b"\x00spare")))
        self.assertEqual((b"a", False), (body, kept))

    def test_an_answer_that_nobody_awaits_closes_the_connection(self) -> None:
        async def script(call: Call) -> None:
            call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
            await asyncio.sleep(0.05)
            call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")

        async def work() -> bool:
            connection = await connect(script)
            connection.send(REQUEST)
            head = await connection.read_head()
            await connection.read_body()
            self.assertTrue(connection.release(head))
            while connection.is_open:
                await asyncio.sleep(0.01)
            return connection.is_open

        self.assertFalse(run(work()))


class PoolTest(TestCase):
    def test_a_connection_that_nobody_accepts_is_a_typed_error(self) -> None:
        async def work() -> None:
            upstream = await ScriptedUpstream(raw()).start()
            port = upstream.port
            assert upstream._server is not None
            upstream._server.close()
            await open_connection(Endpoint(LOOPBACK, port), 1.0)

        with ExpectedException(ConnectError):
            run(work())

    def test_an_idle_connection_is_taken_again_only_for_a_while(self) -> None:
        async def work() -> tuple[bool, bool]:
            answer = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            upstream = await ScriptedUpstream(answer).start()
            pool = ConnectionPool(max_idle_s=0.2, connect_timeout_s=1.0)
            connection = await pool.open(Endpoint(LOOPBACK, upstream.port))
            connection.send(REQUEST)
            head = await connection.read_head()
            await connection.read_body()
            connection.release(head)
            pool.put("a", connection)
            soon = pool.take_idle("a") is connection
            pool.put("a", connection)
            await asyncio.sleep(0.3)
            return soon, pool.take_idle("a") is connection

        self.assertEqual((True, False), run(work()))
