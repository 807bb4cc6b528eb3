"""Malformed and hostile requests to the HTTP server."""

from collections.abc import Iterable
from json import loads
from socket import create_connection, socket
from threading import Event, Thread
from typing import Any

from testtools import TestCase

from cherrylane.delivery.exchange import UpstreamClient, UpstreamRequest
from cherrylane.delivery.responses import (
    CallerResponse,
    make_json_response,
    make_refusal_response,
)
from cherrylane.errors import CallerDisconnectedError
from cherrylane.http.requests import read_request
from cherrylane.http.server import (
    Environ,
    HttpServer,
    StartResponse,
    caller_socket,
    write_response,
)
from cherrylane.settings.schema import Endpoint, UpstreamSettings
from tests.scripted import ScriptedUpstream

WAIT_S = 10.0
# Seconds for which an upstream is silent beyond the begin of a stop.
SILENCE_S = 1.6
MAX_BODY_BYTES = 100


def echo(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    request = read_request(environ, MAX_BODY_BYTES)
    response = (
        make_json_response({"length": len(request.unwrap().body)})
        if request.is_ok()
        else make_refusal_response(request.unwrap_err())
    )
    return write_response(response, start_response)


class HttpServerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.server = HttpServer(
            Endpoint("127.0.0.1", 0),
            echo,
            threads=4,
            idle_timeout_s=1.0,
            max_header_bytes=2048,
            name="callers",
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def exchange(self, data: bytes) -> tuple[int, Any]:
        with create_connection(("127.0.0.1", self.server.port), WAIT_S) as connection:
            connection.sendall(data)
            received = b""
            while part := connection.recv(65536):
                received += part
        head, _, body = received.partition(b"\r\n\r\n")
        return int(head.split()[1]), loads(body)

    def test_requests_rejected_by_cheroot_get_a_json_error(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET / HTTP/1.1\r\nBad Header\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n",
            b"GET / HTTP/1.1\r\nX: " + b"y" * 5000 + b"\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: nonsense\r\n\r\n",
        ):
            status, answer = self.exchange(data)
            self.assertTrue(400 <= status < 600, f"{data[:40]!r}: {status}")
            self.assertEqual("not_run", answer["error"]["execution"], str(data[:40]))

    def test_bodies_over_the_limit_are_refused_with_and_without_a_length(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        body = b"z" * (MAX_BODY_BYTES + 1)
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        for data in (head + length + body, head + chunked):
            status, answer = self.exchange(data)
            self.assertEqual((413, "body_too_large"), (status, answer["error"]["code"]))

    def test_a_truncated_body_is_refused(self) -> None:
        with create_connection(("127.0.0.1", self.server.port), WAIT_S) as connection:
            connection.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf")
            connection.settimeout(WAIT_S)
            received = connection.recv(65536)
        self.assertIn(b" 4", received.split(b"\r\n")[0])

    # Guards against a body behind a head that ends the answer, read as the next answer.
    def test_the_answer_to_a_head_request_has_no_body(self) -> None:
        head = b"HEAD / HTTP/1.1\r\nHost: x\r\n"
        with create_connection(("127.0.0.1", self.server.port), WAIT_S) as connection:
            connection.sendall(head + b"\r\n" + head + b"Connection: close\r\n\r\n")
            received = b""
            while part := connection.recv(65536):
                received += part
        first, second, end = received.split(b"\r\n\r\n")
        self.assertTrue(first.startswith(b"HTTP/1.1 200 "), received)
        self.assertTrue(second.startswith(b"HTTP/1.1 200 "), received)
        self.assertEqual(b"", end)


class StopTest(TestCase):
    # Guards against a stop that takes a running request's caller for disconnected after a second.
    def test_a_request_that_runs_when_the_server_stops_is_answered(self) -> None:
        arrived, proceed = Event(), Event()

        def answer_late(connection: socket, _: Event) -> None:
            arrived.set()
            proceed.wait(WAIT_S)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")

        upstream = ScriptedUpstream(answer_late)
        self.addCleanup(upstream.close)
        client = UpstreamClient(UpstreamSettings())

        def relay(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
            request = UpstreamRequest("GET", "/", {}, b"")
            try:
                exchange = client.open(upstream.runner, request, caller=caller_socket(environ))
                response = CallerResponse(200, {}, exchange.read_full_body())
            except CallerDisconnectedError:
                response = CallerResponse(400, {}, b"")
            return write_response(response, start_response)

        server = HttpServer(
            Endpoint("127.0.0.1", 0),
            relay,
            threads=4,
            idle_timeout_s=WAIT_S,
            max_header_bytes=2048,
            name="callers",
        )
        server.start()
        stopper = Thread(target=server.stop)
        with create_connection(("127.0.0.1", server.port), WAIT_S) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertTrue(arrived.wait(WAIT_S), "the request did not reach its upstream")
            stopper.start()
            stopper.join(SILENCE_S)
            proceed.set()
            received = b""
            while part := connection.recv(65536):
                received += part
        stopper.join(WAIT_S)
        self.assertFalse(stopper.is_alive(), "the server did not stop")
        self.assertEqual((b"200", b"late"), (received.split()[1], received[-4:]))
