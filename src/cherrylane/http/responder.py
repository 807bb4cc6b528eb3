"""Writing of responses."""

from collections.abc import Callable
from typing import Protocol

from cherrylane.errors import ResponseOrderError
from cherrylane.http.messages import (
    BODILESS_STATUSES,
    LAST_CHUNK,
    Header,
    RequestHead,
    Response,
    encode_chunk,
    encode_response_head,
    has_body,
)
from cherrylane.limits.memory_pressure import SMALL_BYTES


class Connection(Protocol):
    """The connection that a response is written to."""

    ended_by: str

    def write(self, data: bytes) -> None:
        """Queue bytes for sending."""

    async def drain(self) -> None:
        """Wait until the other end has read enough of the queued bytes."""

    def break_off(self, *, is_visible: bool) -> None:
        """End the connection within a response; ``is_visible`` if its framing shows that."""


class Responder:
    """Writes the response to one request, and nothing after its end.

    Use :meth:`send` for a complete response, or :meth:`start`, :meth:`write` and :meth:`finish` for
    one of unknown length. :meth:`abort` after :meth:`start` leaves it visibly incomplete. A call
    that would write outside of the response raises :class:`ResponseOrderError`.

    The bytes of a body may be empty at any call. A response that cannot have a body, by its status
    or by the method of the request, ends with its head.
    """

    def __init__(
        self, connection: Connection, head: RequestHead, *, is_draining: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._head = head
        self._is_draining = is_draining
        self._has_body = True
        self.started = False
        self.finished = False
        self.keeps_connection = head.keep_alive

    def send(self, response: Response) -> None:
        """Send a complete response."""
        self._begin(response.status)
        self.finished = True
        headers = self._add_connection_header(list(response.headers))
        if response.status not in BODILESS_STATUSES:
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        body = response.body if self._has_body else b""
        self._write(encode_response_head(response.status, headers), body)

    def start(self, status: int, headers: list[Header], first: bytes) -> None:
        """Send the head of a response of unknown length, and the first bytes of its body."""
        self._begin(status)
        if self._has_body and self._head.http_1_0:
            self.keeps_connection = False
        headers = self._add_connection_header(headers)
        if self._is_chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        self._write_body(encode_response_head(status, headers), first)

    async def write(self, data: bytes) -> None:
        """Send more of the body; waits while the caller reads too slowly."""
        self.queue(data)
        await self.drain()

    def queue(self, data: bytes) -> None:
        """Send more of the body without waiting; :meth:`drain` has to be called next."""
        self._check_unfinished()
        if len(data) > SMALL_BYTES:
            self._write_body(b"", data)
        else:
            self._connection.write(self._encode(data))

    @property
    def ended_by(self) -> str:
        """Who ended the connection, and why; empty while it is open."""
        return self._connection.ended_by

    async def drain(self) -> None:
        """Wait while the caller reads too slowly."""
        await self._connection.drain()

    def finish(self) -> None:
        """End the body."""
        self._check_unfinished()
        self.finished = True
        if self._is_chunked:
            self._connection.write(LAST_CHUNK)

    def abort(self) -> None:
        """End the connection in the middle of the body."""
        self.keeps_connection = False
        self._connection.break_off(is_visible=self._is_chunked)

    @property
    def _is_chunked(self) -> bool:
        return self._has_body and not self._head.http_1_0

    def _begin(self, status: int) -> None:
        if self.started:
            raise ResponseOrderError(
                f"a response with status {status} after another one to the same request",
                remedy="abort the response that was started",
            )
        self.started = True
        self._has_body = has_body(self._head.method, status)

    def _check_unfinished(self) -> None:
        if not self.started or self.finished:
            raise ResponseOrderError(
                "bytes of a body outside of a response", remedy="start a response, and end it once"
            )

    def _encode(self, data: bytes) -> bytes:
        if not self._has_body:
            return b""
        return encode_chunk(data) if self._is_chunked else data

    def _write_body(self, head: bytes, data: bytes) -> None:
        """Write a part of a body behind ``head``, which may be empty."""
        if len(data) > SMALL_BYTES and self._is_chunked:
            self._write(head + b"%x\r\n" % len(data), data)
            self._connection.write(b"\r\n")
        else:
            self._write(head, self._encode(data))

    def _write(self, head: bytes, data: bytes) -> None:
        """Write both; large data is not copied for that."""
        if len(data) > SMALL_BYTES:
            self._connection.write(head)
            self._connection.write(data)
        else:
            self._connection.write(head + data)

    def _add_connection_header(self, headers: list[Header]) -> list[Header]:
        if self._is_draining():
            self.keeps_connection = False
        if not self.keeps_connection:
            headers.append((b"Connection", b"close"))
        return headers
