"""The guard: sends a request that may not be repeated only under a claim that is its own."""

from collections.abc import Callable
from threading import Event, Lock, Thread
from time import monotonic
from typing import Protocol

from attrs import evolve, frozen
from logbook import Logger
from result import Err, Ok

from cherrylane.delivery.responses import CallerResponse
from cherrylane.errors import Execution, Refusal
from cherrylane.idempotency.claims import Claim, ClaimOutcome, ClaimRequest
from cherrylane.idempotency.responses import FirstResponse, ResponseCache

CLAIM_WAIT_S = 3.0
REPEAT_WAIT_S = 10.0
RETRY_AFTER_S = 2.0
WITHDRAW_EVERY_S = 1.0
WITHDRAW_FOR_S = 600.0
REPLAYED_HEADER = "Cherrylane-Replayed"

log = Logger("cherrylane.idempotency")


class ClaimClient(Protocol):
    """Where claims are made."""

    def claim(self, ask: ClaimRequest, wait_s: float) -> ClaimOutcome:
        """Make or withdraw a claim."""


@frozen
class _Withdrawal:
    ask: ClaimRequest
    until: float


class IdempotencyGuard:
    """Runs claimed requests, at most once for each key.

    A claim whose request was surely not sent is withdrawn, so that the caller may try again; while
    the platform is away the withdrawal is tried again for ten minutes.
    """

    def __init__(self, desk: ClaimClient) -> None:
        self._desk = desk
        self._keeper = ResponseCache()
        self._withdrawals: list[_Withdrawal] = []
        self._lock = Lock()
        self._stopping = Event()
        self._thread = Thread(target=self._withdraw_all, name="withdrawals", daemon=True)

    def start(self) -> None:
        """Begin to withdraw claims."""
        self._thread.start()

    def stop(self) -> None:
        """Withdraw no more."""
        self._stopping.set()

    def run(self, claim: Claim, send: Callable[[], FirstResponse], *, site: str) -> FirstResponse:
        """Return the answer of ``send``, or what became of an earlier request with this key.

        ``site`` is the service's, so that its claims are kept in one place whichever host is asked.
        """
        known = self._keeper.reserve(claim)
        if known is not None:
            if known.digest != claim.digest:
                return Err(_MISMATCH)
            first = known.wait(REPEAT_WAIT_S)
            return _replay(first) if first is not None else Err(_ALREADY_SENT)
        answer: FirstResponse = Err(_UNKNOWN)
        keep = False
        try:
            answer, keep = self._run_first(claim, site, send)
            return answer
        finally:
            self._keeper.finish(claim, answer, keep=keep)

    def _run_first(
        self, claim: Claim, site: str, send: Callable[[], FirstResponse]
    ) -> tuple[FirstResponse, bool]:
        """Claim and send; also says whether the answer is the request's own."""
        ask = ClaimRequest(id=f"{claim.claimant}.claim", site=site, claim=claim)
        match self._desk.claim(ask, CLAIM_WAIT_S):
            case ClaimOutcome.FRESH:
                pass
            case ClaimOutcome.MISMATCH:
                return Err(_MISMATCH), False
            case ClaimOutcome.TAKEN:
                return Err(_ALREADY_SENT), False
            case _:
                self._withdraw_later(ask)
                return Err(_UNAVAILABLE), False
        answer = send()
        if isinstance(answer, Err) and answer.err_value.execution is Execution.NOT_RUN:
            self._withdraw_later(ask)
            return answer, False
        return answer, True

    def _withdraw_later(self, ask: ClaimRequest) -> None:
        withdrawal = evolve(ask, id=f"{ask.claim.claimant}.withdraw", withdraw=True)
        with self._lock:
            until = monotonic() + WITHDRAW_FOR_S
            self._withdrawals.append(_Withdrawal(withdrawal, until))

    def _withdraw_all(self) -> None:
        while not self._stopping.wait(WITHDRAW_EVERY_S):
            with self._lock:
                due, self._withdrawals = self._withdrawals, []
            for withdrawal in due:
                outcome = self._desk.claim(withdrawal.ask, CLAIM_WAIT_S)
                if outcome is not ClaimOutcome.WITHDRAWN and monotonic() < withdrawal.until:
                    with self._lock:
                        self._withdrawals.append(withdrawal)


def _replay(first: FirstResponse) -> FirstResponse:
    match first:
        case Ok(CallerResponse() as answer):
            return Ok(evolve(answer, headers={**answer.headers, REPLAYED_HEADER: "true"}))
        case _:
            return first


_MISMATCH = Refusal(
    status=422,
    code="idempotency_key_reused",
    message="this Idempotency-Key was used for another request",
    remedy="use a new key for a new request",
)
_ALREADY_SENT = Refusal(
    status=409,
    code="already_sent",
    message="a request with this Idempotency-Key was sent before, and its answer is not kept here",
    remedy="find out whether it was run; it is not sent a second time under this key",
    execution=Execution.UNKNOWN,
)
_UNAVAILABLE = Refusal(
    status=503,
    code="claim_unavailable",
    message="the request could not be claimed, so it was not sent",
    remedy="send it again with the same Idempotency-Key after the time given",
    retry_after_s=RETRY_AFTER_S,
)
_UNKNOWN = Refusal(
    status=502,
    code="outcome_unknown",
    message="this host failed while the request was under way",
    remedy="find out whether it was run before sending it again",
    execution=Execution.UNKNOWN,
)
