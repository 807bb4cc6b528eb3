"""The attempts of a request at upstreams, until one of them answers it.

A request that may have run is retried only if it is idempotent. One that is known not to have run
may be sent to another upstream, within its route's ``max_attempts`` and the fleet's retry budget.

An idempotent request whose upstream falls silent is sent to another one as well. The silent attempt
goes on until the other has begun to answer, so that nothing is lost if that one refuses.
"""

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field

from cherrylane.http.responder import Responder
from cherrylane.limits.retries import HostRetryBudget
from cherrylane.placement.choice import Choice
from cherrylane.placement.loads import Load, LoadTracker
from cherrylane.placement.speeds import USUAL_SPEED
from cherrylane.relay._attempt_log import (
    log_choice,
    log_failed_attempt,
    log_fault,
    log_stall,
    log_unbound,
)
from cherrylane.relay._diversion_log import DiversionLog
from cherrylane.relay.crashes import BrokenAttempt, CrashGuard
from cherrylane.relay.forwarding import Forwarder
from cherrylane.relay.outcomes import (
    Answered,
    Broken,
    Cause,
    Completed,
    Failed,
    NotRun,
    Outcome,
    Rejection,
    Superseded,
    Unknown,
)
from cherrylane.relay.race import Attempt, AttemptRace, DeadlineReached, Ended, Stalled
from cherrylane.relay.refusals import (
    RETRY_ELSEWHERE_S,
    RETRY_ORIGIN_UNKNOWN_S,
    NoChoice,
    Refusals,
)
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection import UpstreamSelector
from cherrylane.relay.state import AttemptRecord, RequestState
from cherrylane.relay.stopping import FinalOutcome, PlannedStop, Stopping
from cherrylane.relay.stream_origins import (
    StreamBinder,
    StreamOrigin,
    UnconfirmedOrigin,
    UnknownOrigin,
)
from cherrylane.routing.snapshot import Snapshot

# Number of unreachable upstreams after which a request is abandoned.
MAX_UNREACHABLE = 4
# Attempts of one request that may be in progress at once.
MAX_CONCURRENT = 2


