"""Single calls on connections of their own, to other hosts and to engines."""

import asyncio

from cherrylane.errors import UpstreamError
from cherrylane.http.messages import encode_request
from cherrylane.http.outbound import open_connection
from cherrylane.settings.schema import Endpoint


async def call(
    endpoint: Endpoint, target: bytes, *, body: bytes | None = None, timeout_s: float
) -> bytes:
    """Return the body of a successful answer to a GET, or to a POST if there is a ``body``.

    Raises :class:`UpstreamError` or ``TimeoutError`` when there is none.
    """
    async with asyncio.timeout(timeout_s):
        connection = await open_connection(endpoint, timeout_s)
        try:
            method = b"GET" if body is None else b"POST"
            headers = [(b"Host", str(endpoint).encode())]
            has_body = body is not None
            connection.send(encode_request(method, target, headers, body or b"", has_body=has_body))
            head = await connection.read_head()
            answer = await connection.read_body()
        finally:
            connection.close()
    if head.status >= 300:
        raise UpstreamError(
            f"{endpoint} answered {head.status} to {target.decode()}",
            remedy="look at its log",
            sent=True,
        )
    return answer
