"""Connections to upstreams and to the platform: requests out, answers in.

An answer that arrives while none is awaited, or goes on past its end, belongs to no request; the
connection is then closed and never used again.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL

from attrs import define, field, frozen
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from cherrylane.errors import ConnectError, IncompleteResponseError
from cherrylane.http.messages import Header, ResponseHead
from cherrylane.settings.schema import Endpoint

# Seconds and probes after which the kernel gives up a connection whose other end is silent.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes of answer that may wait for a reader before the connection is no longer read.
READ_BUFFER_BYTES = 256 * 1024
BODILESS = frozenset({204, 304})


@frozen
class _End:
    """Marks the end of an answer in the queue of its parts."""


_END = _End()


class OutboundConnection(asyncio.Protocol):
    """One connection, on which one request at a time is in work."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parser = HttpResponseParser(self)
        self._parts: deque[ResponseHead | bytes | _End] = deque()
        self._queued_bytes = 0
        self._wakeup: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport
        self._headers: list[Header] = []
        self._until_eof = False
        self._in_body = False
        self._broken = ""
        self._paused = False
        self._awaiting = False
        self.exchanges = 0
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.can_be_kept = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)

    def data_received(self, data: bytes) -> None:
        if not self._awaiting:
            self._break("bytes that belong to no request")
            return
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._break("an upgrade that was not asked for")
        except HttpParserError as error:
            self._break(f"malformed answer: {error}")
        if self._queued_bytes > READ_BUFFER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        if self._in_body and self._until_eof:
            self.on_message_complete()
        self._break("the connection was closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._break(str(exc) if exc else "the connection was closed")

    def on_message_begin(self) -> None:
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        names = {name.lower(): value for name, value in self._headers}
        status = self._parser.get_status_code()
        has_length = (
            b"content-length" in names
            or b"chunked" in names.get(b"transfer-encoding", b"").lower()
            or status in BODILESS
            or status < 200
        )
        self._until_eof = not has_length
        self._in_body = True
        keep_alive = self._parser.should_keep_alive() and has_length
        self._queue(ResponseHead(tuple(self._headers), status, keep_alive, has_length))

    def on_body(self, data: bytes) -> None:
        self._queued_bytes += len(data)
        self._queue(data)

    def on_message_complete(self) -> None:
        self._in_body = False
        self._queue(_END)

    def send(self, data: bytes) -> None:
        """Send a request; the answers that follow are read by the other methods."""
        if self._broken:
            raise IncompleteResponseError(self._broken, remedy="use another connection", sent=False)
        self._awaiting = True
        self.exchanges += 1
        self._transport.write(data)

    @property
    def is_flushed(self) -> bool:
        """Whether everything that was sent has left this process."""
        return self._transport.get_write_buffer_size() == 0

    async def read_head(self) -> ResponseHead:
        """Return the next answer's head; raises :class:`IncompleteResponseError` if none comes."""
        while True:
            match await self._next_part():
                case ResponseHead() as head:
                    return head
                case _:
                    continue

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end."""
        match await self._next_part():
            case bytes() as data:
                return data
            case ResponseHead():
                raise IncompleteResponseError("a second head", remedy="use another one", sent=True)
            case _:
                return None

    async def read_body(self) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        while (part := await self.read_part()) is not None:
            parts.append(part)
        return b"".join(parts)

    def release(self, head: ResponseHead) -> bool:
        """End an exchange; says whether the connection may serve another one."""
        surplus = bool(self._parts)
        if (
            surplus
            or self._broken
            or not (head.keep_alive and self.can_be_kept and self.is_flushed)
        ):
            self.close()
            return False
        self._awaiting = False
        self.idle_since = self._loop.time()
        self.keep_alive_s = _read_keep_alive(head)
        return True

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to, as far as is known."""
        return not self._broken and not self._transport.is_closing()

    def close(self) -> None:
        """Close at once; an answer in work is given up."""
        self._break("closed here")
        self._transport.abort()

    async def _next_part(self) -> ResponseHead | bytes | _End:
        while not self._parts:
            if self._broken:
                raise IncompleteResponseError(
                    self._broken, remedy="use another connection", sent=True
                )
            self._wakeup = self._loop.create_future()
            await self._wakeup
        part = self._parts.popleft()
        if isinstance(part, bytes):
            self._queued_bytes -= len(part)
            if self._paused and self._queued_bytes <= READ_BUFFER_BYTES // 2:
                self._paused = False
                self._transport.resume_reading()
        return part

    def _queue(self, part: ResponseHead | bytes | _End) -> None:
        self._parts.append(part)
        self._wake()

    def _break(self, reason: str) -> None:
        if not self._broken:
            self._broken = reason
            self._transport.close()
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


async def open_connection(endpoint: Endpoint, timeout_s: float) -> OutboundConnection:
    """Connect; raises :class:`ConnectError`, after which nothing was sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                OutboundConnection, endpoint.address, endpoint.port
            )
    except (OSError, TimeoutError) as error:
        reason = "no answer" if isinstance(error, TimeoutError) else str(error)
        raise ConnectError(
            f"cannot connect to {endpoint} ({reason})", remedy="try another upstream", sent=False
        ) from error
    return connection


@define
class ConnectionPool:
    """Idle connections by the name of their upstream.

    A connection is taken again only within ``max_idle_s`` and half of the time that the upstream
    announced, so that it is not closed from the other side just then. ``find_most_idle`` returns
    how many may be kept to an upstream; without it there is no bound.
    """

    max_idle_s: float
    connect_timeout_s: float
    find_most_idle: Callable[[str], int] | None = None
    opened: int = 0
    _idle: dict[str, list[OutboundConnection]] = field(factory=dict)

    def take_idle(self, name: str) -> OutboundConnection | None:
        """Return a connection that was used just before, or None."""
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(name, [])
        while connections:
            connection = connections.pop()
            limit_s = min(self.max_idle_s, (connection.keep_alive_s or self.max_idle_s * 2) / 2)
            if connection.is_open and now - connection.idle_since <= limit_s:
                return connection
            connection.close()
        return None

    async def open(self, endpoint: Endpoint) -> OutboundConnection:
        """Open a new connection."""
        self.opened += 1
        return await open_connection(endpoint, self.connect_timeout_s)

    def put(self, name: str, connection: OutboundConnection) -> None:
        """Keep a released connection for the next exchange, in place of the oldest ones."""
        connections = self._idle.setdefault(name, [])
        connections.append(connection)
        if self.find_most_idle is not None:
            while len(connections) > self.find_most_idle(name):
                connections.pop(0).close()

    def close_stale(self) -> None:
        """Close what has been idle for too long."""
        now = asyncio.get_running_loop().time()
        for name, connections in list(self._idle.items()):
            stale = [one for one in connections if now - one.idle_since > self.max_idle_s]
            for connection in stale:
                connection.close()
            kept = [one for one in connections if one.is_open]
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def forget(self, name: str) -> None:
        """Close the idle connections of an upstream that is gone."""
        for connection in self._idle.pop(name, []):
            connection.close()


def _read_keep_alive(head: ResponseHead) -> float | None:
    for parameter in head.find_text(b"keep-alive").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
