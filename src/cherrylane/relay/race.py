"""The attempts of one request that are in progress, and which of them answers it.

An attempt that has stalled is not given up for the next one: it goes on until the other has begun
to answer (a hedged request; Dean and Barroso, "The Tail at Scale", 2013). The first attempt to go
on wins, and the others are cancelled at that moment, so that a request is never answered twice.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, field, frozen
from logbook import Logger

from cherrylane.placement.choice import Choice
from cherrylane.placement.loads import InFlightRequest
from cherrylane.placement.speeds import USUAL_SPEED
from cherrylane.relay.answer_trace import AnswerTrace
from cherrylane.relay.outcomes import Outcome, Unknown
from cherrylane.relay.stalls import StallTimer

log = Logger("cherrylane.relay")


@define(eq=False)
class Attempt:
    """An attempt in progress at one upstream.

    ``stalls`` counts the times since its last progress at which progress was due.
    """

    choice: Choice
    in_flight: InFlightRequest
    started_at: float
    stall_timer: StallTimer
    stalls: int = 0
    trace: AnswerTrace = field(factory=AnswerTrace)
    task: asyncio.Task[Outcome] = field(init=False)

    def record_progress(self, patience_s: float | None) -> None:
        """Record progress; the next is due in ``patience_s`` seconds, None if at any time.

        An upstream on a slow machine has longer in proportion.
        """
        self.stalls = 0
        if patience_s is None:
            self.stall_timer.stop()
        else:
            self.stall_timer.restart(patience_s / min(USUAL_SPEED, self.choice.speed))


@frozen
class Ended:
    """An attempt has ended by itself."""

    attempt: Attempt

    def read_outcome(self) -> Outcome:
        """Return the outcome; raises the exception that the attempt has failed with, if any."""
        if self.attempt.task.cancelled():
            return Unknown("cancelled")
        return self.attempt.task.result()


@frozen
class Stalled:
    """An attempt has made no progress for as long as it was given."""

    attempt: Attempt


@frozen
class DeadlineReached:
    """The request's deadline has passed."""


@define
class AttemptRace:
    """The attempts of a request that are in progress.

    An attempt is ``running`` until :meth:`wait` has reported its end, or until it is cancelled.
    ``on_superseded`` is called with each attempt that is cancelled because another one went on.
    """

    on_superseded: Callable[[Attempt], None]
    running: list[Attempt] = field(factory=list)
    _events: asyncio.Queue[Ended | Stalled] = field(factory=asyncio.Queue)

    def start(
        self,
        choice: Choice,
        in_flight: InFlightRequest,
        run: Callable[[Attempt], Coroutine[Any, Any, Outcome]],
    ) -> Attempt:
        """Start an attempt beside those in progress, and return it."""
        loop = asyncio.get_running_loop()
        attempt = Attempt(choice, in_flight, loop.time(), StallTimer(lambda: self._stall(attempt)))
        self.running.append(attempt)
        attempt.task = loop.create_task(run(attempt))
        attempt.task.add_done_callback(lambda _: self._end(attempt))
        return attempt

    async def wait(self, deadline: float) -> Ended | Stalled | DeadlineReached:
        """Return what happens next to the attempts in progress."""
        while True:
            try:
                async with asyncio.timeout_at(deadline):
                    event: Ended | Stalled = await self._events.get()
            except TimeoutError:
                ended = [attempt for attempt in self.running if attempt.task.done()]
                if not ended:
                    return DeadlineReached()
                event = Ended(ended[0])
            attempt = event.attempt
            if attempt not in self.running:
                continue
            match event:
                case Ended():
                    self.running.remove(attempt)
                    return event
                case Stalled() if not attempt.task.done():
                    return event

    def claim(self, attempt: Attempt) -> None:
        """Let ``attempt`` answer the request, and cancel all others."""
        if self.running != [attempt]:
            for other in self.cancel(spare=attempt):
                self.on_superseded(other)

    def cancel(self, *, spare: Attempt | None = None) -> list[Attempt]:
        """Cancel all attempts in progress but one; returns those that were cancelled."""
        cancelled = [attempt for attempt in self.running if attempt is not spare]
        self.running = [attempt for attempt in self.running if attempt is spare]
        for attempt in cancelled:
            attempt.task.cancel()
        return cancelled

    def _stall(self, attempt: Attempt) -> None:
        attempt.stalls += 1
        self._events.put_nowait(Stalled(attempt))

    def _end(self, attempt: Attempt) -> None:
        # Otherwise the attempt, the race and the request would refer to each other in a circle, and
        # the bodies be kept until the garbage collector finds it.
        attempt.stall_timer.end()
        attempt.in_flight.end()
        if attempt in self.running:
            self._events.put_nowait(Ended(attempt))
        elif not attempt.task.cancelled() and attempt.task.exception() is not None:
            error = attempt.task.exception()
            log.error(
                "a cancelled attempt failed", extra={"reason": f"{type(error).__name__}: {error}"}
            )
