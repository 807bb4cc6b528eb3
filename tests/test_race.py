import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from cherrylane.placement.choice import Choice
from cherrylane.placement.loads import Load, LoadTracker
from cherrylane.relay.outcomes import Completed, Outcome, Unknown
from cherrylane.relay.race import Attempt, AttemptRace, DeadlineReached, Ended, Stalled
from tests.relay_fixture import never_answer
from tests.wire import ScriptedUpstream, run

Work = Callable[[Attempt], Awaitable[Outcome]]


async def complete(attempt: Attempt) -> Outcome:
    return Completed()


async def stay_silent(attempt: Attempt) -> Outcome:
    attempt.note_progress(0.01)
    await asyncio.sleep(60)
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
            attempt.note_progress(None)
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

    def test_the_deadline_ends_the_wait_and_no_attempt(self) -> None:
        async def scenario() -> tuple[object, int]:
            race = Race(stay_silent)
            race.race.running[0].stall_timer.stop()
            event = await race.wait(0.0)
            return event, len(race.race.cancel())

        self.assertEqual((DeadlineReached(), 1), run(scenario()))