@define
class AttemptRunner:
    """Runs the attempts of requests.

    ``load_tracker`` counts the requests in progress; ``find_retry_budget`` returns the budget of a
    service. ``crash_guard`` refuses requests that crash upstreams, and ``stream_binder`` finds
    where a stream has to go on. ``stop`` says whether an attempt ends before this host does.
    """

    selector: UpstreamSelector
    forwarder: Forwarder
    load_tracker: LoadTracker
    read_snapshot: Callable[[], Snapshot]
    find_retry_budget: Callable[[str], HostRetryBudget]
    crash_guard: CrashGuard = field(factory=CrashGuard)
    stream_binder: StreamBinder = field(factory=StreamBinder)
    stop: PlannedStop = field(factory=PlannedStop)
    _refusals: Refusals = field(init=False)
    _diversion_log: DiversionLog = field(init=False, factory=DiversionLog)

    @_refusals.default
    def _make_refusals(self) -> Refusals:
        return Refusals(self.selector, self.read_snapshot, self.stop)

    async def run(self, state: RequestState, responder: Responder) -> FinalOutcome:
        """Return the final outcome; a stream has been relayed by then."""
        refusal = await self._bind(state)
        if refusal is not None:
            return refusal
        self.find_retry_budget(state.request.service).deposit()
        race = AttemptRace(lambda attempt: self._record_superseded(state, attempt))
        try:
            while True:
                if not race.running:
                    if asyncio.get_running_loop().time() >= state.request.deadline:
                        return self._refusals.give_up(state, responder, Cause.TIMED_OUT)
                    choice = self._choose_upstream(state)
                    if not isinstance(choice, Choice):
                        return self._refusals.give_up_without_choice(state, responder, choice)
                    self._start(state, responder, race, choice)
                match await race.wait(state.request.deadline):
                    case DeadlineReached():
                        return self._time_out(state, responder, race)
                    case Stalled(attempt):
                        self._handle_stall(state, responder, race, attempt)
                    case Ended(attempt) as ended:
                        outcome = _read_outcome(state, ended, race, responder)
                        self._record_attempt(state, attempt, outcome)
                        final = await self._handle_end(state, responder, race, attempt, outcome)
                        if final is not None:
                            return final
        finally:
            # Attempts in progress may have been sent.
            state.may_have_run |= bool(race.cancel())
            self.stream_binder.record_ended(state.request)

    async def _bind(self, state: RequestState) -> Rejection | None:
        """Bind a stream that the caller takes up to the version that began it.

        Returns the rejection if that is not known, or if the route's services do not run it.
        """
        request = state.request
        match await self.stream_binder.bind(request, asyncio.get_running_loop().time()):
            case UnknownOrigin():
                log_unbound(request, "several versions may have begun it")
                return Rejection(Cause.ORIGIN_UNKNOWN, retry_after_s=RETRY_ORIGIN_UNKNOWN_S)
            case UnconfirmedOrigin():
                log_unbound(request, "neither the store nor a peer confirms the only known version")
                return Rejection(Cause.ORIGIN_UNKNOWN, retry_after_s=RETRY_ELSEWHERE_S)
            case StreamOrigin(service=service) as origin:
                if service not in {share.service for share in request.route.shares}:
                    return Rejection(Cause.ORIGIN_GONE)
                state.origin = origin
                state.request = evolve(request, service=service)
        return None

    def _start(
        self, state: RequestState, responder: Responder, race: AttemptRace, choice: Choice
    ) -> None:
        last_event = state.progress.last_id
        number = len(state.tried) + 1
        snapshot = self.read_snapshot()
        log_choice(state.request, number, last_event, choice, snapshot)
        self._diversion_log.record(state.request, choice, snapshot)
        self.selector.record_dispatch(choice.upstream, asyncio.get_running_loop().time())
        name = choice.upstream.name
        state.tried.add(name)
        in_flight = self.load_tracker.begin(name, Load(1, choice.unread_tokens))
        attempt = race.start(
            choice,
            in_flight,
            lambda attempt: self.forwarder.forward(state, attempt, race, responder),
        )
        attempt.trace.attempt = number

    async def _handle_end(
        self,
        state: RequestState,
        responder: Responder,
        race: AttemptRace,
        attempt: Attempt,
        outcome: Outcome,
    ) -> FinalOutcome | None:
        """Return the final outcome, or None if the request goes on with this or another attempt."""
        match outcome:
            case Answered() | Completed():
                race.claim(attempt)
                return outcome
            case NotRun(was_sent=False, was_withheld=was_withheld):
                state.unreachable += not was_withheld
                if race.running:
                    # Another one is due only if this one was started beside a silent one.
                    if any(other.stalls for other in race.running):
                        self._start_hedge(state, responder, race)
                elif state.unreachable >= MAX_UNREACHABLE:
                    return self._refusals.give_up(state, responder, Cause.NO_UPSTREAM)
            case _:
                state.record(outcome)
                if race.running:
                    return None
                if not self._may_retry(state, outcome):
                    return self._refusals.give_up(state, responder, Cause.NOT_ACCEPTED)
                await self.crash_guard.wait_for_probe(attempt.choice.upstream)
                if state.may_have_run and not self.crash_guard.may_retry(state.request):
                    return self._refusals.give_up(state, responder, Cause.OUTCOME_UNKNOWN)
        return None

    def _handle_stall(
        self, state: RequestState, responder: Responder, race: AttemptRace, attempt: Attempt
    ) -> None:
        """Start another attempt beside one that makes no progress, if there may be one."""
        if not attempt.stalls:
            return
        budget = self.find_retry_budget(state.request.service)
        is_hedged = (
            self._may_hedge(state, race)
            and budget.has_retry
            and self._start_hedge(state, responder, race)
        )
        if is_hedged:
            budget.withdraw()
        if is_hedged or attempt.stalls == 1:
            log_stall(state.request, attempt.choice.upstream.name, is_tried_elsewhere=is_hedged)

    def _may_hedge(self, state: RequestState, race: AttemptRace) -> bool:
        route = state.request.route
        running = len(race.running)
        now = asyncio.get_running_loop().time()
        return (
            route.is_idempotent
            and state.progress.can_go_on
            and not self.selector.throughput_of(state.request.service).is_overloaded(now)
            and running < MAX_CONCURRENT
            and state.times_sent + running < route.max_attempts
        )

    def _start_hedge(self, state: RequestState, responder: Responder, race: AttemptRace) -> bool:
        """Start an attempt beside the one in progress, if the request may have another one."""
        if state.unreachable >= MAX_UNREACHABLE or not self.crash_guard.may_retry(state.request):
            return False
        choice = self._choose_upstream(state)
        if not isinstance(choice, Choice):
            return False
        self._start(state, responder, race, choice)
        return True

    def _choose_upstream(self, state: RequestState) -> Choice | NoChoice:
        """Return the upstream for the next attempt, or why there is none."""
        request = state.request
        now = asyncio.get_running_loop().time()
        if not self.stop.can_end(request, now):
            return Stopping()
        refusal = self.crash_guard.find_refusal(request, now)
        if refusal is not None:
            return refusal
        return self.selector.choose(request, self.read_snapshot(), state.tried, now, state.origin)

    def _may_retry(self, state: RequestState, outcome: Outcome) -> bool:
        request = state.request
        if not isinstance(outcome, NotRun) and not request.route.is_idempotent:
            return False
        if not state.progress.can_go_on:
            return False
        if state.times_sent >= request.route.max_attempts:
            return False
        if asyncio.get_running_loop().time() >= request.deadline:
            return False
        return self.find_retry_budget(request.service).withdraw()

    def _time_out(
        self, state: RequestState, responder: Responder, race: AttemptRace
    ) -> FinalOutcome:
        """End the attempts in progress at the request's deadline."""
        late = (
            Broken("silent", was_late=True)
            if responder.started
            else Unknown("no answer in time", was_late=True)
        )
        cancelled = race.cancel()
        for attempt in cancelled:
            # An attempt that was started beside a silent one may have had little time.
            is_late = attempt.stalls > 0 or len(cancelled) == 1
            outcome = late if is_late else Superseded("the deadline came first", has_stalled=False)
            self._record_attempt(state, attempt, outcome)
            state.record(outcome)
        return self._refusals.give_up(state, responder, Cause.TIMED_OUT)

    def _record_superseded(self, state: RequestState, attempt: Attempt) -> None:
        outcome = Superseded("another attempt went on first", has_stalled=attempt.stalls > 0)
        self._record_attempt(state, attempt, outcome)
        state.record(outcome)

    def _record_attempt(self, state: RequestState, attempt: Attempt, outcome: Outcome) -> None:
        if not isinstance(outcome, NotRun) or outcome.was_sent:
            state.times_sent += 1
        now = asyncio.get_running_loop().time()
        upstream = attempt.choice.upstream
        answered_at = attempt.in_flight.answered_at
        self._record_health(state.request, attempt, outcome, now)
        match outcome:
            case Answered() | Completed():
                service = state.request.service
                self.selector.throughput_of(service).record_end(
                    now - attempt.started_at,
                    load=attempt.choice.load.requests,
                    slots=max(1, upstream.slots),
                )
                self.crash_guard.record_complete(state.request, answered_at)
            case Unknown() | Broken():
                self.crash_guard.record_broken(
                    BrokenAttempt(state.request, upstream, attempt.started_at, answered_at)
                )
        seconds = now - attempt.started_at
        record = AttemptRecord(upstream.name, type(outcome).__name__, seconds, attempt.trace)
        state.attempts.append(record)
        if not isinstance(outcome, Answered | Completed):
            log_failed_attempt(state.request, record, outcome, answered_at is not None)

    def _record_health(
        self, request: CallerRequest, attempt: Attempt, outcome: Outcome, now: float
    ) -> None:
        outliers, upstream = self.selector.outliers, attempt.choice.upstream
        match outcome:
            case NotRun(was_withheld=True):
                return
            case Unknown(was_late=True) | Broken(was_late=True):
                self.selector.record_silence(upstream)
            case NotRun(was_sent=False) | Unknown(was_answered=False) | Broken():
                self.selector.record_connection_failure(upstream, now)
        match outcome:
            case Answered() | Completed():
                outliers.record_success(upstream.name, now)
            case NotRun(was_sent=False) | NotRun(was_misdirected=True):
                outliers.record_unreachable(upstream.name, now)
            case Superseded(has_stalled=False):
                pass
            case Failed() | NotRun():
                outliers.record_failure(upstream.name, self._list_names(request), now)
            case _:
                # A slow machine explains silence, and no other failure.
                speed = attempt.choice.speed if attempt.stalls else USUAL_SPEED
                names = self._list_names(request)
                outliers.record_broken(upstream.name, names, now, speed=speed)

    def _list_names(self, request: CallerRequest) -> list[str]:
        listed = self.read_snapshot().list_upstreams(request.service)
        return [known.upstream.name for known in listed]


def _read_outcome(
    state: RequestState, ended: Ended, race: AttemptRace, responder: Responder
) -> Outcome:
    """Return the outcome of an attempt; a whole answer is none to a stream that has begun.

    Raises the exception that the attempt has failed with, unless another one is in progress.
    """
    try:
        outcome = ended.read_outcome()
    except Exception as error:
        if not race.running:
            raise
        log_fault(state.request, ended.attempt.choice.upstream.name, error)
        return Unknown(f"the attempt failed here: {type(error).__name__}")
    if isinstance(outcome, Answered) and responder.started:
        return Broken(f"no stream to resume: status {outcome.head.status}")
    return outcome
