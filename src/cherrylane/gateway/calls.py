"""One-shot HTTP calls to other hosts and to engines, each on a connection of its own."""

import asyncio

from cherrylane.errors import UpstreamError
from cherrylane.http.messages import encode_request
from cherrylane.http.outbound import open_connection
from cherrylane.settings.schema import Endpoint


async def call(
    endpoint: Endpoint, target: bytes, *, body: bytes | None = None, timeout_s: float
) -> bytes:
    """Send a GET, or a POST if ``body`` is given, and return the body of the response.

    Raises :class:`UpstreamError` if the call fails or the status is 300 or above, and
    ``TimeoutError`` if it takes longer than ``timeout_s`` seconds.
    """
    async with asyncio.timeout(timeout_s):
        connection = await open_connection(endpoint, timeout_s)
        try:
            method = b"GET" if body is None else b"POST"
            headers = [(b"Host", str(endpoint).encode())]
            has_body = body is not None
            connection.send(encode_request(method, target, headers, body or b"", has_body=has_body))
            head = await connection.read_head()
            response_body = await connection.read_body()
        finally:
            connection.close()
    if head.status >= 300:
        raise UpstreamError(
            f"{endpoint} returned status {head.status} for {target.decode()}",
            remedy="check the log of that endpoint",
            sent=True,
        )
    return response_body
