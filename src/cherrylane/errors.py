"""Typed errors and refusals, each of which names its remedy.

Exceptions derive from :class:`CherrylaneError`. A :class:`Refusal` is a value, not an exception:
it is the final answer to a caller whose request the fleet could not complete, and it says whether
the request was run.
"""

from enum import Enum

from attrs import frozen


class CherrylaneError(Exception):
    """Base of every exception that cherrylane raises on purpose.

    ``problem`` says what was found and ``remedy`` what to do about it.
    """

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(CherrylaneError):
    """A settings file or a configuration document is not acceptable."""


class PlatformError(CherrylaneError):
    """The platform's object service did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """No answer came, so a write may or may not have taken effect."""


class PlatformBusyError(PlatformUnavailableError):
    """The platform refused the call; nothing was done."""


class ObjectNotFoundError(PlatformError):
    """The object does not exist."""


class ConflictError(PlatformError):
    """A conditional write lost against another writer."""


class WatchExpiredError(PlatformError):
    """The version a watch started from is too old; list again."""


class PeerMessageError(CherrylaneError):
    """Another host sent something that is not understood."""


class UpstreamError(CherrylaneError):
    """An upstream failed while it served a request.

    ``sent`` is False only when it is certain that no byte of the request left this host.
    """

    def __init__(self, problem: str, *, remedy: str, sent: bool) -> None:
        super().__init__(problem, remedy=remedy)
        self.sent = sent


class ConnectError(UpstreamError):
    """No connection to the upstream could be opened, so nothing was sent."""


class IncompleteResponseError(UpstreamError):
    """The connection ended, or carried something else, before an answer was complete."""


class TruncatedResponseError(UpstreamError):
    """The upstream's answer ended before it was whole."""


class CallerDisconnectedError(CherrylaneError):
    """The caller closed its connection before the answer was complete."""


class Execution(Enum):
    """Whether the request that an answer belongs to was run by an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    RUN = "run"


@frozen
class Refusal:
    """The final answer to a request that gets no answer from an upstream.

    ``status`` is the HTTP status, ``code`` a stable word for programs. ``retry_after_s`` is given
    where trying again later makes sense.

    Example::

        Refusal(status=401, code="invalid_api_key", message="...", remedy="...")
    """

    status: int
    code: str
    message: str
    remedy: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float | None = None
