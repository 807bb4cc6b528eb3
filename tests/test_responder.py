"""Writing of responses: what a caller receives for any sequence of calls."""

import asyncio

from attrs import define, field
from httptools import HttpResponseParser
from hypothesis import given
from hypothesis.strategies import binary, lists, sampled_from
from testtools import ExpectedException, TestCase

from cherrylane.errors import ResponseOrderError
from cherrylane.http.messages import LAST_CHUNK, RequestHead, Response, encode_chunk
from cherrylane.http.responder import Responder

STATUSES = sampled_from([200, 204, 205, 304, 404, 500])
PARTS = lists(binary(max_size=3), min_size=1, max_size=4)


@define
class RecordedConnection:
    """A connection that records what is written."""

    written: bytes = b""
    ended_by: str = ""

    def write(self, data: bytes) -> None:
        self.written += data

    async def drain(self) -> None:
        pass

    def break_off(self, *, is_visible: bool) -> None:
        pass


@define
class ReceivedResponse:
    """A response as a parser that knows its request receives it."""

    body: bytes = b""
    ends: list[int] = field(factory=list)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.ends.append(len(self.body))


def make_responder(method: bytes = b"GET", *, http_1_0: bool = False) -> Responder:
    head = RequestHead((), method=method, http_1_0=http_1_0, keep_alive=not http_1_0)
    return Responder(RecordedConnection(), head, is_draining=lambda: False)


def read_written(responder: Responder) -> bytes:
    connection = responder._connection
    assert isinstance(connection, RecordedConnection)
    return connection.written


def send_parts(responder: Responder, status: int, parts: list[bytes]) -> None:
    async def scenario() -> None:
        responder.start(status, [], parts[0])
        for part in parts[1:]:
            await responder.write(part)
        responder.finish()

    asyncio.run(scenario())


class FramingTest(TestCase):
    # Guards against an empty part of a body being written as the chunk that ends it (review/1).
    @given(PARTS, STATUSES)
    def test_a_body_in_any_parts_is_received_whole_and_ends_once(
        self, parts: list[bytes], status: int
    ) -> None:
        responder = make_responder()
        send_parts(responder, status, parts)
        received = ReceivedResponse()
        HttpResponseParser(received).feed_data(read_written(responder))
        expected = b"" if status in (204, 304) else b"".join(parts)
        self.assertEqual((expected, [len(expected)]), (received.body, received.ends))

    @given(PARTS, STATUSES)
    def test_the_response_to_a_head_request_ends_with_its_head(
        self, parts: list[bytes], status: int
    ) -> None:
        streamed, sent = make_responder(b"HEAD"), make_responder(b"HEAD")
        send_parts(streamed, status, parts)
        sent.send(Response(status, (), b"".join(parts)))
        for responder in (streamed, sent):
            self.assertEqual((b"", b"\r\n\r\n"), split_end(read_written(responder)))

    @given(PARTS)
    def test_an_http_1_0_caller_gets_the_bytes_alone(self, parts: list[bytes]) -> None:
        responder = make_responder(http_1_0=True)
        send_parts(responder, 200, parts)
        _, _, body = read_written(responder).partition(b"\r\n\r\n")
        self.assertEqual((b"".join(parts), False), (body, responder.keeps_connection))

    def test_a_status_without_a_body_is_sent_without_framing_and_body(self) -> None:
        for status in (204, 304):
            responder = make_responder()
            responder.send(Response(status, (), b"never"))
            self.assertEqual((b"", b"\r\n\r\n"), split_end(read_written(responder)))
            self.assertNotIn(b"Content-Length", read_written(responder))

    def test_an_empty_chunk_is_no_bytes(self) -> None:
        self.assertEqual(b"", encode_chunk(b""))
        self.assertEqual(b"1\r\na\r\n", encode_chunk(b"a"))


class OrderTest(TestCase):
    # Guards against a second head, a second end or parts of a body behind a response.
    def test_nothing_can_be_written_outside_of_a_response(self) -> None:
        async def scenario() -> None:
            responder = make_responder()
            with ExpectedException(ResponseOrderError):
                responder.finish()
            with ExpectedException(ResponseOrderError):
                await responder.write(b"a")
            responder.start(200, [], b"a")
            with ExpectedException(ResponseOrderError):
                responder.start(200, [], b"b")
            with ExpectedException(ResponseOrderError):
                responder.send(Response(500))
            responder.finish()
            with ExpectedException(ResponseOrderError):
                responder.finish()
            with ExpectedException(ResponseOrderError):
                await responder.write(b"c")
            written = read_written(responder)
            self.assertEqual(1, written.count(b"HTTP/1.1"))
            self.assertTrue(written.endswith(b"\r\n\r\n1\r\na\r\n" + LAST_CHUNK), written)

        asyncio.run(scenario())


def split_end(written: bytes) -> tuple[bytes, bytes]:
    """Return what follows the head of a response, and the end of the head."""
    end = written.index(b"\r\n\r\n")
    return written[end + 4 :], written[end : end + 4]
