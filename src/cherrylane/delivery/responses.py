"""HTTP responses to callers: relayed from an upstream, or an error object in OpenAI's format."""

from collections.abc import Callable, Iterator
from json import dumps
from math import ceil
from socket import socket
from typing import Any, Protocol

from attrs import field, frozen

from cherrylane.errors import Refusal

JSON_TYPE = "application/json"

ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    405: "invalid_request_error",
    408: "invalid_request_error",
    409: "conflict_error",
    411: "invalid_request_error",
    413: "invalid_request_error",
    414: "invalid_request_error",
    429: "rate_limit_error",
}
SERVER_ERROR_TYPE = "server_error"


class StreamingBody:
    """A response body that is sent chunk by chunk; ``finish`` is called however sending ends."""

    def __init__(self, chunks: Iterator[bytes], finish: Callable[[], None]) -> None:
        self._chunks = chunks
        self._finish = finish

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Call ``finish``, also if no chunk was sent."""
        self._finish()


class TakeoverBody(Protocol):
    """A response body whose sender takes the connection over from the HTTP server."""

    def begin(self, caller: socket, *, chunked: bool) -> None:
        """Take over ``caller``, send the body to it, and close it at the end."""

    def abandon(self) -> None:
        """Discard the body without sending it."""


@frozen
class CallerResponse:
    """An HTTP response to a caller; a ``body`` that is not bytes is streamed."""

    status: int
    headers: dict[str, str]
    body: bytes | StreamingBody | TakeoverBody = field(repr=False)


def render_error(refusal: Refusal) -> dict[str, Any]:
    """Return ``refusal`` as an error object in the format of the OpenAI API."""
    error: dict[str, Any] = {
        "message": f"{refusal.message}; {refusal.remedy}",
        "type": ERROR_TYPES.get(refusal.status, SERVER_ERROR_TYPE),
        "code": refusal.code,
        "param": None,
        "execution": refusal.execution.value,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = refusal.retry_after_s
    return {"error": error}


def make_refusal_response(refusal: Refusal) -> CallerResponse:
    """Return ``refusal`` as an HTTP response, with ``Retry-After`` if it names a delay."""
    headers = {"Content-Type": JSON_TYPE, "Cherrylane-Execution": refusal.execution.value}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(ceil(refusal.retry_after_s))
    if refusal.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return CallerResponse(refusal.status, headers, dumps(render_error(refusal)).encode())


def make_json_response(value: Any, status: int = 200) -> CallerResponse:
    """Return ``value`` as an HTTP response with a JSON body."""
    return CallerResponse(status, {"Content-Type": JSON_TYPE}, dumps(value).encode())


def render_error_event(refusal: Refusal) -> bytes:
    """Return ``refusal`` as a server-sent event, to end a stream that has already started."""
    return b"data: " + dumps(render_error(refusal)).encode() + b"\n\n"
