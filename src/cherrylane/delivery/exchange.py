"""One request to an upstream and its response, on a connection of their own."""

from collections import Counter
from collections.abc import Iterator, Mapping
from http import HTTPStatus
from http.client import HTTPException, parse_headers
from http.client import HTTPResponse as ClientResponse
from json import loads
from select import POLLIN, POLLRDHUP, poll
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from threading import Lock
from time import monotonic
from typing import Any

from attrs import evolve, frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from cherrylane.delivery.bodies import BodyDecoder, DetachedBody, find_head_problem
from cherrylane.delivery.responses import JSON_TYPE
from cherrylane.errors import (
    DECODING_ERRORS,
    CallerDisconnectedError,
    TruncatedResponseError,
    UpstreamError,
)
from cherrylane.fields import show
from cherrylane.http.deadlines import DEADLINES
from cherrylane.http.framing import FramingMeter
from cherrylane.membership.runners import Runner
from cherrylane.settings.schema import UpstreamSettings

MILLISECONDS_PER_SECOND = 1000
READ_BYTES = 64 * 1024
CLOSE_DELIMITED = "Connection: close"
# Bytes of a response's head with the interim ones before it.
MAX_HEADS_BYTES = 1024 * 1024
# Bytes of chunk sizes, extensions and trailers that are tolerated in a body in any case.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FULL_BODY_BYTES = 64 * 1024 * 1024
HTTP_FAILURES = (HTTPError, HTTPException, OSError)


