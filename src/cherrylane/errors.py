"""Exceptions, and refusals as values; each carries a remedy.

Exceptions derive from :class:`CherrylaneError`. A :class:`Refusal` is a value, not an exception:
the final response to a caller whose request the fleet could not complete. It says whether an
upstream has run the request.
"""

from enum import Enum

from attrs import frozen

# What decoding a malformed document raises: wrong types, missing fields, infinite numbers, and
# nesting that is too deep.
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class CherrylaneError(Exception):
    """Base class of the exceptions that cherrylane defines.

    ``problem`` says what went wrong and ``remedy`` what to do about it.
    """

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(CherrylaneError):
    """A settings file or a configuration document is invalid."""


class PlatformError(CherrylaneError):
    """A call to the platform's object store failed."""


class PlatformUnavailableError(PlatformError):
    """No response was received, so a write may or may not have taken effect."""


class PlatformBusyError(PlatformUnavailableError):
    """The store rejected the call without running it."""


class StoreRestoredError(PlatformUnavailableError):
    """The store came back from an older copy during the call, so its effect is not certain."""


class ObjectNotFoundError(PlatformError):
    """The object does not exist."""


class ConflictError(PlatformError):
    """A conditional write failed because another writer changed the object first."""


class WatchExpiredError(PlatformError):
    """The version that a watch starts from is no longer available; list the objects again."""


class PeerMessageError(CherrylaneError):
    """Another host sent an invalid message."""


class UpstreamError(CherrylaneError):
    """An upstream failed while it served a request.

    ``sent`` is False only if it is certain that no byte of the request left this host.
    """

    def __init__(self, problem: str, *, remedy: str, sent: bool) -> None:
        super().__init__(problem, remedy=remedy)
        self.sent = sent


class ConnectError(UpstreamError):
    """The connection to the upstream could not be opened, so nothing was sent.

    ``was_refused`` is set if the host answered that nothing listens there.
    """

    def __init__(self, problem: str, *, remedy: str, was_refused: bool = False) -> None:
        super().__init__(problem, remedy=remedy, sent=False)
        self.was_refused = was_refused


class IncompleteResponseError(UpstreamError):
    """The connection was closed, or carried invalid data, before a response was complete."""


class TruncatedResponseError(UpstreamError):
    """The body of an upstream's response ended before it was complete."""


class ResponseOrderError(CherrylaneError):
    """A response was begun, continued or ended when it could not be."""


class CallerDisconnectedError(CherrylaneError):
    """The caller closed its connection before the response was complete."""


class Execution(Enum):
    """Whether an upstream has run the request that a response belongs to."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    RUN = "run"


@frozen
class Refusal:
    """The final response to a request that gets none from an upstream.

    ``status`` is the HTTP status and ``code`` a stable, machine-readable error code.
    ``retry_after_s`` is set if a retry after that many seconds may succeed.

    Example::

        Refusal(status=401, code="invalid_api_key", message="...", remedy="...")
    """

    status: int
    code: str
    message: str
    remedy: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float | None = None
