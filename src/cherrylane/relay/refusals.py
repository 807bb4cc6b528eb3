"""What callers get when a request is not tried, or not tried again."""

import asyncio
from collections.abc import Callable
from math import isfinite
from random import Random

from attrs import define, field

from cherrylane.http.responder import Responder
from cherrylane.limits.overload import RetryDelays
from cherrylane.limits.quarantine import Quarantined
from cherrylane.relay._attempt_log import (
    log_cold,
    log_evacuated,
    log_evacuations_unknown,
    log_overload,
    log_rate_limited,
)
from cherrylane.relay.outcomes import Broken, Cause, Failed, Rejection
from cherrylane.relay.selection import UpstreamSelector
from cherrylane.relay.selection_failures import (
    AllBackingOff,
    AllCold,
    AllEvacuated,
    EvacuationsUnknown,
    OriginGone,
    Overloaded,
    RateLimited,
    SelectionFailure,
)
from cherrylane.relay.state import RequestState
from cherrylane.relay.stopping import RETRY_STOPPING_S, PlannedStop, Stopping
from cherrylane.routing.snapshot import Snapshot

# Retry-After, in seconds, by the reason why the request was not run.
RETRY_NOT_ACCEPTED_S = 0.25
RETRY_NO_UPSTREAM_S = 0.5
# Retry-After, in seconds, while peers may still tell where a stream began.
RETRY_ORIGIN_UNKNOWN_S = 0.5
# Retry-After, in seconds, from a host that others may know more than; the caller may try another
# host at once.
RETRY_ELSEWHERE_S = 0.0
# Retry-After, in seconds, from a host without a share of the rates of cold upstreams; and the part
# of it by which it varies, so that callers do not come back together.
RETRY_COLD_S = 0.25
RETRY_COLD_JITTER = 0.5
# Retry-After, in seconds, and the seconds over which callers are spread while all upstreams are
# evacuated: minutes as a rule, but an operator may end it at any moment.
RETRY_EVACUATED_S = 1.0
EVACUATED_SPREAD_S = 0.5
# Seconds over which callers are spread when an upstream accepts requests again.
BACKOFF_SPREAD_S = 0.25

NoChoice = SelectionFailure | Quarantined | Stopping | None


@define
class Refusals:
    """Chooses the answers to requests that are given up, and when their callers may come back."""

    selector: UpstreamSelector
    read_snapshot: Callable[[], Snapshot]
    stop: PlannedStop = field(factory=PlannedStop)
    retry_delays: RetryDelays = field(factory=RetryDelays)
    random: Random = field(factory=Random)

    def give_up_without_choice(
        self, state: RequestState, responder: Responder, reason: NoChoice
    ) -> Failed | Broken | Rejection:
        """Return the outcome of a request for which no upstream is left or may be used."""
        match reason:
            case Overloaded():
                return self._refuse(state, reason)
            case RateLimited():
                return self._refuse_rate_limited(state, responder, reason)
            case Stopping():
                outcome = self.give_up(state, responder, Cause.STOPPING, RETRY_STOPPING_S)
                self.stop.tally.record(outcome)
                return outcome
            case EvacuationsUnknown():
                log_evacuations_unknown(state.request)
                return self.give_up(state, responder, Cause.NO_CONFIGURATION, RETRY_NO_UPSTREAM_S)
            case Quarantined(retry_after_s=retry_after_s):
                return self.give_up(state, responder, Cause.QUARANTINED, retry_after_s)
            case OriginGone():
                return self.give_up(state, responder, Cause.ORIGIN_GONE)
            case None:
                return self.give_up(state, responder, Cause.NO_UPSTREAM)
            case _:
                return self._refuse_for_now(state, responder, reason)

    def _refuse_for_now(
        self,
        state: RequestState,
        responder: Responder,
        reason: AllBackingOff | AllCold | AllEvacuated,
    ) -> Failed | Broken | Rejection:
        """Return the outcome while no upstream takes requests of this host."""
        match reason:
            case AllBackingOff(first_end_s=first_end_s):
                cause = Cause.BACKING_OFF
                delay_s = first_end_s + self.random.uniform(0.0, BACKOFF_SPREAD_S)
            case AllEvacuated():
                cause = Cause.EVACUATED
                delay_s = RETRY_EVACUATED_S + self.random.uniform(0.0, EVACUATED_SPREAD_S)
                log_evacuated(state.request, reason, delay_s)
            case AllCold(first_token_s=first_token_s):
                cause = Cause.COLD
                delay_s = first_token_s
                if not isfinite(delay_s):
                    jitter = self.random.uniform(-RETRY_COLD_JITTER, RETRY_COLD_JITTER)
                    delay_s = RETRY_COLD_S * (1 + jitter)
                log_cold(state.request, reason, delay_s)
        return self.give_up(state, responder, cause, delay_s)

    def give_up(
        self,
        state: RequestState,
        responder: Responder,
        cause: Cause,
        retry_after_s: float | None = None,
    ) -> Failed | Broken | Rejection:
        """Return the outcome of a request that is not tried again, by what is known of it so far.

        ``retry_after_s`` is when a retry makes sense, if the request has certainly not run.
        """
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

    def _refuse(self, state: RequestState, overload: Overloaded) -> Rejection:
        request = state.request
        now = asyncio.get_running_loop().time()
        delay_s = self.retry_delays.choose_delay(request.deadline - now, now)
        throughput = self.selector.throughput_of(request.service)
        throughput.record_refusal(now)
        log_overload(request, overload, throughput, delay_s, self.read_snapshot())
        return Rejection(Cause.OVERLOADED, retry_after_s=delay_s)

    def _refuse_rate_limited(
        self, state: RequestState, responder: Responder, limited: RateLimited
    ) -> Failed | Broken | Rejection:
        request = state.request
        now = asyncio.get_running_loop().time()
        delay_s = self.retry_delays.choose_delay(request.deadline - now, now)
        if isfinite(limited.first_token_s):
            delay_s = max(delay_s, limited.first_token_s)
        self.selector.throughput_of(request.service).record_refusal(now)
        log_rate_limited(request, limited, delay_s)
        return self.give_up(state, responder, Cause.RATE_LIMITED, delay_s)
