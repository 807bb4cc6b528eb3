"""Malformed and hostile requests to the HTTP server."""

from collections.abc import Iterable
from json import loads
from socket import create_connection
from typing import Any

from testtools import TestCase

from cherrylane.delivery.responses import make_json_response, make_refusal_response
from cherrylane.http.requests import read_request
from cherrylane.http.server import Environ, HttpServer, StartResponse, write_response
from cherrylane.settings.schema import Endpoint

WAIT_S = 10.0
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
