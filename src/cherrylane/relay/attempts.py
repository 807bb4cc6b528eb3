"""Sequential attempts at upstreams until a request is answered.

A request that may have run is retried only if it is idempotent. One that is known not to have run
may be sent to another upstream, within its route's ``max_attempts`` and the fleet's retry budget.
"""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field

from cherrylane.http.messages import ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.limits.overload import RetryDelays
from cherrylane.limits.retries import HostRetryBudget
from cherrylane.placement.choice import Choice
from cherrylane.placement.loads import InFlightRequest, Load, LoadTracker
from cherrylane.platform.headers import Dispatch, is_leaving, read_backoff
from cherrylane.relay._attempt_log import (
    log_backoff,
    log_choice,
    log_failed_attempt,
    log_overload,
    log_stall,
)
from cherrylane.relay.admission import is_stream
from cherrylane.relay.crashes import BrokenAttempt, CrashGuard
from cherrylane.relay.exchange import ExchangeClient, OpenAnswer, is_success, may_be_events
from cherrylane.relay.outcomes import (
    Answered,
    Broken,
    Cause,
    Completed,
    Failed,
    NotRun,
    Outcome,
    Rejection,
    Unknown,
)
from cherrylane.relay.patience import MoveTimer
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection import AllBackingOff, Overloaded, UpstreamSelector
from cherrylane.relay.streams import StreamProgress, StreamRelay
from cherrylane.routing.snapshot import Snapshot
from cherrylane.routing.upstreams import Upstream

# Number of unreachable upstreams after which a request is abandoned.
MAX_UNREACHABLE = 4
# Fraction of its target time after which a safe request is retried at another upstream.
SAFE_TIMEOUT_SHARE = 0.6
# Minimum seconds that an upstream has to answer a safe request.
MIN_SAFE_TIMEOUT_S = 0.06
# Multiple of its target time after which a resumable stream without any data is retried elsewhere.
STREAM_TIMEOUT_TARGETS = 3.0
# Retry-After, in seconds, by the reason why the request was not run.
RETRY_NOT_ACCEPTED_S = 0.25
RETRY_NO_UPSTREAM_S = 0.5
# Seconds over which callers are spread when an upstream accepts requests again.
BACKOFF_SPREAD_S = 0.25


@define
class AttemptRecord:
    """The log entry of one attempt."""

    upstream: str
    outcome: str
    seconds: float


