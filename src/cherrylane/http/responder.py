"""Writing of responses."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from cherrylane.http.messages import (
    LAST_CHUNK,
    Header,
    RequestHead,
    Response,
    encode_chunk,
    encode_response_head,
)


class Connection(Protocol):
    """The connection that a response is written to."""

    def write(self, data: bytes) -> None:
        """Queue bytes for sending."""

    async def drain(self) -> None:
        """Wait until the other end has read enough of the queued bytes."""

    def break_off(self, *, is_visible: bool) -> None:
        """End the connection within a response; ``is_visible`` if its framing shows that."""


class Responder:
    """Writes the response to one request.

    Use :meth:`send` for a complete response, or :meth:`start`, :meth:`write` and :meth:`finish` for
    one of unknown length. :meth:`abort` after :meth:`start` leaves it visibly incomplete.
    """

    def __init__(
        self, connection: Connection, head: RequestHead, *, is_draining: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._head = head
        self._is_draining = is_draining
        self.started = False
        self.finished = False
        self.keeps_connection = head.keep_alive

    def send(self, response: Response) -> None:
        """Send a complete response."""
        self.started = self.finished = True
        headers = self._add_connection_header(list(response.headers))
        if response.status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        body = b"" if self._head.method == b"HEAD" else response.body
        self._connection.write(encode_response_head(response.status, headers) + body)

    def start(self, status: int, headers: list[Header], first: bytes) -> None:
        """Send the head of a response of unknown length, and the first bytes of its body."""
        self.started = True
        headers = self._add_connection_header(headers)
        if self._head.http_1_0:
            self.keeps_connection = False
            self._connection.write(encode_response_head(status, headers) + first)
            return
        headers.append((b"Transfer-Encoding", b"chunked"))
        self._connection.write(encode_response_head(status, headers) + encode_chunk(first))

    async def write(self, data: bytes) -> None:
        """Send more of the body; waits while the caller reads too slowly."""
        self._connection.write(data if self._head.http_1_0 else encode_chunk(data))
        await self._connection.drain()

    def finish(self) -> None:
        """End the body."""
        self.finished = True
        if not self._head.http_1_0:
            self._connection.write(LAST_CHUNK)

    def abort(self) -> None:
        """End the connection in the middle of the body."""
        self.keeps_connection = False
        self._connection.break_off(is_visible=not self._head.http_1_0)

    def _add_connection_header(self, headers: list[Header]) -> list[Header]:
        if self._is_draining():
            self.keeps_connection = False
        if not self.keeps_connection:
            headers.append((b"Connection", b"close"))
        return headers
