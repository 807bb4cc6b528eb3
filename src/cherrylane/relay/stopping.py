"""The planned stop of a host: which requests still start, and how those end that still run."""

import asyncio
from collections.abc import Awaitable

from attrs import define, field, frozen

from cherrylane.http.responder import Responder
from cherrylane.limits.run_times import RunTimes
from cherrylane.relay.outcomes import Answered, Broken, Cause, Completed, Failed, Rejection
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.state import RequestState

# Retry-After, in seconds, from a host that is stopping; the caller may try another host at once.
RETRY_STOPPING_S = 0.0

FinalOutcome = Answered | Failed | Completed | Broken | Rejection


@frozen
class Stopping:
    """No attempt is started, since it is not expected to end before this host does."""


@define
class StopTally:
    """What became of the requests that a stop has kept from their answers."""

    refused: int = 0
    unknown: int = 0
    broken_off: int = 0

    def record(self, outcome: FinalOutcome) -> None:
        """Count a request that the stop has ended."""
        match outcome:
            case Rejection(cause=Cause.STOPPING):
                self.refused += 1
            case Rejection():
                self.unknown += 1
            case Broken():
                self.broken_off += 1


@define
class PlannedStop:
    """Decides what a host that stops still starts, and ends what then still runs.

    ``ends_at`` is when requests are ended, in seconds of the event loop's clock. Every request runs
    in :meth:`run`, also while no stop is planned, so that its run time is known.
    """

    run_times: RunTimes = field(factory=RunTimes)
    tally: StopTally = field(factory=StopTally)
    ends_at: float = float("inf")
    _limits: set[asyncio.Timeout] = field(factory=set)

    def can_end(self, request: CallerRequest, now: float) -> bool:
        """Return whether an attempt that starts now is expected to end before this host does.

        A request whose deadline comes first is answered in any case.
        """
        if request.deadline <= self.ends_at:
            return True
        return self.run_times.can_end_within(request.route.name, self.ends_at - now, now)

    def refuse(self) -> Rejection:
        """Return the answer to a request that is not started any more."""
        rejection = Rejection(Cause.STOPPING, retry_after_s=RETRY_STOPPING_S)
        self.tally.record(rejection)
        return rejection

    async def run(
        self, state: RequestState, responder: Responder, work: Awaitable[FinalOutcome]
    ) -> FinalOutcome:
        """Return the outcome of ``work``, or what is known of the request at the end of the stop.

        Raises what ``work`` raises.
        """
        loop = asyncio.get_running_loop()
        route = state.request.route.name
        run = self.run_times.begin(route, loop.time())
        limit = asyncio.timeout(None)
        is_whole = is_refused = False
        try:
            async with limit:
                self._limits.add(limit)
                outcome = await work
                is_whole = isinstance(outcome, Answered | Completed | Failed)
                is_refused = isinstance(outcome, Rejection) and not state.times_sent
                return outcome
        except TimeoutError:
            if not limit.expired():
                raise
            return self._give_up(state, responder)
        finally:
            self._limits.discard(limit)
            run.end(loop.time(), is_whole=is_whole)
            if is_refused:
                self.run_times.discard(route, run)

    def end(self) -> None:
        """End all requests that still run, with truthful answers."""
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now)

    def _give_up(self, state: RequestState, responder: Responder) -> FinalOutcome:
        if responder.finished:
            return Completed()
        outcome: FinalOutcome
        if responder.started:
            outcome = Broken("this host stops")
        elif state.failure is not None:
            return state.failure
        elif state.may_have_run:
            outcome = Rejection(Cause.OUTCOME_UNKNOWN)
        else:
            return self.refuse()
        self.tally.record(outcome)
        return outcome
