"""Incremental reading of the requests on one connection, within their limits of size and time."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from cherrylane.http.framing import (
    FramingMeter,
    ReadFailure,
    find_framing_problem,
    measure_field,
)
from cherrylane.http.limits import InboundLimits
from cherrylane.http.memory import Held, HeldMemory, MemoryAccount
from cherrylane.http.messages import Header, Request, RequestHead
from cherrylane.limits.memory_pressure import Reader

# Requests that may be queued behind the one being handled; RFC 9112 lets a server limit pipelining.
MAX_PIPELINED = 16
# Bytes that the objects of a header field take beside its text.
FIELD_BYTES = 140
# Retry-After, in seconds, while the bodies of other requests hold the memory.
RETRY_NO_MEMORY_S = 0.5


class RequestReader:
    """Reads whole requests from the bytes of a connection, and queues them in ``requests``.

    What cannot be read is queued as a :class:`ReadFailure`, and nothing is read after it.
    ``on_queued`` is called when something was queued, ``on_due`` with the seconds in which more of
    a request has to arrive, and ``on_continue`` when the caller waits for leave to send a body.
    """

    def __init__(
        self,
        get_limits: Callable[[], InboundLimits],
        memory: MemoryAccount,
        on_queued: Callable[[], None],
        on_due: Callable[[float], None],
        on_continue: Callable[[], None],
    ) -> None:
        self._get_limits = get_limits
        self._memory = memory
        self._caller: Reader | None = None
        self._held = memory.open(kind=Held.REQUEST)
        self._on_queued = on_queued
        self._on_due = on_due
        self._on_continue = on_continue
        self._parser = HttpRequestParser(self)
        self._target = b""
        self._headers: list[Header] = []
        self._head: RequestHead | None = None
        # The size of the target and the header fields as they were sent, and what they take here.
        self._fields_bytes = 0
        self._fields_memory = 0
        self._body = bytearray()
        self._head_bytes = 0
        self._body_started_at = 0.0
        # Set while a body is read.
        self._meter: FramingMeter | None = None
        self.requests: deque[Request | ReadFailure] = deque()
        self.is_reading = False
        self.is_stopped = False
        # Whether the caller waits for leave to send the body of the request being read.
        self.owes_continue = False

    def set_caller(self, caller: Reader) -> None:
        """Count what is read from now on as held for ``caller``."""
        self._caller = caller
        self._held = self._memory.open(caller, Held.REQUEST)

    def stop(self) -> None:
        """Ignore what arrives from now on."""
        self.is_stopped = True
        self._headers = []
        self._body = bytearray()
        self._held.release()

    def discard(self) -> None:
        """Drop what was read, since nobody waits for a response."""
        self.stop()
        while self.requests:
            match self.requests.popleft():
                case Request(held=HeldMemory() as held):
                    held.release()

    def feed(self, data: bytes) -> None:
        """Read the next bytes."""
        if self.is_stopped:
            return
        if not self.is_reading:
            self.is_reading = True
            self._head_bytes = 0
            self._on_due(self._get_limits().read_timeout_s)
        if self._head is None:
            self._head_bytes += len(data)
        elif self._meter is not None:
            self._meter.received += len(data)
        try:
            self._parse(data)
        except HttpParserError as error:
            self.fail(ReadFailure(HTTPStatus.BAD_REQUEST, str(error)))
        self._count_head()
        if self._head is None and self._head_bytes > self._get_limits().max_header_bytes:
            self._fail_large_head()
        if self._meter is not None and self._meter.is_excessive:
            self.fail(ReadFailure(HTTPStatus.BAD_REQUEST, "more framing than data in the body"))

    def _parse(self, data: bytes) -> None:
        while not self.is_stopped:
            try:
                self._parser.feed_data(data)
                return
            except HttpParserUpgrade as upgrade:
                data = self._restart_without_upgrade() + data[upgrade.args[0] :]

    def _restart_without_upgrade(self) -> bytes:
        """Return the head that was read without its Upgrade, and start a new parser for it.

        A server may ignore an Upgrade; the parser takes all that follows for another protocol.
        """
        version = self._parser.get_http_version().encode()
        lines = [self._parser.get_method() + b" " + self._target + b" HTTP/" + version]
        lines += [
            name + b": " + value for name, value in self._headers if name.lower() != b"upgrade"
        ]
        self._parser = HttpRequestParser(self)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_message_begin(self) -> None:
        # Also if it begins behind another request in the same bytes.
        self.is_reading = True
        self._target = b""
        self._headers = []
        self._fields_bytes = self._fields_memory = 0
        self._head = None
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._fields_bytes += len(url)
        self._fields_memory += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head is not None or self.is_stopped:
            return  # Trailers are not passed on.
        size = measure_field(name, value)
        self._fields_bytes += size
        self._fields_memory += size + FIELD_BYTES
        if self._fields_bytes > self._get_limits().max_header_bytes:
            self._fail_large_head()
            return
        self._headers.append((name, value))

    def _count_head(self) -> None:
        """Count a head that has not arrived completely; a whole one is counted at its end."""
        if self._head is None and self.is_reading and not self.is_stopped:
            if not self._held.grow(self._fields_memory - self._held.size):
                self._fail_without_memory()

    def on_headers_complete(self) -> None:
        if self._parser.should_upgrade() and self._parser.get_method() != b"CONNECT":
            return
        head = RequestHead(
            headers=tuple(self._headers),
            method=self._parser.get_method(),
            target=self._target,
            keep_alive=self._parser.should_keep_alive(),
            http_1_0=self._parser.get_http_version() == "1.0",
        )
        self._head = head
        self._meter = FramingMeter(self._get_limits().max_header_bytes)
        self._body_started_at = monotonic()
        problem = find_framing_problem(head)
        if problem:
            self.fail(ReadFailure(HTTPStatus.BAD_REQUEST, problem))
            return
        limits = self._get_limits()
        self._held.resize(self._fields_memory)
        length = int(head.find(b"content-length") or 0)
        if length > limits.max_body_bytes:
            self.fail(ReadFailure(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "request body too large"))
        elif not self._held.grow(length):
            self._fail_without_memory()
        elif head.find_text(b"expect").lower() == "100-continue":
            self.owes_continue = True
            self._on_continue()

    def on_body(self, data: bytes) -> None:
        if self.is_stopped:
            return
        self._body += data
        size = len(self._body)
        # A body with a length holds all of it from its head on.
        if self._fields_memory + size > self._held.size and not self._held.grow(len(data)):
            self._fail_without_memory()
            return
        if self._meter is not None:
            self._meter.data += len(data)
        limits = self._get_limits()
        time_left_s = self._body_started_at + limits.body_timeout_s - monotonic()
        self._on_due(max(0.0, min(limits.read_timeout_s, time_left_s)))
        if size > limits.max_body_bytes:
            self.fail(ReadFailure(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "request body too large"))

    def on_message_complete(self) -> None:
        if self.is_stopped or self._head is None:
            return
        self.is_reading = False
        self._head_bytes = 0
        if self.requests and self._memory.pressure.is_full:
            self._fail_without_memory()
            return
        if len(self.requests) >= MAX_PIPELINED:
            self.fail(
                ReadFailure(HTTPStatus.BAD_REQUEST, f"more than {MAX_PIPELINED} pipelined requests")
            )
            return
        self.requests.append(Request(self._head, bytes(self._body), self._held))
        self._held = self._memory.open(self._caller, Held.REQUEST)
        self._headers = []
        self._body = bytearray()
        self._head = None
        self._meter = None
        self.owes_continue = False
        self._on_queued()

    def _fail_large_head(self) -> None:
        self.fail(ReadFailure(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request head too large"))

    def _fail_without_memory(self) -> None:
        self.fail(
            ReadFailure(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no memory for the request",
                retry_after_s=RETRY_NO_MEMORY_S,
            )
        )

    def fail(self, failure: ReadFailure) -> None:
        """Queue a failure and read nothing more."""
        if self.is_stopped:
            return
        self.stop()
        self.requests.append(failure)
        self._on_queued()
