"""What came of sending a request to an upstream, and the answers that are the router's own."""

from enum import Enum
from http import HTTPStatus

from attrs import frozen

from cherrylane.http.messages import Header, Response, ResponseHead


@frozen
class Answered:
    """The upstream's whole answer."""

    head: ResponseHead
    body: bytes


@frozen
class Failed:
    """The upstream's whole answer, which says that it ran the request and failed."""

    head: ResponseHead
    body: bytes


@frozen
class NotRun:
    """It is certain that the upstream has not run the request and never will.

    ``was_sent`` is False when no byte of the request left this host. ``is_gone`` says that another
    upstream has its address by now.
    """

    reason: str
    was_sent: bool
    is_gone: bool = False


@frozen
class Unknown:
    """The request was sent, and whether it ran is not known."""

    reason: str


@frozen
class Completed:
    """A stream was relayed to its end."""


@frozen
class Broken:
    """A stream ended before its end; some of it has been relayed."""

    reason: str


Outcome = Answered | Failed | NotRun | Unknown | Completed | Broken


class Cause(Enum):
    """Why a request gets an answer of the router's own."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    BAD_KEY = "bad_key"
    NO_REQUEST_ID = "no_request_id"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    NOT_ACCEPTED = "not_accepted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    INTERNAL = "internal"


STATUS_BY_CAUSE = {
    Cause.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Cause.BAD_KEY: HTTPStatus.UNAUTHORIZED,
    Cause.NO_REQUEST_ID: HTTPStatus.BAD_REQUEST,
    Cause.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.NOT_ACCEPTED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    Cause.TIMED_OUT: HTTPStatus.GATEWAY_TIMEOUT,
    Cause.INTERNAL: HTTPStatus.BAD_GATEWAY,
}


@frozen
class Rejection:
    """The router's own answer; ``retry_after_s`` says when coming back makes sense."""

    cause: Cause
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> HTTPStatus:
        """The HTTP status; 503 promises that the request was not run and will not be."""
        return STATUS_BY_CAUSE[self.cause]


def make_response(rejection: Rejection, headers: list[Header]) -> Response:
    """Return the rejection as a response with a line of text for people."""
    text = rejection.cause.value + (f": {rejection.detail}" if rejection.detail else "") + "\n"
    return Response(rejection.status, ((b"Content-Type", b"text/plain"), *headers), text.encode())
