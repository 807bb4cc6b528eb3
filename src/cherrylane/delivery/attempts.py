"""Sends a request to the engine it was granted, and retries on another engine on failure."""

from collections.abc import Callable
from socket import socket
from time import perf_counter

from attrs import define, evolve, field, frozen
from logbook import Logger
from result import Err, Ok, Result

from cherrylane.delivery.admission import AdmissionClient
from cherrylane.delivery.budget import RetryBudget
from cherrylane.delivery.exchange import Exchange, UpstreamClient, UpstreamRequest
from cherrylane.delivery.pools import request_grant
from cherrylane.delivery.usage import find_cached_tokens
from cherrylane.errors import Execution, Refusal, UpstreamError
from cherrylane.limits.work import (
    UNREPORTED,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
)
from cherrylane.membership.runners import Runner
from cherrylane.routing.view import FleetView, ServiceView
from cherrylane.telemetry.decisions import RoutingDecision, log_routing
from cherrylane.telemetry.metrics import Metrics

# Number of upstreams that a request is sent to at most.
MAX_ATTEMPTS = 3
# Number of upstreams that cannot be connected to after which a request is abandoned.
MAX_UNREACHABLE = 4
RETRY_AFTER_S = 1.0
NOT_RUN_STATUSES = frozenset({429, 503})

log = Logger("cherrylane.delivery")


@frozen
class DeliveryTask:
    """A request to deliver: the admission request to the home, and what is sent to the engine.

    A ``repeatable`` task may be sent to another upstream after one that may have run it.
    """

    admission_request: AdmissionRequest
    request: UpstreamRequest
    request_id: str
    repeatable: bool
    caller: socket | None = None


@define
class GrantedExchange:
    """An exchange whose response has started, with the grant that it runs under.

    ``outcome`` is reported to the home when the grant is released.
    """

    grant: Grant
    exchange: Exchange
    release: Callable[[Grant, GrantOutcome], None] = field(repr=False)
    outcome: GrantOutcome = UNREPORTED

    def finish(self) -> None:
        """Close the exchange and release the grant; may be called more than once."""
        self.exchange.close()
        self.release(self.grant, self.outcome)

    def record_failure(self) -> None:
        """Record that the response was not complete or was an error."""
        self.outcome = GrantOutcome(failed=True)

    def record_usage(self, response_end: bytes) -> None:
        """Record how many prompt tokens the engine had cached, read from the end of a response."""
        self.outcome = GrantOutcome(found_tokens=find_cached_tokens(response_end))


@frozen
class FailedAttempt:
    """Why an upstream gave no response; ``unreachable`` if it could not be connected to."""

    refusal: Refusal
    unreachable: bool = False


