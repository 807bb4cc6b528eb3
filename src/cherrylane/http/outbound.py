"""Client side of HTTP/1.1: connections to upstreams and to the platform.

A response that arrives while none is awaited, or data past the end of one, belongs to no request;
the connection is then closed and not reused. Such data may be the begin of a response that was cut
off: the next response must not be read as its rest.
"""

import asyncio
import re
from select import POLLIN, poll
from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from cherrylane.errors import ConnectError, IncompleteResponseError
from cherrylane.fields import read_digits
from cherrylane.http.framing import FramingMeter, find_coding_problem
from cherrylane.http.limits import ResponseLimits
from cherrylane.http.memory import UNCOUNTED_BYTES, HeldMemory
from cherrylane.http.messages import BODILESS_STATUSES, Header, ResponseHead
from cherrylane.http.received_parts import END, Part, ReceivedParts
from cherrylane.limits.memory_pressure import SMALL_BYTES
from cherrylane.settings.schema import Endpoint

# TCP keep-alive: the seconds until the first probe and between probes, and the number of unanswered
# probes after which the kernel closes the connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes read at once of a response that is counted. With 256 KB, the default of asyncio, a few
# hundred connections would bring more in one turn of the loop than a small account holds.
COUNTED_READ_BYTES = 64 * 1024
# Seconds for which a body that has begun waits for memory. Upstreams cut off a response that stays
# unread for some seconds.
MEMORY_WAIT_S = 2.0
MEMORY_POLL_S = 0.1
DEFAULT_LIMITS = ResponseLimits()
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?: |$)")
# Exchanges after which a connection is not reused; bounds what it remembers of its requests.
MAX_EXCHANGES = 128
# Header fields of a response; as objects, short ones take many times their size.
MAX_HEADER_FIELDS = 500


class OutboundConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, limits: ResponseLimits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._head_bytes = 0
        self._meter: FramingMeter | None = None
        # Whether a head or a body has ended in the bytes received last.
        self._has_advanced = False
        self._loop = asyncio.get_running_loop()
        self._parser = HttpResponseParser(self)
        self._received = ReceivedParts()
        self._transport: asyncio.Transport
        self._file_number = -1
        self._headers: list[Header] = []
        self._reason_phrase = b""
        # Whether a status line may be inside the head that is read.
        self._may_be_merged = False
        # Whether the begin of a response was received, but not its end.
        self._in_message = False
        self._is_malformed = False
        self._until_eof = False
        self._in_body = False
        self._failure = ""
        self._paused = False
        self._awaiting_response = False
        # Hashes of the ids of its requests, which may be long.
        self._carried_ids: set[int] = set()
        self.exchanges = 0
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.is_reusable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        self._file_number = sock.fileno()
        sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)

    def data_received(self, data: bytes) -> None:
        if not self._awaiting_response:
            self._fail("bytes that belong to no request")
            return
        # Nearly all heads arrive in one piece, with one status line.
        self._may_be_merged = self._in_message or data.find(b"HTTP/", 1) > 0
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._fail("an upgrade that was not asked for")
        except HttpParserError as error:
            self._is_malformed = True
            self._fail(f"malformed answer: {error.__context__ or error}")
        self._check_size(len(data))
        if self._received.queued_bytes > UNCOUNTED_BYTES:
            self._count_received()

    def _count_received(self) -> None:
        self._received.count()
        if self._received.held is not None:
            self._received.held.account.check()
        self.update_reading()

    def update_reading(self) -> None:
        """Stop receiving while the queue is full, and go on when it has room."""
        if not self._paused and self._received.is_full:
            self._paused = True
            self._transport.pause_reading()
        elif self._paused and self._received.has_room:
            self._paused = False
            self._transport.resume_reading()

    def count_in(self, held: HeldMemory) -> None:
        """Count what is received for the next response, and sent for it, as ``held``."""
        self._received.held = held
        held.account.sources.add(self)
        self._transport.max_size = COUNTED_READ_BYTES  # type: ignore[attr-defined]

    def _end_counting(self) -> None:
        held = self._received.held
        if held is not None:
            self._received.held = None
            self._received.is_counted = False
            held.release()
            held.account.sources.discard(self)
            if not self._failure:
                self.update_reading()

    def _check_size(self, received: int) -> None:
        """Fail if the last ``received`` bytes exceed a limit; called after they are parsed."""
        if self._has_advanced:
            self._has_advanced = False
            self._head_bytes = 0
            self._meter = FramingMeter(self._limits.max_head_bytes) if self._in_body else None
        elif self._meter is not None:
            self._meter.received += received
            if self._meter.is_excessive:
                self._fail("more framing than data")
        else:
            self._head_bytes += received
            if self._head_bytes > self._limits.max_head_bytes:
                self._fail(f"more than {self._limits.max_head_bytes} bytes without a head")

    def eof_received(self) -> bool:
        if self._in_body and self._until_eof:
            self.on_message_complete()
        self._fail("the connection was closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(str(exc) if exc else "the connection was closed")

    def on_message_begin(self) -> None:
        self._headers = []
        self._reason_phrase = b""
        self._in_message = True

    def on_status(self, reason_phrase: bytes) -> None:
        self._reason_phrase += reason_phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            return  # Trailers are not passed on.
        if len(self._headers) >= MAX_HEADER_FIELDS:
            # An exception ends the parsing of what follows.
            raise ValueError(f"more than {MAX_HEADER_FIELDS} header fields")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._may_be_merged and self._has_status_line_inside():
            # An exception ends the parsing of what follows.
            raise ValueError("the head of an answer inside another one")
        names = {name.lower(): value for name, value in self._headers}
        status = self._parser.get_status_code()
        has_length = (
            b"content-length" in names
            or b"chunked" in names.get(b"transfer-encoding", b"").lower()
            or status in BODILESS_STATUSES
        )
        self._until_eof = not has_length
        if status < 200:
            # An interim response; it counts as part of the head that follows.
            return
        keep_alive = self._parser.should_keep_alive() and has_length
        head = ResponseHead(tuple(self._headers), status, keep_alive, has_length)
        if problem := find_coding_problem(head):
            self._fail(f"malformed answer: {problem}")
            # Ends the parsing; a further head in the same bytes is no answer to take instead.
            raise HttpParserError(problem)
        self._in_body = self._has_advanced = True
        self._received.put(head)

    def _has_status_line_inside(self) -> bool:
        values = (self._reason_phrase, *(value for _, value in self._headers))
        return any(STATUS_LINE.search(value) for value in values)

    def on_body(self, data: bytes) -> None:
        if self._meter is not None:
            self._meter.data += len(data)
        self._received.put(data)

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._in_body:
            self._in_body = False
            self._has_advanced = True
            self._received.put(END)

    def send(self, data: bytes, body: bytes = b"", *, request_id: str = "") -> None:
        """Send a request, and its ``body`` if that is not in ``data``.

        The connection is not reused for another request with the same ``request_id``.
        Raises :class:`IncompleteResponseError` if the connection has failed.
        """
        if self._failure:
            raise IncompleteResponseError(
                self._failure, remedy="use another connection", sent=False
            )
        self._awaiting_response = True
        self.exchanges += 1
        if request_id:
            self._carried_ids.add(hash(request_id))
        # A large body is not copied to be sent with its head.
        if len(body) > SMALL_BYTES:
            self._transport.write(data)
            self._transport.write(memoryview(body))
            if self._received.held is not None:
                # An upstream that reads slowly; counted until its response comes.
                self._received.held.hold(self._transport.get_write_buffer_size())
        else:
            self._transport.write(data + body)

    def has_carried(self, request_id: str) -> bool:
        """Whether a request with this id was sent, to which late answers may come."""
        return hash(request_id) in self._carried_ids

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has taken everything that was sent."""
        return self._transport.get_write_buffer_size() == 0

    async def read_head(self) -> ResponseHead:
        """Return the next response head, skipping interim ones.

        Raises :class:`IncompleteResponseError` if none comes.
        """
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
                raise IncompleteResponseError(
                    "a second head", remedy="use another connection", sent=True
                )
            case _:
                return None

    async def read_body(
        self, held: HeldMemory | None = None, max_bytes: int | None = None
    ) -> bytes:
        """Return the whole body, unless it is larger than ``max_bytes``, or than ``held`` may grow.

        The default of ``max_bytes`` is that of the connection's limits. What is held is released if
        it is not returned.
        """
        max_bytes = self._limits.max_body_bytes if max_bytes is None else max_bytes
        body = bytearray()
        try:
            while (part := await self.read_part()) is not None:
                if held is not None and not await self._grow(held, len(part)):
                    raise self._refuse_body(f"a body of {len(body)} bytes without memory for more")
                body += part
                if len(body) > max_bytes:
                    raise self._refuse_body(f"a body of more than {max_bytes} bytes")
        except BaseException:
            if held is not None:
                held.shrink(len(body))
            # The traceback keeps this frame, and may live for longer than the request.
            body.clear()
            raise
        return bytes(body)

    async def skip_body(self) -> None:
        """Read a body to its end without keeping it, unless it is larger than the limit."""
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > self._limits.max_body_bytes:
                raise self._refuse_body(f"a body of more than {self._limits.max_body_bytes} bytes")

    async def _grow(self, held: HeldMemory, count: int) -> bool:
        """Let ``held`` grow, if need be once others hold less; returns whether it has grown."""
        gives_up_at = self._loop.time() + MEMORY_WAIT_S
        while not held.grow(count):
            own = self._received.held.size if self._received.held is not None else 0
            if self._loop.time() >= gives_up_at or not held.may_wait(count, own):
                return False
            await asyncio.sleep(MEMORY_POLL_S)
        return True

    def _refuse_body(self, problem: str) -> IncompleteResponseError:
        self.close()
        return IncompleteResponseError(problem, remedy="check the server", sent=True)

    def release(self, head: ResponseHead) -> bool:
        """End an exchange; returns whether the connection can be used for another one."""
        if (
            self.has_surplus
            or self._failure
            or self.exchanges >= MAX_EXCHANGES
            or not (head.keep_alive and self.is_reusable and self.is_flushed)
        ):
            self.close()
            return False
        self._awaiting_response = False
        self._end_counting()
        self.idle_since = self._loop.time()
        self.keep_alive_s = _read_keep_alive(head)
        return True

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have come behind the end of the response that was read."""
        return bool(self._received.parts) or self._in_message or self._is_malformed

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to, as far as this process knows."""
        return not self._failure and not self._transport.is_closing()

    def has_unread_bytes(self) -> bool:
        """Whether bytes, or the end of the connection, have arrived and were not read yet.

        Those that come while this process stands still are only read after the next request is
        sent, as if they answered it.
        """
        poller = poll()
        poller.register(self._file_number, POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Close at once; a response that is being read is abandoned."""
        self._fail("closed here")
        self._received.clear()
        self._end_counting()
        self._transport.abort()

    async def _next_part(self) -> Part:
        while not self._received.parts:
            if self._failure:
                raise IncompleteResponseError(
                    self._failure, remedy="use another connection", sent=True
                )
            await self._received.wait()
        part = self._received.take()
        if self._paused:
            self.update_reading()
        return part

    def _fail(self, reason: str) -> None:
        if not self._failure:
            self._failure = reason
            self._transport.close()
        self._received.notify()


async def open_connection(
    endpoint: Endpoint, timeout_s: float, limits: ResponseLimits = DEFAULT_LIMITS
) -> OutboundConnection:
    """Open a connection; raises :class:`ConnectError` if that fails, with nothing sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: OutboundConnection(limits), endpoint.address, endpoint.port
            )
    except (OSError, TimeoutError) as error:
        reason = (
            f"timed out after {timeout_s:g} s" if isinstance(error, TimeoutError) else str(error)
        )
        raise ConnectError(
            f"cannot connect to {endpoint} ({reason})",
            remedy="try another upstream",
            was_refused=isinstance(error, ConnectionRefusedError),
        ) from error
    return connection


def _read_keep_alive(head: ResponseHead) -> float | None:
    for parameter in head.find_text(b"keep-alive").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            try:
                return float(read_digits(value))
            except ValueError:
                return None
    return None
