"""Connections from callers: one task reads requests and answers them in order.

Requests are read whole before they are handled. A caller that closes its connection, or its
writing side, has its request cancelled at once.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from socket import SO_LINGER, SOL_SOCKET, socket
from struct import pack

from attrs import define, field
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from cherrylane.http.framing import ReadFailure, find_framing_problem, measure_head
from cherrylane.http.limits import InboundLimits
from cherrylane.http.messages import (
    Header,
    Request,
    RequestHead,
    encode_response_head,
)
from cherrylane.http.responder import Responder

# Seconds that a closed connection is still read, so that its last answer is not lost to a reset.
LINGER_S = 1.0
# Requests that may wait behind one that is handled; RFC 9112 lets a server limit pipelining.
MAX_PIPELINED = 16
# Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = pack("ii", 1, 0)
# Bytes of unsent answer at which a handler waits for the caller to read.
WRITE_BUFFER_BYTES = 64 * 1024

Handler = Callable[[Request, Responder], Awaitable[None]]
FailureListener = Callable[[ReadFailure], None]


@define
class InboundServer:
    """What all connections of one listener share."""

    handle: Handler
    limits: InboundLimits
    on_read_failure: FailureListener = lambda failure: None
    connections: set["InboundConnection"] = field(factory=set)
    draining: bool = False
    _listener: asyncio.Server | None = None

    async def listen(self, listening: socket) -> None:
        """Begin to accept connections on a socket that listens already."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: InboundConnection(self), sock=listening)

    @property
    def port(self) -> int:
        """The port that is listened on, which the system chose if 0 was asked for."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Close the listener; open connections go on."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close every connection on which no request is being read or handled."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort_all(self) -> None:
        """Reset every connection that is left."""
        for connection in list(self.connections):
            connection.abort()

    @property
    def busy(self) -> int:
        """How many connections have a request in work."""
        return sum(1 for connection in self.connections if connection.is_busy)


class InboundConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: InboundServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = HttpRequestParser(self)
        self._requests: deque[Request | ReadFailure] = deque()
        self._wakeup: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._headers: list[Header] = []
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._reading = False
        self._stopped_reading = False
        self._lingering = False
        self.is_busy = False
        self.is_lost = False
        self.served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._arm(self._server.limits.idle_timeout_s)
        self._task = self._loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        if self._stopped_reading:
            return
        if not self._reading:
            self._reading = True
            self._head_bytes = 0
            self._arm(self._server.limits.read_timeout_s)
        if self._head is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is served as HTTP/1.1; what follows it is not.
            self._stopped_reading = True
        except HttpParserError as error:
            self._fail(ReadFailure(HTTPStatus.BAD_REQUEST, str(error)))
        if self._head is None and self._head_bytes > self._server.limits.max_header_bytes:
            self._fail(ReadFailure(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large"))
        if len(self._requests) > MAX_PIPELINED:
            self._fail(ReadFailure(HTTPStatus.BAD_REQUEST, "too many pipelined requests"))

    def eof_received(self) -> bool:
        # A caller that ended its side has left; its request is not run in vain.
        if self._task is not None:
            self._task.cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers = []
        self._head = None
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        head = RequestHead(
            headers=tuple(self._headers),
            method=self._parser.get_method(),
            target=self._target,
            keep_alive=self._parser.should_keep_alive(),
            http_1_0=self._parser.get_http_version() == "1.0",
        )
        self._head = head
        problem = find_framing_problem(head)
        if problem:
            self._fail(ReadFailure(HTTPStatus.BAD_REQUEST, problem))
            return
        limits = self._server.limits
        if (
            self._head_bytes > limits.max_header_bytes
            and measure_head(head) > limits.max_header_bytes
        ):
            self._fail(ReadFailure(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large"))
        elif int(head.find(b"content-length") or 0) > limits.max_body_bytes:
            self._fail(ReadFailure(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large"))
        elif head.find_text(b"expect").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        if self._stopped_reading:
            return
        self._body.append(data)
        self._body_bytes += len(data)
        self._arm(self._server.limits.read_timeout_s)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._fail(ReadFailure(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large"))

    def on_message_complete(self) -> None:
        if self._stopped_reading or self._head is None:
            return
        self._reading = False
        self._head_bytes = 0
        self._requests.append(Request(self._head, b"".join(self._body)))
        self._head = None
        self._wake()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled on it."""
        if not self.is_busy and not self._reading and not self._requests:
            self.close()

    def close(self) -> None:
        """End the answers, and go on reading for a moment so that the last one arrives."""
        if self.is_lost or self._lingering:
            return
        self._lingering = True
        self._stopped_reading = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._arm(LINGER_S)

    def abort(self) -> None:
        """Reset the connection: what was sent so far does not look complete."""
        if not self.is_lost:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def write(self, data: bytes) -> None:
        """Queue bytes of an answer."""
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough of what was written."""
        if self._writable is not None:
            await self._writable

    async def _serve(self) -> None:
        try:
            while not self._lingering:
                request = await self._next_request()
                match request:
                    case ReadFailure():
                        self._answer_failure(request)
                        return
                    case Request():
                        await self._handle(request)
        except asyncio.CancelledError:
            if not self.is_lost:
                self._transport.abort()

    async def _handle(self, request: Request) -> None:
        self.is_busy = True
        self.served += 1
        if self._timer is not None:
            self._timer.cancel()
        responder = Responder(self, request.head, is_draining=lambda: self._server.draining)
        try:
            await self._server.handle(request, responder)
        finally:
            self.is_busy = False
        if not responder.keeps_connection:
            self.close()
            return
        self._arm(self._server.limits.idle_timeout_s)

    async def _next_request(self) -> Request | ReadFailure:
        while not self._requests:
            self._wakeup = self._loop.create_future()
            await self._wakeup
        return self._requests.popleft()

    def _answer_failure(self, failure: ReadFailure) -> None:
        self._server.on_read_failure(failure)
        if failure.silent:
            self.close()
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.write(encode_response_head(failure.status, headers))
        self.close()

    def _fail(self, failure: ReadFailure) -> None:
        if self._stopped_reading:
            return
        self._stopped_reading = True
        self._requests.append(failure)
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def _arm(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        if self._lingering:
            self._transport.abort()
        elif self.is_busy:
            return
        elif self._reading:
            self._fail(ReadFailure(HTTPStatus.REQUEST_TIMEOUT, "request not read in time"))
        else:
            self._fail(ReadFailure(HTTPStatus.REQUEST_TIMEOUT, "idle", silent=True))