class AttemptRunner:
    """Delivers tasks to upstreams, with a limited number of attempts for each."""

    def __init__(
        self, admission: AdmissionClient, upstreams: UpstreamClient, metrics: Metrics
    ) -> None:
        self._admission = admission
        self._upstreams = upstreams
        self._metrics = metrics
        self._budget = RetryBudget()

    def run(
        self, task: DeliveryTask, view: FleetView, service: ServiceView
    ) -> Result[GrantedExchange, Refusal]:
        """Send ``task`` to an upstream, in at most ``MAX_ATTEMPTS`` attempts.

        A task is tried again only if it was certainly not run or is repeatable, and while the retry
        budget allows it. An upstream that cannot be connected to received nothing, so it counts as
        no attempt and takes nothing from the budget; ``MAX_UNREACHABLE`` of them end the search.

        Raises :class:`CallerDisconnectedError` when the caller disconnects before the response
        starts.
        """
        self._budget.deposit()
        excluded: tuple[str, ...] = ()
        refusal: Refusal | None = None
        sent = unreachable = 0
        while sent < MAX_ATTEMPTS and unreachable < MAX_UNREACHABLE:
            attempt_id = f"{task.request_id}.{len(excluded) + 1}"
            admission_request = evolve(task.admission_request, id=attempt_id, excluded=excluded)
            match request_grant(
                admission_request,
                service,
                lambda pool_request: self._admit(task, pool_request, view),
            ):
                case Err(admission_refusal):
                    return Err(refusal or convert_admission_refusal(admission_refusal))
                case Ok(grant):
                    outcome = self._run_attempt(task, grant, service)
            match outcome:
                case Ok(granted):
                    return Ok(granted)
                case Err(failed):
                    refusal = _choose_refusal(refusal, failed.refusal)
            if failed.unreachable:
                unreachable += 1
            else:
                sent += 1
                if not self._may_retry(task, refusal):
                    return Err(refusal)
            excluded = (*excluded, grant.engine)
            self._metrics.count("retries", service.entry.name)
        message = f"service {service.entry.name} has no live upstream for this request"
        return Err(refusal or _make_not_run_refusal("no_upstream", message))

    def _may_retry(self, task: DeliveryTask, refusal: Refusal) -> bool:
        if refusal.execution is not Execution.NOT_RUN and not task.repeatable:
            return False
        if self._budget.withdraw():
            return True
        self._metrics.count("refusals", "retry_budget")
        return False

    def _admit(
        self, task: DeliveryTask, admission_request: AdmissionRequest, view: FleetView
    ) -> Result[Grant, AdmissionRefusal]:
        started = perf_counter()
        result = self._admission.admit(admission_request)
        elapsed = perf_counter() - started
        self._metrics.decision.record(elapsed)
        home = view.homes.get(admission_request.pool)
        decision = RoutingDecision(
            request=task.request_id,
            chat=f"{admission_request.chat:016x}",
            account=admission_request.account.name,
            service=admission_request.pool.service,
            upstream="",
            attempt=len(admission_request.excluded) + 1,
            reason="",
            home=home.name if home else "",
            decision_ms=round(elapsed * 1000, 3),
        )
        match result:
            case Ok(grant):
                log_routing(
                    evolve(
                        decision,
                        upstream=grant.engine,
                        reason=grant.reason,
                        work=round(grant.work, 1),
                        cached_tokens=grant.cached_tokens,
                    )
                )
            case Err(admission_refusal):
                log_routing(evolve(decision, reason=f"refused: {admission_refusal.code}"))
        return result

    def _run_attempt(
        self, task: DeliveryTask, grant: Grant, service: ServiceView
    ) -> Result[GrantedExchange, FailedAttempt]:
        runner = service.runners.get(grant.engine)
        if runner is None:
            self._admission.release(grant)
            message = f"upstream {grant.engine} is not yet listed on this host"
            return Err(FailedAttempt(_make_not_run_refusal("upstream_not_listed", message)))
        try:
            exchange = self._upstreams.open(runner, task.request, caller=task.caller)
        except UpstreamError as error:
            self._admission.release(
                grant, GrantOutcome(unreachable=not error.sent, failed=error.sent)
            )
            log.warning(f"attempt failed: {error}", extra={"request": task.request_id})
            return Err(FailedAttempt(refuse_upstream(error, runner), unreachable=not error.sent))
        except BaseException:
            self._admission.release(grant)
            raise
        granted = GrantedExchange(grant, exchange, self._admission.release)
        # The response to a request that may not run twice is never interpreted: a 429 or 503 may
        # follow a side effect, so it does not prove that the request was not run.
        if task.repeatable and exchange.status in NOT_RUN_STATUSES:
            granted.record_failure()
            granted.finish()
            message = f"upstream {runner.name} declined the request with status {exchange.status}"
            return Err(FailedAttempt(_make_not_run_refusal("upstream_declined", message)))
        return Ok(granted)


def _choose_refusal(earlier: Refusal | None, latest: Refusal) -> Refusal:
    """Return the refusal that holds for all attempts: one that may have run stays so."""
    if earlier is not None and earlier.execution is Execution.UNKNOWN:
        return earlier
    return latest


def convert_admission_refusal(admission_refusal: AdmissionRefusal) -> Refusal:
    """Return the refusal for a request that the home admitted to no engine."""
    return Refusal(
        status=503,
        code=admission_refusal.code,
        message=admission_refusal.message,
        remedy="send the request again after the time in Retry-After",
        execution=Execution.NOT_RUN,
        retry_after_s=max(admission_refusal.retry_after_s, RETRY_AFTER_S),
    )


def refuse_upstream(error: UpstreamError, runner: Runner) -> Refusal:
    """Return the refusal for a request whose upstream failed before its response was complete."""
    if not error.sent:
        message = f"upstream {runner.name} could not be reached"
        return _make_not_run_refusal("upstream_unreachable", message)
    return Refusal(
        status=502,
        code="outcome_unknown",
        message=f"upstream {runner.name} may have run the request but sent no complete response",
        remedy="check whether the request was run before sending it again",
        execution=Execution.UNKNOWN,
    )


def _make_not_run_refusal(code: str, message: str) -> Refusal:
    return Refusal(
        status=503,
        code=code,
        message=message,
        remedy="send the request again after the time in Retry-After",
        execution=Execution.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