@define
class RequestState:
    """The state of one request over all its attempts; ``framing`` is that of the last answer."""

    request: CallerRequest
    progress: StreamProgress
    tried: set[str] = field(factory=set)
    attempts: list[AttemptRecord] = field(factory=list)
    times_sent: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    failure: Failed | None = None
    framing: str = ""

    def note(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt that was sent but did not answer the request."""
        match outcome:
            case Failed():
                self.failure = outcome
            case Unknown() | Broken():
                self.may_have_run = True


@define
class AttemptRunner:
    """Runs the attempts of requests.

    ``load_tracker`` counts the requests in progress; ``find_retry_budget`` returns the budget of a
    service. ``crash_guard`` refuses prompts that crash upstreams. ``on_leaving`` is called with an
    upstream that says in an answer that it leaves.
    """

    selector: UpstreamSelector
    client: ExchangeClient
    load_tracker: LoadTracker
    read_snapshot: Callable[[], Snapshot]
    find_retry_budget: Callable[[str], HostRetryBudget]
    crash_guard: CrashGuard = field(factory=CrashGuard)
    on_leaving: Callable[[Upstream], None] = lambda upstream: None
    retry_delays: RetryDelays = field(factory=RetryDelays)
    random: Random = field(factory=Random)

    async def run(
        self, state: RequestState, responder: Responder
    ) -> Answered | Failed | Completed | Broken | Rejection:
        """Return the final outcome; a stream has been relayed by then."""
        request = state.request
        self.find_retry_budget(request.service).deposit()
        while True:
            choice = self._choose_upstream(state, responder)
            if not isinstance(choice, Choice):
                return choice
            outcome = await self._attempt(state, choice, responder)
            if isinstance(outcome, Answered) and responder.started:
                return Broken(f"no stream to resume: status {outcome.head.status}")
            match outcome:
                case Answered() | Completed():
                    return outcome
                case NotRun(was_sent=False):
                    state.unreachable += 1
                    if state.unreachable >= MAX_UNREACHABLE:
                        return self._give_up(state, responder, Cause.NO_UPSTREAM)
                case _:
                    state.note(outcome)
                    if not self._may_retry(state, outcome):
                        return self._give_up(state, responder, Cause.NOT_ACCEPTED)
                    await self.crash_guard.wait_for_probe(choice.upstream)

    def _choose_upstream(
        self, state: RequestState, responder: Responder
    ) -> Choice | Failed | Broken | Rejection:
        """Return the upstream for the next attempt, or the final outcome if there is none."""
        request = state.request
        now = asyncio.get_running_loop().time()
        if now >= request.deadline:
            return self._give_up(state, responder, Cause.TIMED_OUT)
        refusal = self.crash_guard.find_refusal(request, now)
        if refusal is not None:
            return self._give_up(state, responder, Cause.QUARANTINED, refusal.retry_after_s)
        snapshot = self.read_snapshot()
        choice = self.selector.choose(request, snapshot, state.tried, now)
        match choice:
            case None:
                return self._give_up(state, responder, Cause.NO_UPSTREAM)
            case Overloaded():
                return self._refuse(state, choice, snapshot)
            case AllBackingOff(first_end_s=first_end_s):
                delay_s = first_end_s + self.random.uniform(0.0, BACKOFF_SPREAD_S)
                return self._give_up(state, responder, Cause.BACKING_OFF, delay_s)
        log_choice(request, len(state.attempts) + 1, choice, snapshot)
        return choice

    def _may_retry(self, state: RequestState, outcome: Outcome) -> bool:
        request = state.request
        if not isinstance(outcome, NotRun) and not request.route.is_idempotent:
            return False
        if state.times_sent >= request.route.max_attempts:
            return False
        if asyncio.get_running_loop().time() >= request.deadline:
            return False
        return self.find_retry_budget(request.service).withdraw()

    def _can_move(self, state: RequestState, upstream: str) -> bool:
        """Return whether a request in progress could be sent to another upstream now."""
        request = state.request
        now = asyncio.get_running_loop().time()
        can_move = (
            request.route.is_idempotent
            and state.times_sent + 1 < request.route.max_attempts
            and self.find_retry_budget(request.service).has_retry
            and self.selector.has_another(request.service, self.read_snapshot(), state.tried, now)
        )
        log_stall(request, upstream, is_tried_elsewhere=can_move)
        return can_move

    async def _attempt(self, state: RequestState, choice: Choice, responder: Responder) -> Outcome:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        name = choice.upstream.name
        state.tried.add(name)
        in_flight = self.load_tracker.begin(name, Load(1, choice.unread_tokens))
        try:
            async with asyncio.timeout_at(state.request.deadline) as timeout:
                move_timer = MoveTimer(timeout, lambda: self._can_move(state, name))
                move_timer.restart(_find_patience(state.request))
                try:
                    outcome = await self._exchange(state, choice, responder, move_timer, in_flight)
                finally:
                    move_timer.stop()
        except TimeoutError:
            started = responder.started
            outcome = Broken("silent") if started else Unknown("no answer in time")
        finally:
            in_flight.end()
        if not isinstance(outcome, NotRun) or outcome.was_sent:
            state.times_sent += 1
        self._record_attempt(state, choice, outcome, started_at, in_flight.answered_at)
        return outcome

    async def _exchange(
        self,
        state: RequestState,
        choice: Choice,
        responder: Responder,
        move_timer: MoveTimer,
        in_flight: InFlightRequest,
    ) -> Outcome:
        request = state.request
        upstream = choice.upstream
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def note_first_event() -> None:
            unread = choice.load.unread_tokens + choice.unread_tokens
            self.selector.throughput_of(request.service).note_first_event(
                unread, loop.time() - started_at
            )
            in_flight.note_answer_started(loop.time())

        answer = await self.client.begin(request, upstream, self._make_dispatch(state, choice))
        if not isinstance(answer, OpenAnswer):
            return answer
        state.framing = answer.head.framing
        self._note_upstream_state(upstream, answer.head)
        if not (is_stream(request) and is_success(answer.head) and may_be_events(answer.head)):
            return await self.client.finish(request, upstream, answer)
        self._record_cached(state, upstream.name)
        relay = StreamRelay(
            request,
            responder,
            state.progress,
            note_first_event,
            lambda answered_at: self.crash_guard.note_answered(request, answered_at),
        )
        try:
            outcome = await relay.relay(answer, move_timer)
        except BaseException:
            answer.connection.close()
            raise
        if isinstance(outcome, Completed):
            self.client.release(upstream, answer)
        elif not responder.started:
            return Unknown(f"stream ended before its first event: {outcome}")
        return outcome

    def _note_upstream_state(self, upstream: Upstream, head: ResponseHead) -> None:
        """Take over what an upstream says of itself beside its answer."""
        if is_leaving(head):
            self.on_leaving(upstream)
        backoff_s = read_backoff(head)
        if backoff_s is None:
            return
        now = asyncio.get_running_loop().time()
        self.selector.backoffs.note(upstream.name, upstream.incarnation, backoff_s, now)
        log_backoff(upstream.name, backoff_s)

    def _make_dispatch(self, state: RequestState, choice: Choice) -> Dispatch:
        request = state.request
        source = choice.cache_source
        return Dispatch(
            upstream=choice.upstream.name,
            remaining_s=request.caller_deadline - asyncio.get_running_loop().time(),
            priority=request.priority,
            account=request.account.name if request.account is not None else "",
            resume_after=state.progress.last_id or request.resume_after,
            cache_source=str(source.endpoint) if source is not None else "",
        )

    def _give_up(
        self,
        state: RequestState,
        responder: Responder,
        cause: Cause,
        retry_after_s: float | None = None,
    ) -> Failed | Broken | Rejection:
        if responder.started:
            return Broken("the stream could not be resumed")
        if state.failure is not None:
            return state.failure
        if state.may_have_run:
            is_late = asyncio.get_running_loop().time() >= state.request.deadline
            return Rejection(Cause.TIMED_OUT if is_late else Cause.OUTCOME_UNKNOWN)
        match cause:
            case Cause.NO_UPSTREAM:
                return Rejection(cause, retry_after_s=RETRY_NO_UPSTREAM_S)
            case Cause.NOT_ACCEPTED:
                return Rejection(cause, retry_after_s=RETRY_NOT_ACCEPTED_S)
            case _:
                return Rejection(cause, retry_after_s=retry_after_s)

    def _refuse(self, state: RequestState, overload: Overloaded, snapshot: Snapshot) -> Rejection:
        request = state.request
        now = asyncio.get_running_loop().time()
        delay_s = self.retry_delays.choose_delay(request.deadline - now, now)
        throughput = self.selector.throughput_of(request.service)
        log_overload(request, overload, throughput, delay_s, snapshot)
        return Rejection(Cause.OVERLOADED, retry_after_s=delay_s)

    def _record_attempt(
        self,
        state: RequestState,
        choice: Choice,
        outcome: Outcome,
        started_at: float,
        answered_at: float | None,
    ) -> None:
        now = asyncio.get_running_loop().time()
        name = choice.upstream.name
        outliers = self.selector.outliers
        service = state.request.service
        peers = [known.upstream.name for known in self.read_snapshot().list_upstreams(service)]
        match outcome:
            case Answered() | Completed():
                outliers.note_success(name, now)
                self.selector.throughput_of(service).note_end(now - started_at)
                if answered_at is not None:
                    self.crash_guard.note_answered(state.request, answered_at)
            case NotRun(was_sent=False) | NotRun(was_misdirected=True):
                outliers.note_unreachable(name, now)
            case NotRun() | Failed() | Unknown() | Broken():
                outliers.note_failure(name, peers, now)
        if isinstance(outcome, Unknown | Broken):
            self.crash_guard.note_broken(
                BrokenAttempt(state.request, choice.upstream, started_at, answered_at)
            )
        state.attempts.append(AttemptRecord(name, type(outcome).__name__, now - started_at))
        if not isinstance(outcome, Answered | Completed):
            seconds = now - started_at
            log_failed_attempt(state.request, name, outcome, seconds, answered_at is not None)

    def _record_cached(self, state: RequestState, upstream: str) -> None:
        snapshot = self.read_snapshot()
        if snapshot.table is None:
            return
        service = snapshot.table.configuration.services.get(state.request.service)
        if service is not None and service.engine is not None:
            parts = state.request.prompt.shared_parts
            self.selector.chooser.caches.note_run(upstream, parts, service.engine.kv_cache_tokens)


def _find_patience(request: CallerRequest) -> float:
    """Return how many seconds an upstream gets to start its answer, if others are left."""
    target_s = request.route.target_s
    if is_stream(request):
        return target_s * STREAM_TIMEOUT_TARGETS
    return max(MIN_SAFE_TIMEOUT_S, target_s * SAFE_TIMEOUT_SHARE)
