"""Outcomes of sending a request to an upstream, and the router's own answers."""

from enum import Enum
from http import HTTPStatus

from attrs import field, frozen

from cherrylane.http.messages import Header, Response, ResponseHead


@frozen
class Answered:
    """The upstream answered completely."""

    head: ResponseHead
    body: bytes


@frozen
class Failed:
    """The upstream answered completely with a server error, so the request ran and failed."""

    head: ResponseHead
    body: bytes


@frozen
class NotRun:
    """The upstream has certainly not run the request and never will.

    ``was_sent`` is False when no byte of the request left this host. ``was_misdirected`` means that
    the upstream's address now belongs to another upstream. ``was_withheld`` means that this host
    has decided not to send it, which says nothing of the upstream.
    """

    reason: str
    was_sent: bool
    was_misdirected: bool = False
    was_withheld: bool = False


@frozen
class Unknown:
    """The request was sent, and it is not known whether it ran.

    ``was_answered`` is set if there was a whole answer, so that the connection has not failed, and
    ``was_late`` if this host has ended the attempt at the deadline, on an open connection.
    """

    reason: str
    was_answered: bool = field(default=False, eq=False)
    was_late: bool = field(default=False, eq=False)


@frozen
class Completed:
    """A stream was relayed completely."""


@frozen
class Broken:
    """A stream broke off after part of it was relayed.

    ``was_late`` is set if this host has ended it at the deadline, on an open connection.
    """

    reason: str
    was_late: bool = field(default=False, eq=False)


@frozen
class Superseded:
    """The attempt was ended because another one went on first, or early by the deadline.

    ``has_stalled`` means that it had made no progress for as long as it was given.
    """

    reason: str
    has_stalled: bool


Outcome = Answered | Failed | NotRun | Unknown | Completed | Broken | Superseded


class Cause(Enum):
    """Why the router answers a request itself."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    BAD_KEY = "bad_key"
    NO_REQUEST_ID = "no_request_id"
    NO_UPSTREAM = "no_upstream"
    EVACUATED = "evacuated"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    BACKING_OFF = "backing_off"
    RATE_LIMITED = "rate_limited"
    COLD = "cold"
    ORIGIN_UNKNOWN = "origin_unknown"
    ORIGIN_GONE = "origin_gone"
    STOPPING = "stopping"
    NO_MEMORY = "no_memory"
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
    Cause.EVACUATED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.BACKING_OFF: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.RATE_LIMITED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.COLD: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.ORIGIN_UNKNOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.ORIGIN_GONE: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.NO_MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.NOT_ACCEPTED: HTTPStatus.SERVICE_UNAVAILABLE,
    Cause.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    Cause.TIMED_OUT: HTTPStatus.GATEWAY_TIMEOUT,
    Cause.INTERNAL: HTTPStatus.BAD_GATEWAY,
}


@frozen
class Rejection:
    """The router's own answer; a retry makes sense after ``retry_after_s`` seconds."""

    cause: Cause
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> HTTPStatus:
        """The HTTP status; 503 guarantees that the request was not run and will not be."""
        return STATUS_BY_CAUSE[self.cause]


def make_response(rejection: Rejection, headers: list[Header]) -> Response:
    """Return the rejection as a response with a human-readable line of text."""
    text = rejection.cause.value + (f": {rejection.detail}" if rejection.detail else "") + "\n"
    return Response(rejection.status, ((b"Content-Type", b"text/plain"), *headers), text.encode())
