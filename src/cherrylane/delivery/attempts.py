"""Attempts: a grant, an exchange with the granted engine, and another engine if it failed."""

from collections.abc import Callable
from socket import socket
from time import perf_counter

from attrs import define, evolve, field, frozen
from logbook import Logger
from result import Err, Ok, Result

from cherrylane.delivery.admission import AdmissionDesk
from cherrylane.delivery.budget import RetryBudget
from cherrylane.delivery.exchange import Exchange, UpstreamClient, UpstreamRequest
from cherrylane.delivery.pools import ask_pools
from cherrylane.delivery.usage import find_cached_tokens
from cherrylane.errors import Execution, Refusal, UpstreamError
from cherrylane.limits.work import UNREPORTED, Ask, Busy, Grant, GrantOutcome
from cherrylane.membership.runners import Runner
from cherrylane.routing.view import FleetView, ServiceView
from cherrylane.telemetry.decisions import RoutingDecision, log_routing
from cherrylane.telemetry.metrics import Metrics

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
STATUSES_NOT_RUN = frozenset({429, 503})

log = Logger("cherrylane.delivery")


@frozen
class Task:
    """One request on its way: what is asked of the home, and what is sent to the engine.

    A ``repeatable`` task may be sent to another upstream after one that may have run it.
    """

    ask: Ask
    request: UpstreamRequest
    request_id: str
    repeatable: bool
    caller: socket | None = None


@define
class Delivered:
    """An exchange whose answer has begun, under its grant.

    ``outcome`` is what the home will be told when the grant is given back.
    """

    grant: Grant
    exchange: Exchange
    release: Callable[[Grant, GrantOutcome], None] = field(repr=False)
    outcome: GrantOutcome = UNREPORTED

    def finish(self) -> None:
        """End the exchange and give the grant back; may be called more than once."""
        self.exchange.close()
        self.release(self.grant, self.outcome)

    def note_failure(self) -> None:
        """Record that the answer broke off."""
        self.outcome = GrantOutcome(failed=True)

    def note_usage(self, answer: bytes) -> None:
        """Read from the end of an answer how much of the prompt was found cached."""
        self.outcome = GrantOutcome(found_tokens=find_cached_tokens(answer))


class Attempts:
    """Carries tasks to upstreams."""

    def __init__(self, desk: AdmissionDesk, upstreams: UpstreamClient, metrics: Metrics) -> None:
        self._desk = desk
        self._upstreams = upstreams
        self._metrics = metrics
        self._budget = RetryBudget()

    def run(self, task: Task, view: FleetView, service: ServiceView) -> Result[Delivered, Refusal]:
        """Bring ``task`` to an upstream; at most ``MAX_ATTEMPTS`` times.

        Raises :class:`CallerDisconnectedError` when the caller leaves while the upstream works.
        """
        self._budget.deposit()
        excluded: tuple[str, ...] = ()
        last: Refusal | None = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            ask = evolve(task.ask, id=f"{task.request_id}.{attempt}", excluded=excluded)
            match ask_pools(ask, service, lambda asked: self._admit(task, asked, view)):
                case Err(busy):
                    return Err(last or refuse_busy(busy))
                case Ok(grant):
                    outcome = self._try_once(task, grant, service)
            match outcome:
                case Ok(delivered):
                    return Ok(delivered)
                case Err(refusal):
                    last = refusal
            if refusal.execution is not Execution.NOT_RUN and not task.repeatable:
                return Err(refusal)
            if not self._budget.withdraw():
                self._metrics.count("refusals", "retry_budget")
                return Err(refusal)
            excluded = (*excluded, grant.engine)
            self._metrics.count("retries", service.entry.name)
        message = f"service {service.entry.name} has no live upstream for this request"
        return Err(last or _refuse_not_run("no_upstream", message))

    def _admit(self, task: Task, ask: Ask, view: FleetView) -> Result[Grant, Busy]:
        started = perf_counter()
        result = self._desk.admit(ask)
        elapsed = perf_counter() - started
        self._metrics.decision.record(elapsed)
        home = view.homes.get(ask.pool)
        decision = RoutingDecision(
            request=task.request_id,
            chat=f"{ask.chat:016x}",
            account=ask.account.name,
            service=ask.pool.service,
            upstream="",
            attempt=len(ask.excluded) + 1,
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
            case Err(busy):
                log_routing(evolve(decision, reason=f"refused: {busy.code}"))
        return result

    def _try_once(
        self, task: Task, grant: Grant, service: ServiceView
    ) -> Result[Delivered, Refusal]:
        runner = service.runners.get(grant.engine)
        if runner is None:
            self._desk.release(grant)
            message = f"upstream {grant.engine} is not known to this host yet"
            return Err(_refuse_not_run("upstream_not_listed", message))
        try:
            exchange = self._upstreams.open(runner, task.request, caller=task.caller)
        except UpstreamError as error:
            self._desk.release(grant, GrantOutcome(unreachable=not error.sent, failed=error.sent))
            log.warning(f"attempt failed: {error}", extra={"request": task.request_id})
            return Err(refuse_upstream(error, runner))
        except BaseException:
            self._desk.release(grant)
            raise
        delivered = Delivered(grant, exchange, self._desk.release)
        # Of a request that may not run twice, an upstream's own answer is never interpreted.
        if task.repeatable and exchange.status in STATUSES_NOT_RUN:
            delivered.note_failure()
            delivered.finish()
            message = (
                f"upstream {runner.name} answered {exchange.status} and did not run the request"
            )
            return Err(_refuse_not_run("upstream_declined", message))
        return Ok(delivered)


def refuse_busy(busy: Busy) -> Refusal:
    """Return the refusal for a request that no engine was granted to."""
    return Refusal(
        status=503,
        code=busy.code,
        message=busy.message,
        remedy="send the request again after the time given",
        execution=Execution.NOT_RUN,
        retry_after_s=max(busy.retry_after_s, RETRY_AFTER_S),
    )


def refuse_upstream(error: UpstreamError, runner: Runner) -> Refusal:
    """Return the refusal for a request whose upstream failed before it answered."""
    if not error.sent:
        message = f"upstream {runner.name} could not be reached"
        return _refuse_not_run("upstream_unreachable", message)
    return Refusal(
        status=502,
        code="outcome_unknown",
        message=f"upstream {runner.name} took the request, but its answer did not come",
        remedy="find out whether it was run before sending it again",
        execution=Execution.UNKNOWN,
    )


def _refuse_not_run(code: str, message: str) -> Refusal:
    return Refusal(
        status=503,
        code=code,
        message=message,
        remedy="send the request again after the time given",
        execution=Execution.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
