"""Prompts with a part that crashes each engine that begins to answer it."""

import asyncio

from testtools import TestCase
from testtools.matchers import LessThan

from tests.relay_fixture import RESUMABLE, RelayFixture, events, stream
from tests.wire import Call, Script, ScriptedUpstream, make_configuration, run

SOUND = "a1:400,b2:120"
TAINTED = "a1:400,b2:120,dead:60"
ENGINES = 10
# Seconds until an engine begins to answer a tainted prompt.
PREFILL_S = 0.08
# Crashes by one part after which its requests may reach no further engine.
MAX_CRASHES = 5


def crash_on_tainted_prompts(upstreams: dict[int, ScriptedUpstream], index: int) -> Script:
    async def script(call: Call) -> None:
        if "dead:" in call.header("Prompt-Prefix"):
            await asyncio.sleep(PREFILL_S)
            upstreams[index].crash()
        else:
            await stream(1, 3)(call)

    return script


async def start_engines() -> RelayFixture:
    """Return a relay in front of engines that crash on a tainted prompt, and stay down."""
    by_index: dict[int, ScriptedUpstream] = {}
    scripts = tuple(crash_on_tainted_prompts(by_index, index) for index in range(ENGINES))
    fixture = await RelayFixture(scripts, make_configuration(RESUMABLE)).open()
    by_index.update(enumerate(fixture.upstreams))
    return fixture


async def ask(fixture: RelayFixture, shared_parts: str, number: int) -> bytes:
    return await fixture.fetch(
        "POST",
        extra=f"Model: m\r\nPrompt-Prefix: {shared_parts},{number:x}:10\r\n",
        request_id=f"r{number}",
    )


class TaintedPartTest(TestCase):
    # Guards against requests with one part of a prompt crashing engine after engine (tainted).
    def test_a_part_that_crashed_some_engines_reaches_no_more(self) -> None:
        async def scenario() -> tuple[int, list[bytes]]:
            fixture = await start_engines()
            answers = []
            for number in range(ENGINES):
                await ask(fixture, SOUND, 100 + number)
                answers.append(await ask(fixture, TAINTED, number))
            reached = sum(
                "dead:" in call.header("Prompt-Prefix")
                for upstream in fixture.upstreams
                for call in upstream.calls
            )
            return reached, answers

        reached, answers = run(scenario())
        self.assertThat(reached, LessThan(MAX_CRASHES + 1))
        self.assertTrue(answers[-1].startswith(b"HTTP/1.1 503 "), answers[-1])

    # Guards against sound requests being refused, or finding no engine, beside tainted ones.
    def test_sound_requests_with_the_other_parts_are_served(self) -> None:
        async def scenario() -> list[bytes]:
            fixture = await start_engines()
            answers = []
            for number in range(ENGINES):
                await ask(fixture, TAINTED, number)
                answers.append(await ask(fixture, SOUND, 100 + number))
            return answers

        for answer in run(scenario()):
            self.assertEqual([1, 2, 3], events(answer))