@frozen
class UpstreamRequest:
    """An HTTP request to an upstream."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class _HeadReader:
    """Reads heads of responses, and keeps their lines; an end within a line is an error.

    ``http.client`` takes the end of the connection for the empty line that ends the headers, so
    that a head that breaks off would look like a complete response without a body.
    """

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._left = MAX_HEADS_BYTES
        self.lines: list[bytes] = []

    def readline(self, size: int = -1) -> bytes:
        """Read a line; raises ``HTTPException`` if it breaks off, or the heads are too large."""
        line: bytes = self._reader.readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise HTTPException("the connection was closed within a head")
        self._left -= len(line)
        if self._left < 0:
            raise HTTPException(f"heads of more than {MAX_HEADS_BYTES} bytes")
        self.lines.append(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class _CheckedResponse(ClientResponse):
    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fp: Any = _HeadReader(self.fp)

    def begin(self) -> None:
        """Read the head; raises ``HTTPException`` if it is malformed or ambiguous."""
        super().begin()
        problem = find_head_problem(b"".join(self.fp.lines))
        if problem:
            raise HTTPException(problem)

    def _read_status(self) -> tuple[str, int, str]:
        """Return the final status; ``http.client`` skips only interim responses with status 100."""
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            if status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise HTTPException("an upgrade that was not asked for")
            if status == HTTPStatus.CONTINUE or status >= HTTPStatus.OK:
                return version, status, reason
            parse_headers(self.fp)


class _UpstreamConnection(HTTPConnection):
    response_class = _CheckedResponse


class UpstreamClient:
    """Opens a new connection for each attempt, up to a limit of open connections per runner.

    A connection carries one request and its response. So a late or misplaced response to an
    earlier request cannot be taken for the response to a later one, and no request is sent on a
    kept-alive connection that has died unnoticed.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self._open_connections: Counter[str] = Counter()
        self._lock = Lock()

    def open(
        self, runner: Runner, request: UpstreamRequest, *, caller: socket | None = None
    ) -> "Exchange":
        """Send ``request`` to ``runner`` and return once the response head was received.

        Raises :class:`UpstreamError`, whose ``sent`` says whether any byte may have left this
        host, and :class:`CallerDisconnectedError` when ``caller`` closes its connection first.
        """
        self._reserve(runner)
        connection = _UpstreamConnection(
            runner.address,
            runner.port,
            timeout=self.settings.connect_timeout_s,
            blocksize=READ_BYTES,
        )
        try:
            self._connect(runner, connection)
            self._send(runner, connection, request)
            self._wait_for_response(runner, connection, caller)
            raw_socket = connection.sock
            response = self._read_head(runner, connection)
        except BaseException:
            self.close(runner, connection)
            raise
        return Exchange(self, runner, connection, response, raw_socket)

    def close(self, runner: Runner, connection: HTTPConnection) -> None:
        """Close a connection; the upstream cancels the request if it is still running."""
        connection.close()
        with self._lock:
            self._open_connections[runner.endpoint] -= 1
            if not self._open_connections[runner.endpoint]:
                del self._open_connections[runner.endpoint]

    def _reserve(self, runner: Runner) -> None:
        with self._lock:
            if self._open_connections[runner.endpoint] < self.settings.max_connections:
                self._open_connections[runner.endpoint] += 1
                return
        raise UpstreamError(
            f"all {self.settings.max_connections} connections to upstream {runner.name} are in use",
            remedy="try another upstream or raise upstreams.max_connections",
            sent=False,
        )

    def _connect(self, runner: Runner, connection: HTTPConnection) -> None:
        try:
            connection.connect()
        except HTTP_FAILURES as error:
            raise UpstreamError(
                f"cannot connect to upstream {runner.name} at {runner.endpoint} "
                f"({_describe(error)})",
                remedy="try another upstream",
                sent=False,
            ) from error

    def _send(self, runner: Runner, connection: HTTPConnection, request: UpstreamRequest) -> None:
        try:
            # urllib3 sets it for the socket again with each request and each response.
            connection.timeout = self.settings.silence_timeout_s
            connection.request(
                request.method,
                request.path,
                body=request.body,
                headers={**request.headers, "Connection": "close"},
                preload_content=False,
                decode_content=False,
            )
        except HTTP_FAILURES as error:
            raise UpstreamError(
                f"sending the request to upstream {runner.name} failed ({_describe(error)})",
                remedy="try another upstream if the request may run twice",
                sent=True,
            ) from error

    def _wait_for_response(
        self, runner: Runner, connection: HTTPConnection, caller: socket | None
    ) -> None:
        poller = poll()
        poller.register(connection.sock.fileno(), POLLIN)
        if caller is not None:
            poller.register(caller.fileno(), POLLRDHUP)
        deadline = monotonic() + self.settings.first_byte_timeout_s
        while True:
            time_left_s = max(0.0, deadline - monotonic())
            descriptors = {found for found, _ in poller.poll(time_left_s * MILLISECONDS_PER_SECOND)}
            if not descriptors:
                raise UpstreamError(
                    f"upstream {runner.name} sent no response "
                    f"within {self.settings.first_byte_timeout_s:g} s",
                    remedy="try another upstream if the request may run twice",
                    sent=True,
                )
            has_caller_event = caller is not None and caller.fileno() in descriptors
            if caller is not None and has_caller_event and is_disconnected(caller):
                raise CallerDisconnectedError(
                    "the caller closed its connection", remedy="no action is needed"
                )
            if connection.sock.fileno() in descriptors:
                return
            # The caller has ended its sending side behind more requests; it may read the response.
            assert caller is not None
            poller.unregister(caller.fileno())

    def _read_head(self, runner: Runner, connection: HTTPConnection) -> HTTPResponse:
        what = f"head of a response of upstream {runner.name}"
        try:
            with DEADLINES.limit(connection.sock, self.settings.head_timeout_s, what):
                return connection.getresponse()
        except HTTP_FAILURES as error:
            raise UpstreamError(
                f"upstream {runner.name} sent no valid response ({_describe(error)})",
                remedy="try another upstream if the request may run twice",
                sent=True,
            ) from error


