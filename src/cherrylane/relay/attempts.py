"""Attempts at upstreams, one after another, until a request has its answer.

A request that may have run is sent again only if it may run more than once; one that is known not
to have run may go elsewhere, within its route's bound and the fleet's retry budget.
"""

import asyncio
from collections.abc import Callable

from attrs import define, field
from logbook import Logger

from cherrylane.http.responder import Responder
from cherrylane.limits.overload import Returns
from cherrylane.limits.retries import RetryAllowance
from cherrylane.placement.choice import Choice
from cherrylane.placement.loads import Load, LoadBoard, Work
from cherrylane.platform.headers import Dispatch
from cherrylane.relay.admission import is_stream
from cherrylane.relay.exchange import Exchanges, OpenAnswer, is_success
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
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection import Overloaded, Selection
from cherrylane.relay.streams import StreamProgress, StreamRelay
from cherrylane.routing.snapshot import Snapshot

# Upstreams that may be found unreachable before a request is given up.
MAX_UNREACHABLE = 4
# Part of its target time after which a safe request is tried elsewhere.
SAFE_PATIENCE = 0.6
# Seconds that an upstream has at least to answer a safe request.
MIN_PATIENCE_S = 0.06
# A resumable stream that has not begun is tried elsewhere after this many times its target.
STREAM_PATIENCE = 3.0
# Seconds after which a caller may come back, by why its request was not run.
RETRY_NOT_ACCEPTED_S = 0.25
RETRY_NO_UPSTREAM_S = 0.5

log = Logger("cherrylane.relay")


@define
class AttemptRecord:
    """One attempt, for the log."""

    upstream: str
    outcome: str
    seconds: float


@define
class Journey:
    """Everything that happened to one request so far."""

    request: CallerRequest
    progress: StreamProgress
    tried: set[str] = field(factory=set)
    attempts: list[AttemptRecord] = field(factory=list)
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    failure: Failed | None = None

    def note(self, outcome: Outcome) -> None:
        """Take in what came of an attempt that was sent and has not answered the request."""
        match outcome:
            case Failed():
                self.failure = outcome
            case Unknown() | Broken():
                self.may_have_run = True


