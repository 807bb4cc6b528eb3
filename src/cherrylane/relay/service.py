"""Handling of callers' requests: admission, relaying, answering, logging and metrics."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from logbook import Logger

from cherrylane.http.framing import ReadFailure
from cherrylane.http.memory import MemoryAccount
from cherrylane.http.messages import Request, RequestHead, Response
from cherrylane.http.responder import Responder
from cherrylane.limits.memory_pressure import CutReason, Reader
from cherrylane.platform.headers import REQUEST_ID, encode_retry_after, read_request_id
from cherrylane.relay.admission import Admission
from cherrylane.relay.attempts import AttemptRunner
from cherrylane.relay.continuity import StreamProgress
from cherrylane.relay.outcomes import (
    Answered,
    Broken,
    Cause,
    Completed,
    Failed,
    Rejection,
    make_response,
)
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.state import RequestState
from cherrylane.relay.stopping import PlannedStop
from cherrylane.routing.snapshot import Snapshot
from cherrylane.telemetry.counters import Telemetry
from cherrylane.telemetry.line_budget import LineBudget

# Seconds after the start in which requests wait for the first configuration and list of upstreams;
# an available store delivers them within 0.05 s.
STARTUP_WAIT_S = 0.4
# Retry-After, in seconds, while responses that wait for their callers hold the memory.
RETRY_NO_MEMORY_S = 1.0

log = Logger("cherrylane.relay")


@define
class RelayService:
    """Answers callers' requests.

    ``is_closed`` is set once a stopping host rejects new requests, ``snapshot_available`` when the
    first configuration and list of upstreams have arrived.
    """

    attempt_runner: AttemptRunner
    read_snapshot: Callable[[], Snapshot]
    telemetry: Telemetry
    admission: Admission = field(factory=Admission)
    memory: MemoryAccount = field(factory=MemoryAccount)
    is_closed: bool = False
    snapshot_available: asyncio.Event = field(factory=asyncio.Event)
    _startup_wait_until: float = float("-inf")
    _refusal_lines: LineBudget = field(factory=LineBudget)
    _cut_lines: dict[CutReason, LineBudget] = field(factory=dict)

    @property
    def stop(self) -> PlannedStop:
        """The planned stop of this host."""
        return self.attempt_runner.stop

    def close(self) -> None:
        """Reject new requests from now on, and those that wait for the first configuration."""
        self.is_closed = True
        self.snapshot_available.set()

    def begin(self) -> None:
        """Start the time in which requests wait for the first configuration."""
        self._startup_wait_until = asyncio.get_running_loop().time() + STARTUP_WAIT_S

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        now = asyncio.get_running_loop().time()
        if not self.snapshot_available.is_set() and now < self._startup_wait_until:
            await self._wait_for_snapshot()
        if self.is_closed:
            admitted: CallerRequest | Rejection = self.stop.refuse()
        else:
            admitted = self.admission.admit(request, self.read_snapshot(), now)
        if isinstance(admitted, CallerRequest) and not self.memory.admits(_find_reader(request)):
            admitted = Rejection(Cause.NO_MEMORY, retry_after_s=RETRY_NO_MEMORY_S)
        match admitted:
            case Rejection():
                self._reject(request, responder, admitted)
            case CallerRequest():
                await self._relay(request, admitted, responder)

    async def _wait_for_snapshot(self) -> None:
        try:
            async with asyncio.timeout_at(self._startup_wait_until):
                await self.snapshot_available.wait()
        except TimeoutError:
            log.warning(
                "no configuration and upstreams received in time after the start",
                extra={"waited_s": STARTUP_WAIT_S},
            )

    def record_read_failure(self, failure: ReadFailure) -> None:
        """Log a request that could not be read."""
        if failure.silent:
            return
        self.telemetry.count("unreadable_requests", status=str(int(failure.status)))
        log.info(
            "request could not be read",
            extra={"status": int(failure.status), "reason": failure.reason},
        )

    def record_dropped(self, head: RequestHead, ended_by: str) -> None:
        """Log a request that was read and not handled, since its connection has ended."""
        self.telemetry.count("dropped_requests")
        log.info(
            "request dropped with its connection",
            extra={"request": read_request_id(head), "path": head.path, "ended_by": ended_by},
        )

    def record_cut(self, reason: CutReason, reader: Reader) -> None:
        """Log a caller whose connection was ended for the sake of the memory."""
        self.telemetry.count("memory_cuts", reason=reason.name.lower())
        lines = self._cut_lines.setdefault(reason, LineBudget())
        if lines.withdraw(asyncio.get_running_loop().time()):
            log.warning(
                "response given up for the sake of memory",
                extra={
                    "reason": reason.value,
                    "caller": reader.client.address,
                    "held": reader.held,
                    "unread": reader.unread,
                    "bytes_per_s": round(reader.pace),
                    "left_out": lines.take_left_out(),
                },
            )

    async def _relay(self, request: Request, admitted: CallerRequest, responder: Responder) -> None:
        progress = StreamProgress(last_id=admitted.resume_after)
        state = RequestState(admitted, progress, held=self.memory.open(_find_reader(request)))
        outcome = "caller left"
        status = 0
        try:
            work = self.attempt_runner.run(state, responder)
            result = await self.stop.run(state, responder, work)
            outcome, status = self._answer(request, result, responder)
        finally:
            if state.held.reader is not None and state.held.reader.is_cut and not status:
                outcome = "caller cut"
            state.held.release()
            self._log_request(state, outcome, status, responder.ended_by)

    def _answer(
        self,
        request: Request,
        result: Answered | Failed | Completed | Broken | Rejection,
        responder: Responder,
    ) -> tuple[str, int]:
        match result:
            case Answered(head=head, body=body) | Failed(head=head, body=body):
                responder.send(Response(head.status, tuple(head.end_to_end()), body))
                return type(result).__name__.lower(), head.status
            case Completed():
                return "completed", 200
            case Broken(reason=reason):
                responder.abort()
                return f"broken: {reason}", 200
            case Rejection():
                self._send_rejection(request, responder, result)
                return result.cause.value, int(result.status)

    def _reject(self, request: Request, responder: Responder, rejection: Rejection) -> None:
        self._send_rejection(request, responder, rejection)
        self.telemetry.count("rejections", cause=rejection.cause.value)
        extra = {}
        if rejection.cause is Cause.NO_MEMORY:
            if not self._refusal_lines.withdraw(asyncio.get_running_loop().time()):
                return
            extra = {"left_out": self._refusal_lines.take_left_out()}
        log.info(
            "request rejected",
            extra={
                **extra,
                "request": read_request_id(request.head),
                "cause": rejection.cause.value,
                "status": int(rejection.status),
                "authority": request.head.find_text(b"host"),
                "path": request.head.path,
                "config": self.read_snapshot().config_version,
            },
        )

    def _send_rejection(self, request: Request, responder: Responder, rejection: Rejection) -> None:
        headers = []
        request_id = read_request_id(request.head)
        if request_id:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if rejection.retry_after_s is not None:
            headers.append(encode_retry_after(rejection.retry_after_s))
        responder.send(make_response(rejection, headers))

    def _log_request(self, state: RequestState, outcome: str, status: int, ended_by: str) -> None:
        request = state.request
        kind_of_outcome = outcome.partition(":")[0]
        answering = state.find_attempt(kind_of_outcome.capitalize())
        now = asyncio.get_running_loop().time()
        kind = request.route.kind.value
        # Without the reason, of which there may be any number.
        self.telemetry.count("requests", kind=kind, outcome=kind_of_outcome)
        self.telemetry.observe("request", now - request.received, kind=kind)
        first_at = state.progress.first_at
        if first_at is not None:
            self.telemetry.observe("first_event", first_at - request.received, kind=kind)
        log.info(
            "request",
            extra={
                "request": request.id,
                "route": request.route.name,
                "kind": kind,
                "account": request.account.name if request.account else "",
                "outcome": outcome,
                "status": status,
                "ended_by": ended_by,
                "framing": state.framing,
                "attempts": [
                    [attempt.upstream, attempt.outcome, round(attempt.seconds * 1000, 1)]
                    for attempt in state.attempts
                ],
                "ms": round((now - request.received) * 1000, 1),
                "first_ms": round((first_at - request.received) * 1000, 1) if first_at else None,
                "left_ms": round((request.deadline - now) * 1000),
                "answered_by": answering.upstream if answering else "",
                **(answering.trace.to_fields() if answering else {}),
            },
        )


def _find_reader(request: Request) -> Reader | None:
    """Return the memory account's view of the caller, None of a request that has none."""
    return request.held.reader if request.held is not None else None