class Exchange:
    """A started response; read its body with :meth:`chunks` or :meth:`read_full_body`."""

    def __init__(
        self,
        client: UpstreamClient,
        runner: Runner,
        connection: HTTPConnection,
        response: HTTPResponse,
        raw_socket: socket,
    ) -> None:
        self._raw_socket = raw_socket
        self._client = client
        self._connection: HTTPConnection | None = connection
        self._response = response
        self.runner = runner
        # urllib3 gives 0 for what has no body, such as the response to HEAD.
        self._ends_with_connection = (
            response.length_remaining is None and "Transfer-Encoding" not in response.headers
        )
        self.status = response.status
        self.headers = response.headers

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it is received.

        Raises :class:`TruncatedResponseError` if it ends early.
        """
        meter = FramingMeter(MAX_FRAMING_BYTES)
        try:
            for chunk in self._decode_body(meter):
                meter.data += len(chunk)
                yield chunk
        except HTTP_FAILURES as error:
            raise self._make_truncated_error(meter.data, _describe(error)) from error
        self.close()

    def _decode_body(self, meter: FramingMeter) -> Iterator[bytes]:
        # urllib3 gives 0 for what has no body, such as the response to HEAD.
        if self._response.length_remaining == 0:
            return
        body = self._describe_body(self._raw_socket, self._peek())
        decoder = BodyDecoder(body)
        data = body.leftover or self._raw_socket.recv(READ_BYTES)
        while data:
            meter.received += len(data)
            if chunk := decoder.decode(data):
                yield chunk
            if decoder.complete:
                return
            if decoder.broken or meter.is_excessive:
                raise HTTPException("invalid HTTP framing")
            data = self._raw_socket.recv(READ_BYTES)
        if not decoder.close_delimited:
            raise HTTPException("the connection was closed")

    def read_full_body(self) -> bytes:
        """Return the whole body.

        Raises :class:`TruncatedResponseError` if it ends early, takes longer than the settings'
        ``body_timeout_s`` or exceeds ``MAX_FULL_BODY_BYTES``. JSON that ends with its connection
        has ended early if it is no whole document.
        """
        what = f"body of a response of upstream {self.runner.name}"
        timeout_s = self._client.settings.body_timeout_s
        with DEADLINES.limit(self._raw_socket, timeout_s, what) as limit:
            body = self._read_all()
        if limit.is_over:
            raise self._make_truncated_error(len(body), f"not complete within {timeout_s:g} s")
        if self._is_json_ended_by_close and not _is_json(body):
            raise self._make_truncated_error(len(body), "no whole JSON document")
        return body

    @property
    def _is_json_ended_by_close(self) -> bool:
        """Whether only the content can tell a whole body from one that broke off."""
        headers = self.headers
        return (
            self._ends_with_connection
            and "Content-Encoding" not in headers
            and headers.get("Content-Type", "").partition(";")[0].strip().lower() == JSON_TYPE
        )

    def _read_all(self) -> bytes:
        body = bytearray()
        for chunk in self.chunks():
            body += chunk
            if len(body) > MAX_FULL_BODY_BYTES:
                raise self._make_truncated_error(
                    len(body), f"longer than the maximum of {MAX_FULL_BODY_BYTES} bytes"
                )
        return bytes(body)

    def detach(self) -> DetachedBody:
        """Return a non-blocking socket from which the rest of the body can be read.

        Whoever takes the socket closes it; closing the exchange does not.
        """
        # Otherwise peek() would wait for the first byte of the body.
        self._raw_socket.setblocking(False)
        connection = self._raw_socket.dup()
        try:
            return self._describe_body(connection, self._peek())
        except OSError as error:
            return evolve(self._describe_body(connection, b""), failure=_describe(error))

    def _peek(self) -> bytes:
        """Return what has been read of the body; if that is nothing, what can be read now."""
        # urllib3 has no public access to the bytes that its buffered reader has read ahead.
        leftover: bytes = self._response._fp.fp.peek()  # type: ignore[union-attr]
        return leftover

    def _describe_body(self, connection: socket, leftover: bytes) -> DetachedBody:
        """Return the rest of the body, to be read from ``connection`` behind ``leftover``."""
        length = self.headers.get("Content-Length")
        if length is not None:
            framing = f"Content-Length: {length}"
        elif self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            framing = "Transfer-Encoding: chunked"
        else:
            framing = CLOSE_DELIMITED
        head = f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode()
        return DetachedBody(connection, head, leftover, close_delimited=framing == CLOSE_DELIMITED)

    def close(self) -> None:
        """Discard the rest of the response; the upstream cancels when it sees the close."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._response.close()
            self._client.close(self.runner, connection)

    def _make_truncated_error(self, received: int, reason: str) -> TruncatedResponseError:
        return TruncatedResponseError(
            f"response of upstream {self.runner.name} incomplete after {received} bytes ({reason})",
            remedy="send the request again if it may run twice",
            sent=True,
        )


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {show(str(error))}"


def _is_json(body: bytes) -> bool:
    try:
        loads(body)
    except DECODING_ERRORS:
        return False
    return True


def is_disconnected(caller: socket) -> bool:
    """Return whether the other end of ``caller`` has closed the connection."""
    try:
        return caller.recv(1, MSG_PEEK | MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