@define
class Attempts:
    """Carries requests through their attempts."""

    selection: Selection
    exchanges: Exchanges
    board: LoadBoard
    read_snapshot: Callable[[], Snapshot]
    find_allowance: Callable[[str], RetryAllowance]
    returns: Returns = field(factory=Returns)

    async def run(
        self, journey: Journey, responder: Responder
    ) -> Answered | Failed | Completed | Broken | Rejection:
        """Return the final answer; a stream has been relayed by then."""
        request = journey.request
        self.find_allowance(request.service).deposit()
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= request.deadline:
                return self._give_up(journey, responder, Cause.TIMED_OUT)
            snapshot = self.read_snapshot()
            choice = self.selection.choose(request, snapshot, journey.tried, loop.time())
            if choice is None:
                return self._give_up(journey, responder, Cause.NO_UPSTREAM)
            if isinstance(choice, Overloaded):
                return self._refuse(journey, choice, snapshot)
            self._log_choice(journey, choice, snapshot)
            outcome = await self._attempt(journey, choice, responder)
            match outcome:
                case Answered() | Completed():
                    return outcome
                case NotRun(was_sent=False):
                    journey.unreachable += 1
                    if journey.unreachable >= MAX_UNREACHABLE:
                        return self._give_up(journey, responder, Cause.NO_UPSTREAM)
                case _:
                    journey.note(outcome)
                    if not self._may_repeat(journey, outcome):
                        return self._give_up(journey, responder, Cause.NOT_ACCEPTED)

    def _may_repeat(self, journey: Journey, outcome: Outcome) -> bool:
        request = journey.request
        if not isinstance(outcome, NotRun) and not request.route.is_idempotent:
            return False
        if journey.sends >= request.route.max_attempts:
            return False
        if asyncio.get_running_loop().time() >= request.deadline:
            return False
        return self.find_allowance(request.service).withdraw()

    async def _attempt(self, journey: Journey, choice: Choice, responder: Responder) -> Outcome:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        name = choice.upstream.name
        journey.tried.add(name)
        work = self.board.begin(name, Load(1, choice.unread_tokens))
        try:
            async with asyncio.timeout_at(self._find_limit(journey, begun)) as limit:
                outcome = await self._exchange(journey, choice, responder, limit, work)
        except TimeoutError:
            started = responder.started
            outcome = Broken("silent") if started else Unknown("no answer in time")
        finally:
            work.end()
        if not isinstance(outcome, NotRun) or outcome.was_sent:
            journey.sends += 1
        self._note(journey, choice, outcome, begun)
        return outcome

    async def _exchange(
        self,
        journey: Journey,
        choice: Choice,
        responder: Responder,
        limit: asyncio.Timeout,
        work: Work,
    ) -> Outcome:
        request = journey.request
        upstream = choice.upstream
        loop = asyncio.get_running_loop()
        begun = loop.time()

        def note_first_event() -> None:
            unread = choice.load.unread_tokens + choice.unread_tokens
            self.selection.pace_of(request.service).note_first_event(unread, loop.time() - begun)
            work.note_begun()

        answer = await self.exchanges.begin(request, upstream, self._make_dispatch(journey, choice))
        if not isinstance(answer, OpenAnswer):
            return answer
        if not is_stream(request) or not is_success(answer.head):
            return await self.exchanges.finish(request, upstream, answer)
        self._note_cached(journey, upstream.name)
        relay = StreamRelay(request, responder, journey.progress, note_first_event)
        try:
            outcome = await relay.relay(answer, limit)
        except BaseException:
            answer.connection.close()
            raise
        if isinstance(outcome, Completed):
            self.exchanges.release(upstream, answer)
        elif not responder.started:
            return Unknown(f"stream cut off before its first event: {outcome}")
        return outcome

    def _find_limit(self, journey: Journey, begun: float) -> float:
        """Return until when this attempt may take, if nothing of its answer comes."""
        request = journey.request
        if not request.route.is_idempotent or journey.sends + 1 >= request.route.max_attempts:
            return request.deadline
        if is_stream(request):
            patience_s = request.route.target_s * STREAM_PATIENCE
        else:
            patience_s = max(MIN_PATIENCE_S, request.route.target_s * SAFE_PATIENCE)
        return min(request.deadline, begun + patience_s)

    def _make_dispatch(self, journey: Journey, choice: Choice) -> Dispatch:
        request = journey.request
        source = choice.cache_source
        return Dispatch(
            upstream=choice.upstream.name,
            remaining_s=request.caller_deadline - asyncio.get_running_loop().time(),
            priority=request.priority,
            account=request.account.name if request.account is not None else "",
            resume_after=journey.progress.last_id or request.resume_after,
            cache_source=str(source.endpoint) if source is not None else "",
        )

    def _give_up(
        self, journey: Journey, responder: Responder, cause: Cause
    ) -> Failed | Broken | Rejection:
        if responder.started:
            return Broken("the stream could not be resumed")
        if journey.failure is not None:
            return journey.failure
        if journey.may_have_run:
            is_late = asyncio.get_running_loop().time() >= journey.request.deadline
            return Rejection(Cause.TIMED_OUT if is_late else Cause.OUTCOME_UNKNOWN)
        match cause:
            case Cause.NO_UPSTREAM:
                return Rejection(cause, retry_after_s=RETRY_NO_UPSTREAM_S)
            case Cause.NOT_ACCEPTED:
                return Rejection(cause, retry_after_s=RETRY_NOT_ACCEPTED_S)
            case _:
                return Rejection(cause)

    def _refuse(self, journey: Journey, overload: Overloaded, snapshot: Snapshot) -> Rejection:
        request = journey.request
        now = asyncio.get_running_loop().time()
        delay_s = self.returns.choose_delay(request.deadline - now, now)
        pace = self.selection.pace_of(request.service)
        log.info(
            "request not admitted",
            extra={
                "request": request.id,
                "rank": request.rank,
                "target_ms": round(request.route.target_s * 1000),
                "waited_ms": round(request.waited_s * 1000),
                "upstreams": overload.upstreams,
                "least_load": overload.least_requests,
                "least_unread_tokens": overload.least_unread_tokens,
                "seconds_per_request": round(pace.seconds_per_request, 3),
                "tokens_per_s": round(pace.tokens_per_s),
                "retry_after_s": round(delay_s, 2),
                "config": snapshot.config_version,
                "upstreams_version": snapshot.upstreams_version,
            },
        )
        return Rejection(Cause.OVERLOADED, retry_after_s=delay_s)

    def _note(self, journey: Journey, choice: Choice, outcome: Outcome, begun: float) -> None:
        now = asyncio.get_running_loop().time()
        name = choice.upstream.name
        suspicion = self.selection.suspicion
        service = journey.request.service
        peers = [known.upstream.name for known in self.read_snapshot().list_upstreams(service)]
        match outcome:
            case Answered() | Completed():
                suspicion.note_success(name, now)
                self.selection.pace_of(service).note_end(now - begun)
            case NotRun(was_sent=False) | NotRun(is_gone=True):
                suspicion.note_unreachable(name, now)
            case NotRun() | Failed() | Unknown() | Broken():
                suspicion.note_failure(name, peers, now)
        journey.attempts.append(AttemptRecord(name, type(outcome).__name__, now - begun))
        if not isinstance(outcome, Answered | Completed):
            log.info(
                "attempt failed",
                extra={
                    "request": journey.request.id,
                    "upstream": name,
                    "outcome": type(outcome).__name__,
                    "reason": getattr(outcome, "reason", ""),
                    "ms": round((now - begun) * 1000, 1),
                },
            )

    def _note_cached(self, journey: Journey, upstream: str) -> None:
        snapshot = self.read_snapshot()
        if snapshot.table is None:
            return
        service = snapshot.table.configuration.services.get(journey.request.service)
        if service is not None and service.engine is not None:
            parts = journey.request.prompt.shared_parts
            self.selection.chooser.caches.note_run(upstream, parts, service.engine.kv_cache_tokens)

    def _log_choice(self, journey: Journey, choice: Choice, snapshot: Snapshot) -> None:
        now = asyncio.get_running_loop().time()
        log.info(
            "dispatch",
            extra={
                "request": journey.request.id,
                "attempt": len(journey.attempts) + 1,
                "upstream": choice.upstream.name,
                "reason": choice.reason,
                "load": choice.load.requests,
                "unread_tokens": choice.load.unread_tokens,
                "mean_load": round(choice.mean_load, 1),
                "cached_tokens": choice.cached_tokens,
                "shared_tokens": journey.request.prompt.shared_tokens,
                "cache_source": choice.cache_source.name if choice.cache_source else "",
                "config": snapshot.config_version,
                "upstreams": snapshot.upstreams_version,
                "upstreams_age_s": round(now - snapshot.upstreams_taken_at, 1),
            },
        )
