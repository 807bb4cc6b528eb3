"""Answers to callers: an upstream's, or a refusal in the form that OpenAI clients read."""

from collections.abc import Callable, Iterator
from json import dumps
from math import ceil
from socket import socket
from typing import Any, Protocol

from attrs import field, frozen

from cherrylane.errors import Refusal

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

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
    """A body that is sent as it comes; ``finish`` is called however its sending ends."""

    def __init__(self, chunks: Iterator[bytes], finish: Callable[[], None]) -> None:
        self._chunks = chunks
        self._finish = finish

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """End the relay, even one that has not begun."""
        self._finish()


class TakeoverBody(Protocol):
    """A body whose sending is taken over from the HTTP server, together with the connection."""

    def begin(self, caller: socket, *, chunked: bool) -> None:
        """Send the body to ``caller`` from now on, and close it at the end."""

    def abandon(self) -> None:
        """Give the body up unsent."""


@frozen
class CallerResponse:
    """What goes back to a caller; a ``body`` that is not bytes is sent as it comes."""

    status: int
    headers: dict[str, str]
    body: bytes | StreamingBody | TakeoverBody = field(repr=False)


def render_error(refusal: Refusal) -> dict[str, Any]:
    """Return ``refusal`` as the JSON object that OpenAI clients read."""
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
    """Return ``refusal`` as an HTTP answer, with when to come back where that makes sense."""
    headers = {"Content-Type": JSON_TYPE, "Cherrylane-Execution": refusal.execution.value}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(ceil(refusal.retry_after_s))
    if refusal.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return CallerResponse(refusal.status, headers, dumps(render_error(refusal)).encode())


def make_json_response(value: Any, status: int = 200) -> CallerResponse:
    """Return ``value`` as JSON."""
    return CallerResponse(status, {"Content-Type": JSON_TYPE}, dumps(value).encode())


def render_error_event(refusal: Refusal) -> bytes:
    """Return ``refusal`` as an event that ends a stream whose answer had begun."""
    return b"data: " + dumps(render_error(refusal)).encode() + b"\n\n"
