"""Set-up of ``cheroot`` servers, whose own errors are typed JSON too."""

from collections.abc import Callable, Iterable, Iterator
from json import dumps
from math import ceil
from socket import socket
from threading import Thread
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from cherrylane.delivery.responses import (
    JSON_TYPE,
    CallerResponse,
    StreamingBody,
    TakeoverBody,
    render_error,
)
from cherrylane.errors import Refusal, SettingsError
from cherrylane.settings.schema import Endpoint

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


class HandOver(Iterable[bytes]):
    """A WSGI answer whose body is sent by somebody else."""

    def __init__(self, body: TakeoverBody) -> None:
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        raise TypeError("the body is handed over, not iterated")


class _TypedRequest(HTTPRequest):
    """Answers a request that cheroot itself turns away with the same JSON as any refusal."""

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Write a whole answer for a request that never reached the application."""
        text = str(status)
        refusal = Refusal(
            status=int(text[:3]),
            code="invalid_request",
            message=msg or text[4:] or "the request is malformed",
            remedy="correct the request line, the headers or the body's length",
        )
        body = dumps(render_error(refusal)).encode()
        head = (
            f"HTTP/1.1 {text}\r\nContent-Length: {len(body)}\r\n"
            f"Content-Type: {JSON_TYPE}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.wfile.write(head.encode("latin-1") + body)


class _TypedConnection(HTTPConnection):
    RequestHandlerClass = _TypedRequest


class _ConnectionGateway(Gateway_10):
    """Gives the application the caller's socket, so that it sees a caller leave."""

    def respond(self) -> None:
        """Send the application's answer, or hand the connection to whoever sends it."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        if self.env.get(CLOSE_KEY):
            self.req.close_connection = True
        if isinstance(response, HandOver):
            self._hand_over(response.body)
            return
        try:
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            self.req.ensure_headers_sent()
            if isinstance(response, StreamingBody):
                response.close()

    def _hand_over(self, body: TakeoverBody) -> None:
        """Send the headers, and give the body's sender a descriptor of its own."""
        try:
            self.req.close_connection = True
            self.req.ensure_headers_sent()
            chunked = self.req.chunked_write
            # What follows is not this server's to write or to shut down.
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
    """One listening HTTP side."""

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
            shutdown_timeout=1,
        )
        self._server.ConnectionClass = _TypedConnection
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
        """Begin to answer."""
        self._thread.start()

    def is_busy(self) -> bool:
        """Say whether a request is being answered at this moment."""
        pool = self._server.requests
        return bool(pool.qsize or pool.idle < len(pool._threads))

    def stop(self) -> None:
        """Stop listening and end idle connections."""
        self._server.stop()


def caller_socket(environ: Environ) -> socket | None:
    """Return the socket on which the request came."""
    connection = environ.get(CONNECTION_KEY)
    return connection if isinstance(connection, socket) else None


def close_after_answer(environ: Environ) -> None:
    """Close the connection after the answer, because the request was not read to its end."""
    environ[CLOSE_KEY] = True


def write_answer(answer: CallerResponse, start_response: StartResponse) -> Iterable[bytes]:
    """Begin ``answer`` and return its body in the form that WSGI wants."""
    status = f"{answer.status} {STATUS_TEXTS.get(answer.status, 'Status')}"
    headers = list(answer.headers.items())
    if isinstance(answer.body, bytes):
        headers.append(("Content-Length", str(len(answer.body))))
        start_response(status, headers)
        return [answer.body]
    start_response(status, headers)
    if isinstance(answer.body, StreamingBody):
        return answer.body
    return HandOver(answer.body)
