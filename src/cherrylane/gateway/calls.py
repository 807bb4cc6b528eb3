"""One-shot HTTP calls to other hosts and to engines, each on a connection of its own."""

import asyncio
from collections.abc import Callable

from cherrylane.errors import ConnectError, IncompleteResponseError, UpstreamError
from cherrylane.http.limits import ResponseLimits
from cherrylane.http.messages import ResponseHead, encode_request
from cherrylane.http.outbound import DEFAULT_LIMITS, OutboundConnection, open_connection
from cherrylane.platform.headers import read_request_id
from cherrylane.settings.schema import Endpoint

# Number of responses to other requests after which the one to a call is no longer awaited.
MAX_FOREIGN_RESPONSES = 8


async def call(
    endpoint: Endpoint,
    target: bytes,
    *,
    body: bytes | None = None,
    timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
    limits: ResponseLimits = DEFAULT_LIMITS,
) -> bytes:
    """Send a GET, or a POST if ``body`` is given, and return the body of the response.

    Raises what :func:`call_with_head` raises.
    """
    _, response_body = await call_with_head(
        endpoint, target, body=body, timeout_s=timeout_s, may_send=may_send, limits=limits
    )
    return response_body


async def call_with_head(
    endpoint: Endpoint,
    target: bytes,
    *,
    body: bytes | None = None,
    timeout_s: float,
    connect_timeout_s: float | None = None,
    may_send: Callable[[], bool] = lambda: True,
    limits: ResponseLimits = DEFAULT_LIMITS,
) -> tuple[ResponseHead, bytes]:
    """Send a GET, or a POST if ``body`` is given, and return the head and body of the response.

    ``may_send`` is asked once there is a connection; :class:`ConnectError` is raised if it says no.
    A response that names a caller's request is not the one to this call, and is skipped. Raises
    :class:`UpstreamError` if the call fails or the status is 300 or above, and ``TimeoutError`` if
    it takes longer than ``timeout_s`` seconds. The time to connect may have a limit of its own.
    """
    async with asyncio.timeout(timeout_s):
        connection = await open_connection(endpoint, connect_timeout_s or timeout_s, limits)
        try:
            if not may_send():
                raise ConnectError(f"nothing may be sent to {endpoint} now", remedy="use another")
            method = b"GET" if body is None else b"POST"
            headers = [(b"Host", str(endpoint).encode())]
            has_body = body is not None
            connection.send(encode_request(method, target, headers, body or b"", has_body=has_body))
            head, response_body = await _read_response(connection)
        finally:
            connection.close()
    if head.status >= 300:
        raise UpstreamError(
            f"{endpoint} returned status {head.status} for {target.decode()}",
            remedy="check the log of that endpoint",
            sent=True,
        )
    return head, response_body


async def _read_response(connection: OutboundConnection) -> tuple[ResponseHead, bytes]:
    for _ in range(MAX_FOREIGN_RESPONSES):
        head = await connection.read_head()
        if not read_request_id(head):
            return head, await connection.read_body()
        await connection.skip_body()
    raise IncompleteResponseError(
        f"{MAX_FOREIGN_RESPONSES} responses to other requests",
        remedy="check the server",
        sent=True,
    )
