"""One request to an upstream and its answer, on a connection of its own."""

from collections import Counter
from collections.abc import Iterator, Mapping
from http.client import HTTPException
from select import POLLIN, POLLRDHUP, poll
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from threading import Lock

from attrs import frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from cherrylane.errors import CallerDisconnectedError, TruncatedResponseError, UpstreamError
from cherrylane.membership.runners import Runner
from cherrylane.settings.schema import UpstreamSettings

MILLISECONDS_PER_SECOND = 1000
READ_BYTES = 64 * 1024
ENDS_AT_CLOSE = "Connection: close"
MAX_WHOLE_ANSWER_BYTES = 64 * 1024 * 1024
FAILURES = (HTTPError, HTTPException, OSError)


@frozen
class UpstreamRequest:
    """What is sent to an upstream."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class UpstreamClient:
    """Opens a new connection for each attempt, a bounded number of them to each runner at once.

    A connection carries one request and its answer, so a late or crossed answer to an earlier
    request can't be taken for the answer to a later one, and no request rides on a connection
    that went silent while it was kept.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self._open_connections: Counter[str] = Counter()
        self._lock = Lock()

    def open(
        self, runner: Runner, request: UpstreamRequest, *, caller: socket | None = None
    ) -> "Exchange":
        """Send ``request`` to ``runner`` and return once its answer has begun.

        Raises :class:`UpstreamError`, whose ``sent`` says whether any byte may have left, and
        :class:`CallerDisconnectedError` when ``caller`` closes first.
        """
        self._reserve(runner)
        connection = HTTPConnection(
            runner.address,
            runner.port,
            timeout=self.settings.connect_timeout_s,
            blocksize=READ_BYTES,
        )
        try:
            self._connect(runner, connection)
            self._send(runner, connection, request)
            self._wait(runner, connection, caller)
            bare = connection.sock
            response = self._begin(runner, connection)
        except BaseException:
            self.close(runner, connection)
            raise
        return Exchange(self, runner, connection, response, bare)

    def close(self, runner: Runner, connection: HTTPConnection) -> None:
        """Close a connection, which cancels what the upstream still does for it."""
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
            f"{self.settings.max_connections} connections to upstream {runner.name} are open",
            remedy="try another upstream or raise upstreams.max_connections",
            sent=False,
        )

    def _connect(self, runner: Runner, connection: HTTPConnection) -> None:
        try:
            connection.connect()
        except FAILURES as error:
            raise UpstreamError(
                f"cannot connect to upstream {runner.name} ({type(error).__name__})",
                remedy="try another upstream",
                sent=False,
            ) from error

    def _send(self, runner: Runner, connection: HTTPConnection, request: UpstreamRequest) -> None:
        try:
            connection.sock.settimeout(self.settings.silence_timeout_s)
            connection.request(
                request.method,
                request.path,
                body=request.body,
                headers={**request.headers, "Connection": "close"},
                preload_content=False,
                decode_content=False,
            )
        except FAILURES as error:
            raise UpstreamError(
                f"the request to upstream {runner.name} broke off ({type(error).__name__})",
                remedy="try another upstream if the request may run twice",
                sent=True,
            ) from error

    def _wait(self, runner: Runner, connection: HTTPConnection, caller: socket | None) -> None:
        waiting = poll()
        waiting.register(connection.sock.fileno(), POLLIN)
        if caller is not None:
            waiting.register(caller.fileno(), POLLRDHUP)
        ready = waiting.poll(self.settings.first_byte_timeout_s * MILLISECONDS_PER_SECOND)
        if not ready:
            raise UpstreamError(
                f"upstream {runner.name} did not begin its answer in time",
                remedy="try another upstream if the request may run twice",
                sent=True,
            )
        descriptors = {descriptor for descriptor, _ in ready}
        if caller is not None and caller.fileno() in descriptors and is_gone(caller):
            raise CallerDisconnectedError(
                "the caller has closed its connection", remedy="nothing to do"
            )

    def _begin(self, runner: Runner, connection: HTTPConnection) -> HTTPResponse:
        try:
            return connection.getresponse()
        except FAILURES as error:
            raise UpstreamError(
                f"upstream {runner.name} gave no answer ({type(error).__name__})",
                remedy="try another upstream if the request may run twice",
                sent=True,
            ) from error


@frozen
class DetachedBody:
    """The rest of an answer, on its bare connection.

    ``head`` frames it as the upstream did, ``leftover`` are bytes of it that were read already.
    A body without framing ``ends_at_close`` of the connection.
    """

    connection: socket
    head: bytes
    leftover: bytes
    ends_at_close: bool = False


class Exchange:
    """An answer that has begun; read it with :meth:`chunks` or :meth:`read_whole`."""

    def __init__(
        self,
        client: UpstreamClient,
        runner: Runner,
        connection: HTTPConnection,
        response: HTTPResponse,
        bare: socket,
    ) -> None:
        self._bare = bare
        self._client = client
        self._connection: HTTPConnection | None = connection
        self._response = response
        self.runner = runner
        self.status = response.status
        self.headers = response.headers

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes; raises :class:`TruncatedResponseError` if it isn't whole."""
        expected = self._response.length_remaining
        received = 0
        try:
            while chunk := self._response.read1():
                received += len(chunk)
                yield chunk
        except FAILURES as error:
            raise self._truncated(received, type(error).__name__) from error
        if expected is not None and received != expected:
            raise self._truncated(received, f"{expected} bytes were promised")
        self.close()

    def read_whole(self) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        size = 0
        for chunk in self.chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_WHOLE_ANSWER_BYTES:
                raise self._truncated(size, "the answer is too long to be taken whole")
        return b"".join(parts)

    def detach(self) -> DetachedBody:
        """Return the connection itself, to read the rest of the body without blocking.

        Closing the exchange no longer closes it; whoever took it does.
        """
        own = self._bare.dup()
        own.setblocking(False)
        # urllib3 has no public way to what its buffered reader has read ahead.
        leftover: bytes = self._response._fp.fp.peek()  # type: ignore[union-attr]
        length = self.headers.get("Content-Length")
        if length is not None:
            framing = f"Content-Length: {length}"
        elif self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            framing = "Transfer-Encoding: chunked"
        else:
            framing = ENDS_AT_CLOSE
        head = f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode()
        return DetachedBody(own, head, leftover, ends_at_close=framing == ENDS_AT_CLOSE)

    def close(self) -> None:
        """Give up the rest of the answer; the upstream sees the connection close and cancels."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._client.close(self.runner, connection)

    def _truncated(self, received: int, reason: str) -> TruncatedResponseError:
        return TruncatedResponseError(
            f"the answer of upstream {self.runner.name} ended after {received} bytes ({reason})",
            remedy="send the request again if it may run twice",
            sent=True,
        )


def is_gone(caller: socket) -> bool:
    """Say whether the other end of ``caller`` has closed the connection."""
    try:
        return caller.recv(1, MSG_PEEK | MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
