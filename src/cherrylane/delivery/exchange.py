"""One request to an upstream and its answer, over bounded pools of connections."""

from collections.abc import Iterator, Mapping
from select import POLLIN, POLLRDHUP, poll
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from threading import Lock
from time import monotonic

from attrs import define, field, frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.response import HTTPResponse

from cherrylane.errors import CallerGoneError, TruncatedAnswerError, UpstreamError
from cherrylane.membership.runners import Runner
from cherrylane.settings.schema import UpstreamSettings

MILLISECONDS_PER_SECOND = 1000
MAX_WHOLE_ANSWER_BYTES = 64 * 1024 * 1024


@frozen
class UpstreamRequest:
    """What is sent to an upstream."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@define
class _IdleConnection:
    connection: HTTPConnection
    since: float


@define
class _RunnerPool:
    """The connections to one runner: how many are out, and which lie idle."""

    in_use: int = 0
    idle: list[_IdleConnection] = field(factory=list)


class UpstreamPool:
    """Keeps a bounded number of connections to each runner."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self._pools: dict[str, _RunnerPool] = {}
        self._lock = Lock()

    def open(
        self,
        runner: Runner,
        request: UpstreamRequest,
        *,
        fresh: bool = False,
        caller: socket | None = None,
    ) -> "Exchange":
        """Send ``request`` to ``runner`` and return once its answer has begun.

        A ``fresh`` exchange opens a new connection, which proves that the upstream is there.
        Raises :class:`UpstreamError`, whose ``sent`` says whether any byte may have left, and
        :class:`CallerGoneError` when ``caller`` closes first.
        """
        connection = self._take(runner, fresh=fresh)
        try:
            self._connect(runner, connection)
            self._send(runner, connection, request)
            self._wait(runner, connection, caller)
            response = self._begin(runner, connection, request)
        except BaseException:
            self.discard(runner, connection)
            raise
        return Exchange(self, runner, connection, response)

    def give_back(self, runner: Runner, connection: HTTPConnection) -> None:
        """Take back a connection whose answer was read to its end."""
        with self._lock:
            pool = self._pools[runner.endpoint]
            pool.in_use -= 1
            pool.idle.append(_IdleConnection(connection, monotonic()))

    def discard(self, runner: Runner, connection: HTTPConnection) -> None:
        """Close a connection, which cancels what the upstream still does for it."""
        connection.close()
        with self._lock:
            self._pools[runner.endpoint].in_use -= 1

    def _take(self, runner: Runner, *, fresh: bool) -> HTTPConnection:
        oldest = monotonic() - self.settings.idle_connection_s
        with self._lock:
            pool = self._pools.setdefault(runner.endpoint, _RunnerPool())
            if pool.in_use >= self.settings.pool_per_upstream:
                raise UpstreamError(
                    f"{pool.in_use} connections to upstream {runner.name} are in use already",
                    remedy="try another upstream or raise upstreams.pool_per_upstream",
                    sent=False,
                )
            pool.in_use += 1
            stale = [item for item in pool.idle if item.since < oldest]
            pool.idle = [item for item in pool.idle if item.since >= oldest]
            reused = pool.idle.pop().connection if pool.idle and not fresh else None
        for item in stale:
            item.connection.close()
        if reused is not None and reused.is_connected:
            return reused
        if reused is not None:
            reused.close()
        return HTTPConnection(
            runner.address, runner.port, timeout=self.settings.connect_timeout_s, blocksize=65536
        )

    def _connect(self, runner: Runner, connection: HTTPConnection) -> None:
        if connection.sock is not None:
            return
        try:
            connection.connect()
        except (NewConnectionError, ConnectTimeoutError, HTTPError, OSError) as error:
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
                headers=request.headers,
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
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
            raise CallerGoneError("the caller has closed its connection", remedy="nothing to do")

    def _begin(
        self, runner: Runner, connection: HTTPConnection, request: UpstreamRequest
    ) -> HTTPResponse:
        try:
            return connection.getresponse()
        except (HTTPError, OSError) as error:
            raise UpstreamError(
                f"upstream {runner.name} gave no answer ({type(error).__name__})",
                remedy="try another upstream if the request may run twice",
                sent=True,
            ) from error


class Exchange:
    """An answer that has begun; read it with :meth:`chunks` or :meth:`read_whole`."""

    def __init__(
        self,
        pool: UpstreamPool,
        runner: Runner,
        connection: HTTPConnection,
        response: HTTPResponse,
    ) -> None:
        self._pool = pool
        self._connection: HTTPConnection | None = connection
        self._response = response
        self.runner = runner
        self.status = response.status
        self.headers = response.headers

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes; raises :class:`TruncatedAnswerError` if it isn't whole."""
        expected = self._response.length_remaining
        received = 0
        try:
            while chunk := self._response.read1():
                received += len(chunk)
                yield chunk
        except (HTTPError, OSError) as error:
            raise self._truncated(received, type(error).__name__) from error
        if expected is not None and received != expected:
            raise self._truncated(received, f"{expected} bytes were promised")
        self._finish()

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

    def close(self) -> None:
        """Give up the rest of the answer; the upstream sees the connection close and cancels."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.discard(self.runner, connection)

    def _finish(self) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self.headers.get("connection", "").lower() == "close":
            self._pool.discard(self.runner, connection)
        else:
            self._pool.give_back(self.runner, connection)

    def _truncated(self, received: int, reason: str) -> TruncatedAnswerError:
        return TruncatedAnswerError(
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
