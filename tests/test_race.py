import asyncio
import gc
import time
from collections.abc import Awaitable, Callable
from weakref import ref

from attrs import frozen
from testtools import TestCase

from cherrylane.placement.choice import Choice
from cherrylane.placement.loads import Load, LoadTracker
from cherrylane.relay.outcomes import Completed, Outcome, Unknown
from cherrylane.relay.race import Attempt, AttemptRace, DeadlineReached, Ended, Stalled
from tests.relay_fixture import never_answer
from tests.wire import ScriptedUpstream, run

DEADLINE_S = 0.02

Work = Callable[[Attempt], Awaitable[Outcome]]


async def complete(attempt: Attempt) -> Outcome:
    return Completed()


async def stay_silent(attempt: Attempt) -> Outcome:
    attempt.record_progress(0.01)
    await asyncio.sleep(60)
    return Completed()


async def stall_and_complete(attempt: Attempt) -> Outcome:
    attempt.record_progress(0.0)
    # The timer is due in the last step of this attempt.
    await asyncio.sleep(0)
    return Completed()


async def end_with_deadline(attempt: Attempt) -> Outcome:
    # The loop is held until after the deadline, so that both are due in one step.
    time.sleep(2 * DEADLINE_S)
    return Completed()


async def fail(attempt: Attempt) -> Outcome:
    raise ValueError("a fault in the code")


async def be_cancelled(attempt: Attempt) -> Outcome:
    raise asyncio.CancelledError


class Race:
    """A race whose attempts run the given functions, with the loads and superseded attempts."""

    def __init__(self, *works: Work) -> None:
        self.load_tracker = LoadTracker()
        self.superseded: list[str] = []
        self.race = AttemptRace(
            lambda attempt: self.superseded.append(attempt.choice.upstream.name)
        )
        for index, work in enumerate(works):
            self.start(f"i{index}", work)

    def start(self, name: str, work: Work) -> None:
        async def run_attempt(attempt: Attempt) -> Outcome:
            return await work(attempt)

        upstream = ScriptedUpstream(never_answer).to_upstream(name)
        choice = Choice(upstream, "test", Load(), 0.0)
        self.race.start(choice, self.load_tracker.begin(name), run_attempt)

    async def wait(self, seconds: float = 10.0) -> Ended | Stalled | DeadlineReached:
        return await self.race.wait(asyncio.get_running_loop().time() + seconds)


