"""The state of a request over all its attempts."""

from attrs import define, field

from cherrylane.http.memory import HeldMemory, MemoryAccount
from cherrylane.relay.answer_trace import AnswerTrace
from cherrylane.relay.continuity import StreamProgress
from cherrylane.relay.outcomes import Broken, Failed, Outcome, Superseded, Unknown
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.stream_origins import StreamOrigin


@define
class AttemptRecord:
    """The log entry of one attempt."""

    upstream: str
    outcome: str
    seconds: float
    trace: AnswerTrace = field(factory=AnswerTrace)


@define
class RequestState:
    """The state of one request over all its attempts; ``framing`` is that of the last answer.

    ``origin`` is where its stream began, None before its first event. ``times_sent`` counts the
    attempts that have ended after the request was sent.
    """

    request: CallerRequest
    progress: StreamProgress
    tried: set[str] = field(factory=set)
    attempts: list[AttemptRecord] = field(factory=list)
    times_sent: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    failure: Failed | None = None
    framing: str = ""
    origin: StreamOrigin | None = None
    # The memory that the bodies of its answers hold.
    held: HeldMemory = field(factory=lambda: MemoryAccount().open())

    def find_attempt(self, outcome: str) -> AttemptRecord | None:
        """Return the last attempt that ended with this outcome, such as ``Failed``, or None."""
        ended = (attempt for attempt in reversed(self.attempts) if attempt.outcome == outcome)
        return next(ended, None)

    def record(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt that was sent but did not answer the request."""
        match outcome:
            case Failed():
                self.failure = outcome
            case Unknown() | Broken() | Superseded():
                self.may_have_run = True
