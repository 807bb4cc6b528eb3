"""Sends a request that may not be repeated only after its idempotency key was claimed."""

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

CLAIM_TIMEOUT_S = 3.0
FIRST_RESPONSE_TIMEOUT_S = 10.0
RETRY_AFTER_S = 2.0
WITHDRAW_INTERVAL_S = 1.0
WITHDRAW_TIMEOUT_S = 600.0
# Seconds that a stop spends on withdrawals.
STOP_TIMEOUT_S = 3.0
REPLAYED_HEADER = "Cherrylane-Replayed"

log = Logger("cherrylane.idempotency")


class ClaimClient(Protocol):
    """The interface through which claims are made."""

    def claim(self, request: ClaimRequest, wait_s: float) -> ClaimOutcome:
        """Make or withdraw a claim, waiting at most ``wait_s`` seconds for the result."""


@frozen
class _Withdrawal:
    request: ClaimRequest
    deadline: float


class IdempotencyGuard:
    """Runs claimed requests, at most once for each idempotency key.

    If a request was certainly not run, its claim is withdrawn, so that the caller can retry. While
    the platform is unavailable, the withdrawal is retried for ten minutes.
    """

    def __init__(self, client: ClaimClient) -> None:
        self._client = client
        self._cache = ResponseCache()
        self._withdrawals: list[_Withdrawal] = []
        self._lock = Lock()
        self._stopping = Event()
        self._thread = Thread(target=self._run_withdrawals, name="withdrawals", daemon=True)

    def start(self) -> None:
        """Start the thread that withdraws claims."""
        self._thread.start()

    def stop(self) -> None:
        """Withdraw what is queued once more, and stop the thread.

        A claim that cannot be withdrawn remains, so that its key is never run; that is logged.
        """
        deadline = monotonic() + STOP_TIMEOUT_S
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)
        with self._lock:
            queued, self._withdrawals = self._withdrawals, []
        remaining = [
            withdrawal
            for withdrawal in queued
            if monotonic() >= deadline or not self._withdraw(withdrawal)
        ]
        if remaining:
            log.warning(f"{len(remaining)} claims of requests that were not run remain")

    def run(self, claim: Claim, send: Callable[[], FirstResponse], *, site: str) -> FirstResponse:
        """Return the response of ``send``, or the result of an earlier request with this key.

        ``site`` is the site of the service, so that all hosts store its claims in the same shards.
        """
        earlier = self._cache.reserve(claim)
        if earlier is not None:
            if earlier.digest != claim.digest:
                return Err(_MISMATCH)
            first = earlier.wait(FIRST_RESPONSE_TIMEOUT_S)
            return _mark_replayed(first) if first is not None else Err(_ALREADY_SENT)
        response: FirstResponse = Err(_UNKNOWN)
        keep = False
        try:
            response, keep = self._run_first(claim, site, send)
            return response
        finally:
            self._cache.finish(claim, response, keep=keep)

    def _run_first(
        self, claim: Claim, site: str, send: Callable[[], FirstResponse]
    ) -> tuple[FirstResponse, bool]:
        """Claim the key and send the request.

        Returns the response, and whether it is the outcome of running the request, so may be kept.
        """
        request = ClaimRequest(id=f"{claim.claimant}.claim", site=site, claim=claim)
        match self._client.claim(request, CLAIM_TIMEOUT_S):
            case ClaimOutcome.FRESH:
                pass
            case ClaimOutcome.MISMATCH:
                return Err(_MISMATCH), False
            case ClaimOutcome.TAKEN:
                return Err(_ALREADY_SENT), False
            case _:
                self._queue_withdrawal(request)
                return Err(_UNAVAILABLE), False
        response = send()
        if isinstance(response, Err) and response.err_value.execution is Execution.NOT_RUN:
            self._queue_withdrawal(request)
            return response, False
        return response, True

    def _queue_withdrawal(self, request: ClaimRequest) -> None:
        withdrawal = evolve(request, id=f"{request.claim.claimant}.withdraw", withdraw=True)
        with self._lock:
            deadline = monotonic() + WITHDRAW_TIMEOUT_S
            self._withdrawals.append(_Withdrawal(withdrawal, deadline))

    def _run_withdrawals(self) -> None:
        while not self._stopping.wait(WITHDRAW_INTERVAL_S):
            with self._lock:
                due, self._withdrawals = self._withdrawals, []
            for withdrawal in due:
                is_done = not self._stopping.is_set() and self._withdraw(withdrawal)
                if not is_done and monotonic() < withdrawal.deadline:
                    with self._lock:
                        self._withdrawals.append(withdrawal)

    def _withdraw(self, withdrawal: _Withdrawal) -> bool:
        outcome = self._client.claim(withdrawal.request, CLAIM_TIMEOUT_S)
        return outcome is ClaimOutcome.WITHDRAWN


def _mark_replayed(first: FirstResponse) -> FirstResponse:
    match first:
        case Ok(CallerResponse() as response):
            return Ok(evolve(response, headers={**response.headers, REPLAYED_HEADER: "true"}))
        case _:
            return first


_MISMATCH = Refusal(
    status=422,
    code="idempotency_key_reused",
    message="this Idempotency-Key was used with a different request",
    remedy="use a new key for a new request",
)
_ALREADY_SENT = Refusal(
    status=409,
    code="already_sent",
    message="a request with this Idempotency-Key was sent before; its response is not available",
    remedy="check whether it was run; it is never sent twice with the same key",
    execution=Execution.UNKNOWN,
)
_UNAVAILABLE = Refusal(
    status=503,
    code="claim_unavailable",
    message="storing the Idempotency-Key was not confirmed, so the request was not sent",
    remedy="send it again with the same key after the time in Retry-After",
    retry_after_s=RETRY_AFTER_S,
)
_UNKNOWN = Refusal(
    status=502,
    code="outcome_unknown",
    message="this host failed while it processed the request",
    remedy="check whether it was run before sending it again",
    execution=Execution.UNKNOWN,
)