class AttemptRaceTest(TestCase):
    def test_an_attempt_that_ends_is_no_longer_in_progress(self) -> None:
        async def scenario() -> tuple[object, int, int]:
            race = Race(complete)
            event = await race.wait()
            assert isinstance(event, Ended)
            return event.read_outcome(), len(race.race.running), len(race.load_tracker.own)

        self.assertEqual((Completed(), 0, 0), run(scenario()))

    def test_a_stall_is_reported_again_until_there_is_progress(self) -> None:
        async def scenario() -> tuple[list[int], int]:
            race = Race(stay_silent)
            (attempt,) = race.race.running
            stalls = []
            for _ in range(3):
                self.assertEqual(Stalled(attempt), await race.wait())
                stalls.append(attempt.stalls)
            attempt.record_progress(None)
            race.race.cancel()
            return stalls, attempt.stalls

        self.assertEqual(([1, 2, 3], 0), run(scenario()))

    def test_an_attempt_that_claims_the_request_ends_all_others(self) -> None:
        async def scenario() -> tuple[list[str], list[str]]:
            race = Race(stay_silent, stay_silent, stay_silent)
            await race.wait()
            race.race.claim(race.race.running[1])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return race.superseded, list(race.load_tracker.own)

        self.assertEqual((["i0", "i2"], ["i1"]), run(scenario()))

    # Guards against load that stays counted when an attempt is cancelled before its first step.
    def test_an_attempt_that_is_cancelled_before_it_began_leaves_no_load(self) -> None:
        async def scenario() -> int:
            race = Race(complete)
            race.race.cancel()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return len(race.load_tracker.own)

        self.assertEqual(0, run(scenario()))

    # Guards against a fault in the code of an attempt being taken for a silent upstream.
    def test_the_exception_of_an_attempt_is_raised_to_its_request(self) -> None:
        async def scenario() -> None:
            event = await Race(fail).wait()
            assert isinstance(event, Ended)
            event.read_outcome()

        with self.assertRaisesRegex(ValueError, "a fault in the code"):
            run(scenario())

    # Guards against a cancellation inside an attempt being taken for a caller that left.
    def test_an_attempt_that_is_cancelled_from_inside_has_an_unknown_outcome(self) -> None:
        async def scenario() -> Outcome:
            event = await Race(be_cancelled).wait()
            assert isinstance(event, Ended)
            return event.read_outcome()

        self.assertEqual(Unknown("cancelled"), run(scenario()))

    # Guards against a request whose attempt has stalled and ended in one step of the event loop
    # being taken for one without an attempt.
    def test_an_attempt_is_in_progress_until_its_end_is_reported(self) -> None:
        async def scenario() -> tuple[list[object], int]:
            race = Race(stall_and_complete)
            (attempt,) = race.race.running
            await asyncio.wait([attempt.task])
            await asyncio.sleep(0)
            events: list[object] = []
            while race.race.running:
                events.append(await race.wait())
            return [event == Ended(attempt) for event in events], len(race.load_tracker.own)

        self.assertEqual(([True], 0), run(scenario()))

    # Guards against the answer of a second attempt being dropped because the first one failed in
    # the same step of the event loop.
    def test_attempts_that_end_together_are_reported_one_after_the_other(self) -> None:
        async def scenario() -> list[int]:
            race = Race(complete, complete)
            await asyncio.wait([attempt.task for attempt in race.race.running])
            await asyncio.sleep(0)
            running = []
            while race.race.running:
                await race.wait()
                running.append(len(race.race.running))
            return running

        self.assertEqual([1, 0], run(scenario()))

    # Guards against the end of an attempt that another one has superseded being reported.
    def test_the_end_of_an_attempt_that_was_superseded_is_not_reported(self) -> None:
        async def scenario() -> tuple[bool, list[str]]:
            race = Race(complete, stay_silent)
            first, second = race.race.running
            await asyncio.wait([first.task])
            await asyncio.sleep(0)
            race.race.claim(second)
            event = await race.wait()
            race.race.cancel()
            return event == Stalled(second), race.superseded

        self.assertEqual((True, ["i0"]), run(scenario()))

    # Guards against an attempt that ends with the deadline being taken for a silent one.
    def test_an_attempt_that_has_ended_at_the_deadline_is_reported(self) -> None:
        async def scenario() -> tuple[object, Attempt]:
            race = Race(end_with_deadline)
            (attempt,) = race.race.running
            return await race.wait(DEADLINE_S), attempt

        event, attempt = run(scenario())
        self.assertEqual(Ended(attempt), event)

    def test_the_deadline_ends_the_wait_and_no_attempt(self) -> None:
        async def scenario() -> tuple[object, int]:
            race = Race(stay_silent)
            race.race.running[0].stall_timer.stop()
            event = await race.wait(0.0)
            return event, len(race.race.cancel())

        self.assertEqual((DeadlineReached(), 1), run(scenario()))


@frozen(eq=False)
class Body:
    """Something that a request refers to."""


class CircleTest(TestCase):
    # Guards against bodies that stay in memory until the garbage collector finds them (review/4).
    def test_a_race_that_has_ended_is_freed_without_the_garbage_collector(self) -> None:
        async def stall_once(attempt: Attempt) -> Outcome:
            attempt.record_progress(60.0)
            return Completed()

        async def play(body: Body) -> None:
            race = Race(stall_once)
            race.race.on_superseded = lambda attempt: print(body)
            await race.wait()

        async def scenario() -> bool:
            body = Body()
            freed = ref(body)
            await play(body)
            await asyncio.sleep(0)
            del body
            return freed() is None

        gc.disable()
        self.addCleanup(gc.enable)
        self.assertTrue(run(scenario()))
