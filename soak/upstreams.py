"""Upstreams of the soak: they record what they run, and fail as they are told."""

import asyncio
from collections import Counter
from enum import Enum
from hashlib import sha256
from random import Random

from attrs import define, field

from tests.wire import Call, ScriptedUpstream

# Events of a stream, and seconds between them.
EVENTS = 8
EVENT_PAUSE_S = 0.02
# Seconds that a request takes.
WORK_S = 0.02
# Seconds for which a hanging upstream says nothing.
HANG_S = 4.0


class Behaviour(Enum):
    """What an upstream does with a share of its requests."""

    WELL = "well"
    FAIL = "fail"
    DECLINE = "decline"
    LOSE_ANSWER = "lose answer"
    CUT_STREAM = "cut stream"
    HANG = "hang"
    TRUNCATE = "truncate"
    SURPLUS = "surplus"


def make_body(request_id: str) -> bytes:
    """Return the answer that belongs to a request."""
    return sha256(request_id.encode()).hexdigest().encode()


@define
class SoakUpstream:
    """One upstream; ``runs`` counts how often it began to work on each request."""

    name: str
    random: Random
    runs: Counter[str] = field(factory=Counter)
    arrivals: list[tuple[float, str]] = field(factory=list)
    behaviour: Behaviour = Behaviour.WELL
    share: float = 0.0
    scripted: ScriptedUpstream = field(init=False)

    async def open(self) -> "SoakUpstream":
        """Begin to listen."""
        self.scripted = await ScriptedUpstream(self._serve).start()
        return self

    async def _serve(self, call: Call) -> None:
        request_id = call.header("Attempt-Id")
        if call.header("Expect-Instance") != self.name:
            call.answer(b"", status=421)
            return
        self.arrivals.append((asyncio.get_running_loop().time(), request_id))
        behaviour = self.behaviour if self.random.random() < self.share else Behaviour.WELL
        if behaviour is Behaviour.DECLINE:
            call.answer(b"", status=503, extra="Not-Executed: 1\r\n")
            return
        self.runs[request_id] += 1
        await asyncio.sleep(WORK_S)
        match behaviour:
            case Behaviour.FAIL:
                call.answer(b"failed", status=500)
            case Behaviour.LOSE_ANSWER:
                call.reset()
            case Behaviour.HANG:
                await asyncio.sleep(HANG_S)
                call.reset()
            case _ if " /stream/" in call.lines[0]:
                cut = behaviour in (Behaviour.CUT_STREAM, Behaviour.TRUNCATE)
                await self._stream(call, cut=cut)
            case Behaviour.TRUNCATE:
                call.start_answer(len(make_body(request_id)))
                call.writer.write(make_body(request_id)[:20])
                call.writer.close()
            case _:
                call.answer(make_body(request_id))
                if behaviour is Behaviour.SURPLUS:
                    call.answer(b"surplus")

    async def _stream(self, call: Call, *, cut: bool) -> None:
        call.start_events()
        first = int(call.header("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            if cut and number == first + 2:
                call.write_event(number, missing_bytes=3)
                call.reset()
                return
            call.write_event(number)
        call.end_events()
