"""HTTP servers based on ``cheroot``, which also send their own errors as JSON."""

from collections.abc import Callable, Iterable, Iterator
from json import dumps
from math import ceil
from re import compile as compile_pattern
from socket import socket
from threading import Thread
from typing import Any

from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from cherrylane.delivery.responses import (
    JSON_TYPE,
    CallerResponse,
    StreamingBody,
    TakeoverBody,
    render_error,
)
from cherrylane.errors import Refusal, SettingsError
from cherrylane.http.deadlines import DEADLINES
from cherrylane.http.framing import find_length_problem
from cherrylane.http.messages import BODILESS_STATUSES, Header, RequestHead, has_body
from cherrylane.settings.schema import Endpoint

# Time limit in seconds for a whole head.
HEAD_TIMEOUT_S = 10.0
# Longest line, such as the size of a chunk, and the most that one read of a body returns.
MAX_LINE_BYTES = 64 * 1024
MAX_READ_BYTES = 64 * 1024 * 1024
CRLF = b"\r\n"
# The line before a chunk: its size, and extensions that are ignored (RFC 9112, section 7.1).
CHUNK_SIZE = compile_pattern(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
read_headers = HeaderReader()
CONNECTION_KEY = "cherrylane.connection"
CLOSE_KEY = "cherrylane.close"
STATUS_TEXTS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class DetachedResponse(Iterable[bytes]):
    """A WSGI response whose body is sent outside the server, on the same connection."""

    def __init__(self, body: TakeoverBody) -> None:
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        raise TypeError("the body of a detached response cannot be iterated")


class _HeaderLines:
    """Passes the header lines of a request to cheroot, which folds and merges them."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self.headers: list[Header] = []

    def readline(self) -> bytes:
        """Read a line; raises ``ValueError`` if it is folded or malformed.

        cheroot would put a folded line in the place of the line before.
        """
        line: bytes = self._reader.readline()
        if line not in (b"", CRLF):
            name, _, value = line.partition(b":")
            if name.strip() != name or b"\r" in line.removesuffix(CRLF):
                raise ValueError("folded or malformed header")
            self.headers.append((name, value.strip()))
        return line


class _JsonErrorRequest(HTTPRequest):
    """Responds with the JSON of a refusal to requests that cheroot itself rejects."""

    def header_reader(self, reader: Any, headers: dict[bytes, bytes]) -> None:
        """Read the headers; raises ``ValueError`` if they don't tell where the request ends."""
        lines = _HeaderLines(reader)
        read_headers(lines, headers)
        is_http_1_0 = self.response_protocol != "HTTP/1.1"
        head = RequestHead(tuple(lines.headers), http_1_0=is_http_1_0)
        if problem := find_length_problem(head):
            raise ValueError(problem)

    def parse_request(self) -> None:
        """Read the head of a request within ``HEAD_TIMEOUT_S``."""
        with DEADLINES.limit(self.conn.socket, HEAD_TIMEOUT_S, "head of a request"):
            super().parse_request()

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Write a complete response to a request that never reached the application."""
        text = str(status)
        refusal = Refusal(
            status=int(text[:3]),
            code="invalid_request",
            message=msg or text[4:] or "malformed request",
            remedy="correct the request line, the headers or the body length",
        )
        body = dumps(render_error(refusal)).encode()
        head = (
            f"HTTP/1.1 {text}\r\nContent-Length: {len(body)}\r\n"
            f"Content-Type: {JSON_TYPE}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.wfile.write(head.encode("latin-1") + body)


class _CheckedReader:
    """Reads from a caller's connection, with limits and checks where cheroot has none.

    These are lines with the size of a chunk, chunks, and the lines behind the last chunk. cheroot
    takes the end of the connection for the end of such a line, so that a size that is cut after
    its first digit, a zero, would end the body.
    """

    def __init__(self, reader: Any) -> None:
        self._reader = reader

    def readline(self, size: int = -1) -> bytes:
        """Read a line of a head in parts of ``size`` bytes, or, without it, the size of a chunk.

        Raises ``ValueError`` for a size that is too long, malformed or cut short.
        """
        if size >= 0:
            return bytes(self._reader.readline(min(size, MAX_LINE_BYTES)))
        line = self._read_whole_line()
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise ValueError("malformed size of a chunk")
        if int(match.group(1), 16) == 0:
            self._skip_trailers()
        return line

    def _skip_trailers(self) -> None:
        """Read up to the empty line behind the last chunk, without which no body is complete."""
        left = MAX_LINE_BYTES
        while (line := self._read_whole_line()) != CRLF:
            left -= len(line)
            if left < 0:
                raise ValueError(f"trailers of more than {MAX_LINE_BYTES} bytes")

    def _read_whole_line(self) -> bytes:
        line: bytes = self._reader.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise ValueError(f"line of more than {MAX_LINE_BYTES} bytes")
        if not line.endswith(CRLF):
            raise ValueError("line without its end")
        return line

    def read(self, size: int = -1) -> bytes:
        """Read up to ``MAX_READ_BYTES``."""
        return bytes(self._reader.read(min(size, MAX_READ_BYTES) if size >= 0 else MAX_READ_BYTES))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class _JsonErrorConnection(HTTPConnection):
    RequestHandlerClass = _JsonErrorRequest

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.rfile = _CheckedReader(self.rfile)

    def close(self) -> None:
        """Close this server's descriptor, also of a connection that was handed over.

        The thread that served it would hold it open until its next request, so that the end of a
        body that ends with its connection would not reach the caller.
        """
        super().close()
        if self.linger:
            self.socket.close()


class _ConnectionGateway(Gateway_10):
    """Gives the application the caller's socket, so that it can detect a disconnect."""

    def respond(self) -> None:
        """Send the application's response, or hand the connection to the sender of its body."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        if self.env.get(CLOSE_KEY):
            self.req.close_connection = True
        if isinstance(response, DetachedResponse):
            self._hand_over(response.body)
            return
        try:
            # cheroot would write a body also where the head ends the response.
            if has_body(self.req.method, int(self.req.status[:3])):
                for chunk in filter(None, response):
                    self.write(chunk)
        finally:
            self.req.ensure_headers_sent()
            if isinstance(response, StreamingBody):
                response.close()

    def _hand_over(self, body: TakeoverBody) -> None:
        """Send the headers, and give the sender of the body a duplicate of the socket."""
        try:
            self.req.close_connection = True
            self.req.ensure_headers_sent()
            chunked = self.req.chunked_write
            # From here on, this server must neither write to the connection nor shut it down.
            self.req.chunked_write = False
            self.req.conn.linger = True
            body.begin(self.req.conn.socket.dup(), chunked=chunked)
        except BaseException:
            body.abandon()
            raise

    def get_environ(self) -> Environ:  # type: ignore[override]
        environ: Environ = {}
        environ.update(super().get_environ())
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class HttpServer:
    """An HTTP server on one listening address."""

    def __init__(
        self,
        listen: Endpoint,
        application: Application,
        *,
        threads: int,
        idle_timeout_s: float,
        max_header_bytes: int,
        name: str,
    ) -> None:
        self._server = Server(
            (listen.address, listen.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=1024,
            timeout=ceil(idle_timeout_s),
        )
        # Each request has time limits of its own; after this one its connection would be cut.
        self._server.shutdown_timeout = None
        self._server.ConnectionClass = _JsonErrorConnection
        self._server.gateway = _ConnectionGateway
        self._server.max_request_header_size = max_header_bytes
        self._name = name
        try:
            self._server.prepare()
        except OSError as error:
            raise SettingsError(
                f"{name}.listen: cannot listen on {listen} ({error})",
                remedy="choose a free port or an address of this host",
            ) from error
        self.port: int = self._server.bind_addr[1]
        self._thread = Thread(target=self._server.serve, name=f"http-{name}", daemon=True)

    def start(self) -> None:
        """Start to serve requests."""
        self._thread.start()

    def close_after_responses(self) -> None:
        """From now on, announce with each response that its connection is closed."""
        self._server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Stop listening, close idle connections, and finish the requests that run."""
        self._server.stop()


def caller_socket(environ: Environ) -> socket | None:
    """Return the socket on which the request arrived, or None if it is unknown."""
    connection = environ.get(CONNECTION_KEY)
    return connection if isinstance(connection, socket) else None


def close_after_response(environ: Environ) -> None:
    """Close the connection after the response, because the request was not read completely."""
    environ[CLOSE_KEY] = True


def write_response(response: CallerResponse, start_response: StartResponse) -> Iterable[bytes]:
    """Start the response and return its body as a WSGI application does."""
    status = f"{response.status} {STATUS_TEXTS.get(response.status, 'Status')}"
    headers = list(response.headers.items())
    if isinstance(response.body, bytes):
        if response.status not in BODILESS_STATUSES:
            headers.append(("Content-Length", str(len(response.body))))
        start_response(status, headers)
        return [response.body]
    start_response(status, headers)
    if isinstance(response.body, StreamingBody):
        return response.body
    return DetachedResponse(response.body)
