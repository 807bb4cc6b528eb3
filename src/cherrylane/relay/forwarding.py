"""Sending of one attempt to its upstream, and relaying of what comes back."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from attrs import define, evolve

from cherrylane.http.memory import Held
from cherrylane.http.messages import ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.placement.choice import Choice
from cherrylane.platform.headers import (
    Dispatch,
    find_malformed_load,
    is_leaving,
    is_misdirected,
    read_backoff,
    read_cold,
    read_load,
    read_rate_limit,
)
from cherrylane.relay._attempt_log import log_backoff, log_malformed_load
from cherrylane.relay.admission import is_stream
from cherrylane.relay.crashes import CrashGuard
from cherrylane.relay.exchange import ExchangeClient, OpenAnswer, is_success, may_be_events
from cherrylane.relay.outcomes import Broken, Completed, NotRun, Outcome, Unknown
from cherrylane.relay.race import Attempt, AttemptRace
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection import UpstreamSelector
from cherrylane.relay.stalls import MIN_PATIENCE_S
from cherrylane.relay.state import RequestState
from cherrylane.relay.stream_origins import StreamBinder, StreamOrigin
from cherrylane.relay.streams import StreamRelay
from cherrylane.routing.snapshot import Snapshot
from cherrylane.routing.upstreams import Upstream

# Fraction of its target time after which a safe request is tried at another upstream as well.
SAFE_PATIENCE_SHARE = 0.6
# Multiple of its target time after which a resumable stream without any data is tried elsewhere.
STREAM_PATIENCE_TARGETS = 3.0


_WITHHELD = NotRun(
    "the failure domain of the upstream is evacuated, or that is not known",
    was_sent=False,
    was_withheld=True,
)


async def _trust_list(upstream: Upstream) -> bool:
    return True


@define
class Forwarder:
    """Forwards requests to upstreams, and relays the events of streams to callers.

    ``on_leaving`` is called with an upstream that says in an answer that it leaves.
    ``is_listed_incarnation`` asks an upstream, before a stream goes on there, whether it has
    started again since it was listed.
    """

    client: ExchangeClient
    selector: UpstreamSelector
    crash_guard: CrashGuard
    stream_binder: StreamBinder
    read_snapshot: Callable[[], Snapshot]
    on_leaving: Callable[[Upstream], None] = lambda upstream: None
    is_listed_incarnation: Callable[[Upstream], Awaitable[bool]] = _trust_list

    async def forward(
        self, state: RequestState, attempt: Attempt, race: AttemptRace, responder: Responder
    ) -> Outcome:
        """Send the request to the upstream of ``attempt`` and return the outcome.

        Events of a stream are relayed from the moment at which the attempt wins ``race``.
        """
        request = state.request
        upstream = attempt.choice.upstream
        attempt.record_progress(find_patience(request))
        if not self.read_snapshot().may_send_to(upstream):
            return _WITHHELD
        if state.origin is not None and not await self.is_listed_incarnation(upstream):
            if not self.read_snapshot().may_send_to(upstream):
                return _WITHHELD
            reason = "the upstream has started again since it was listed, or does not report"
            return NotRun(reason, was_sent=False)
        answer = await self.client.begin(
            request,
            upstream,
            _make_dispatch(state, attempt.choice),
            attempt.trace,
            lambda dispatch: self._confirm(dispatch, attempt.choice),
            state.held.open(Held.RECEIVED),
        )
        if not isinstance(answer, OpenAnswer):
            return answer
        state.framing = answer.head.framing
        self._record_upstream_state(upstream, answer.head)
        if responder.started and _is_other_success(request, answer.head):
            # It belongs to no stream, and it may have no end.
            answer.connection.close()
            return Broken(f"no stream to resume: status {answer.head.status}")
        if not _has_events(request, answer.head):
            return await self.client.finish(request, upstream, answer, state.held)
        self._record_cached(request, upstream.name)
        relay = StreamRelay(
            request,
            responder,
            state.progress,
            claim=lambda: self._claim(state, attempt, race),
            record_progress=attempt.record_progress,
            record_first_event=lambda: self._record_first_event(state, attempt),
            record_under_way=lambda at: self.crash_guard.record_under_way(request, at),
            held=state.held.open(Held.EVENTS),
        )
        try:
            outcome = await relay.relay(answer)
        except BaseException:
            answer.connection.close()
            raise
        if isinstance(outcome, Completed):
            self.client.release(upstream, answer)
        elif not responder.started:
            return Unknown(f"stream ended before its first event: {outcome}")
        return outcome

    def _confirm(self, dispatch: Dispatch, choice: Choice) -> Dispatch | NotRun:
        """Observe evacuations that have begun since the choice was made."""
        snapshot = self.read_snapshot()
        if not snapshot.may_send_to(choice.upstream):
            return _WITHHELD
        if choice.cache_source is not None and not snapshot.may_send_to(choice.cache_source):
            return evolve(dispatch, cache_source="")
        return dispatch

    def _claim(self, state: RequestState, attempt: Attempt, race: AttemptRace) -> None:
        """Let an attempt answer the request; the stream is bound before anything of it is sent."""
        race.claim(attempt)
        if state.origin is None:
            upstream = attempt.choice.upstream
            state.origin = StreamOrigin(upstream.service, upstream.software)

    def _record_first_event(self, state: RequestState, attempt: Attempt) -> None:
        now = asyncio.get_running_loop().time()
        request, choice = state.request, attempt.choice
        if state.origin is not None:
            self.stream_binder.record_begun(request, state.origin, now)
        self.selector.throughput_of(request.service).record_first_event(
            choice.load.unread_tokens + choice.unread_tokens, now - attempt.started_at
        )
        attempt.in_flight.record_answer_started(now)

    def _record_upstream_state(self, upstream: Upstream, head: ResponseHead) -> None:
        """Take over what an upstream says of itself beside its answer."""
        now = asyncio.get_running_loop().time()
        if is_leaving(head):
            self.on_leaving(upstream)
        # Another upstream at the same address says nothing of the expected one.
        if not is_misdirected(head):
            self.selector.rate_limits.record(
                upstream.name, upstream.incarnation, read_rate_limit(head), now
            )
            cold_s = read_cold(head) if self.selector.cold is not None else None
            if self.selector.cold is not None and cold_s is not None:
                self.selector.cold.record_answer(upstream.name, cold_s, now)
            self._record_speed(upstream, head, now)
        backoff_s = read_backoff(head)
        if backoff_s is None:
            return
        self.selector.backoffs.record(upstream.name, upstream.incarnation, backoff_s, now)
        log_backoff(upstream.name, backoff_s)

    def _record_speed(self, upstream: Upstream, head: ResponseHead, now: float) -> None:
        load, speeds = read_load(head), self.selector.speeds
        if load is not None and load.work_percent is not None:
            speeds.record(upstream.key, load, now)
            return
        malformed = find_malformed_load(head)
        if malformed and speeds.record_malformed(upstream.key):
            log_malformed_load(upstream.name, malformed)

    def _record_cached(self, request: CallerRequest, upstream: str) -> None:
        snapshot = self.read_snapshot()
        if snapshot.table is None:
            return
        service = snapshot.table.configuration.services.get(request.service)
        if service is not None and service.engine is not None:
            parts = request.prompt.shared_parts
            self.selector.chooser.caches.record_run(upstream, parts, service.engine.kv_cache_tokens)


def find_patience(request: CallerRequest) -> float:
    """Return in how many seconds an upstream should have started its answer."""
    target_s = request.route.target_s
    share = STREAM_PATIENCE_TARGETS if is_stream(request) else SAFE_PATIENCE_SHARE
    return max(MIN_PATIENCE_S, target_s * share)


def _has_events(request: CallerRequest, head: ResponseHead) -> bool:
    """Return whether an answer with this head is relayed as a stream of events."""
    return (
        is_stream(request)
        and request.method != b"HEAD"
        and is_success(head)
        and may_be_events(head)
    )


def _is_other_success(request: CallerRequest, head: ResponseHead) -> bool:
    """Return whether an answer is a success, but not the rest of a stream."""
    return is_success(head) and not (head.status == HTTPStatus.OK and _has_events(request, head))


def _make_dispatch(state: RequestState, choice: Choice) -> Dispatch:
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
