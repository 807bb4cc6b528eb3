"""Upstreams of a soak: they record executions and misbehave on demand."""

import asyncio
from collections import Counter
from enum import Enum
from functools import partial
from hashlib import sha256
from math import inf
from random import Random

from attrs import define, field

from cherrylane.http.messages import encode_chunk
from soak.silences import Silence, Silences
from standins.odd_answers import (
    FOREIGN_IDS,
    PLAUSIBLE_RESTS,
    OddAnswer,
    draw_odd_answer,
    make_failure,
    make_rest,
    make_stopped_head,
)
from tests.wire import Call, ScriptedUpstream

# Number of events of a stream, and the interval between them.
EVENT_COUNT = 8
EVENT_INTERVAL_S = 0.02
# The time between the last event of a stream and its end.
END_DELAY_S = 0.06
# The software versions of a service's upstreams, in turn.
SOFTWARE = ("v1", "v1", "v2")
# Processing time of a request.
PROCESSING_S = 0.02
# How long a hanging upstream waits before it resets the connection.
HANG_S = 4.0
# Most copies of a repeated refusal.
MAX_REPEATED_REFUSALS = 6
# The longest time from a failure to the success behind it, in seconds.
SECOND_ANSWER_S = 0.3
# The pause that an upstream asks for, in seconds, and the size of the parts of endless bytes.
BACK_OFF_S = 1.5
ENDLESS_PART_BYTES = 16 * 1024
# A request whose path ends so gets a large answer, of more than the buffers between the processes
# hold; the numbers are those of repeated hashes, and of bytes in each event.
LARGE_PATH = "large"
LARGE_REPETITIONS = 60_000
LARGE_EVENT_BYTES = 480_000


class Behaviour(Enum):
    """How an upstream treats a share of its requests.

    ``DECLINE`` refuses without execution, ``LOSE_RESPONSE`` resets the connection after execution,
    ``CUT_STREAM`` resets a stream within an event, ``TRUNCATE`` does so too and ends other bodies
    early, and ``SURPLUS`` sends a second response that belongs to no request. ``BACK_OFF`` refuses
    and asks for a pause, the endless ones send until the connection is closed. ``UNFRAMED`` sends
    streams that end with their connection, half of them within an event. ``REPEAT_REFUSAL`` sends
    refusals of other requests before its response.
    """

    NORMAL = "well"
    FAIL = "fail"
    DECLINE = "decline"
    LOSE_RESPONSE = "lose response"
    CUT_STREAM = "cut stream"
    HANG = "hang"
    TRUNCATE = "truncate"
    SURPLUS = "surplus"
    BACK_OFF = "back off"
    ENDLESS_HEAD = "endless head"
    ENDLESS_BODY = "endless body"
    UNFRAMED = "unframed"
    REPEAT_REFUSAL = "repeat refusal"


async def _send_without_end(call: Call, behaviour: Behaviour) -> None:
    """Send until the other end closes, which raises a ConnectionError."""
    end_of_head = b"\r\n\r\n" if behaviour is Behaviour.ENDLESS_BODY else b""
    call.writer.write(b"HTTP/1.1 200 OK\r\nX: " + end_of_head)
    while True:
        call.writer.write(b"x" * ENDLESS_PART_BYTES)
        await call.writer.drain()


def _is_stream(call: Call) -> bool:
    return "/stream/" in call.lines[0]


def _name_request(call: Call) -> str:
    """Return the id of a request, its own one too if its caller asks under an earlier one."""
    return call.header("Soak-Request") or call.header("Attempt-Id")


def _is_large(call: Call) -> bool:
    return call.lines[0].split()[1].endswith(LARGE_PATH)


def make_response_body(request_id: str, *, is_large: bool = False) -> bytes:
    """Return the expected response body of a request, which is a hash of its id."""
    repetitions = LARGE_REPETITIONS if is_large else 1
    return sha256(request_id.encode()).hexdigest().encode() * repetitions


def make_event(number: int, *, software: str = "v1", is_large: bool = False) -> bytes:
    """Return an event that a software version writes; a large one begins with a long comment."""
    comment = b":%s\n" % (b"x" * LARGE_EVENT_BYTES) if is_large else b""
    return comment + b"id: %d\ndata: %d %s\n\n" % (number, number, software.encode())


@define
class Refusal:
    """A refusal that asks its host to send nothing for ``seconds``."""

    at: float
    request_id: str
    seconds: float


@define
class NamedLimit:
    """A limit in requests a second that an upstream named between two times."""

    requests_per_s: float
    began: float
    ended: float = inf

    def is_in_force(self, now: float) -> bool:
        """Return whether the upstream named it at a time."""
        return self.began <= now <= self.ended


@define
class SoakUpstream:
    """An upstream; ``executions`` counts how often it began to process each request.

    While ``is_leaving``, all its responses say so. ``rejoined_at`` are the times at which it came
    back under a new incarnation, ``said_leaving`` those at which each response has said so first.
    ``misbehaved`` are the requests that it has treated otherwise than
    a sound upstream may, ``answered`` those to which it has sent an event or a whole success.
    ``odd_answers`` are those that it drew for requests, ``failed_runs`` the runs that it answered
    with a failure, by what their answers say in ``Soak-Run``. There are none without ``odd_seed``.
    """

    name: str
    random: Random
    silences: Silences = field(factory=lambda: Silences(0))
    software: str = "v1"
    odd_seed: int | None = None
    misbehaved: set[str] = field(factory=set)
    answered: set[str] = field(factory=set)
    odd_answers: dict[str, OddAnswer] = field(factory=dict)
    failed_runs: set[str] = field(factory=set)
    said_leaving: dict[str, float] = field(factory=dict)
    link_port: int = 0
    executions: Counter[str] = field(factory=Counter)
    arrivals: list[tuple[float, str]] = field(factory=list)
    refusals: list[Refusal] = field(factory=list)
    limits: list[NamedLimit] = field(factory=list)
    is_leaving: bool = False
    incarnation: int = 1
    rejoined_at: list[float] = field(factory=list)
    behaviour: Behaviour = Behaviour.NORMAL
    faulty_share: float = 0.0
    scripted: ScriptedUpstream = field(init=False)

    async def open(self) -> "SoakUpstream":
        """Start listening on a free port, and return the upstream itself."""
        self.scripted = await ScriptedUpstream(self._serve, self.incarnation).start()
        return self

    async def _serve(self, call: Call) -> None:
        request_id = _name_request(call)
        if call.header("Expect-Instance") != self.name:
            call.answer(b"", status=421)
            return
        self.arrivals.append((asyncio.get_running_loop().time(), request_id))
        behaviour = self.behaviour if self.random.random() < self.faulty_share else Behaviour.NORMAL
        if self.silences.is_refused(request_id, self.name):
            behaviour = Behaviour.DECLINE
        if behaviour in (Behaviour.DECLINE, Behaviour.BACK_OFF):
            self._refuse(call, behaviour)
            return
        if behaviour is not Behaviour.NORMAL:
            self.misbehaved.add(request_id)
        self.executions[request_id] += 1
        run_s = float(call.header("Soak-Seconds") or 0)
        await asyncio.sleep(PROCESSING_S if _is_stream(call) else max(PROCESSING_S, run_s))
        is_sound = behaviour is Behaviour.NORMAL and not run_s
        silence = self.silences.draw(request_id, self.name) if is_sound else None
        is_odd = is_sound and silence is None and self.odd_seed is not None
        if not is_odd or not await self._answer_oddly(call):
            await self._respond(call, behaviour, silence)

    async def _answer_oddly(self, call: Call) -> bool:
        """Draw an odd answer from the seed, the request and the upstream, and write it, if any."""
        random = Random(f"{self.odd_seed} {_name_request(call)} {self.name}")
        request_id, last_event = call.header("Attempt-Id"), int(call.header("Last-Event-Id") or 0)
        odd = draw_odd_answer(random, _is_stream(call), last_event, EVENT_COUNT)
        # A caller that takes a stream up tells its host no more than the last event's id.
        if odd is None or (odd in PLAUSIBLE_RESTS and call.header("Resumes")):
            return False
        self.odd_answers[_name_request(call)] = odd
        self.misbehaved.add(_name_request(call))
        match odd:
            case OddAnswer.TWICE:
                self.failed_runs.add(self._name_run(call))
                call.writer.write(make_failure(random, request_id))
                await asyncio.sleep(random.uniform(0, SECOND_ANSWER_S))
                if not call.writer.transport.is_closing():
                    await self._respond(call, Behaviour.NORMAL)
            case OddAnswer.STOP_IN_HEAD:
                framing = "Transfer-Encoding: chunked" if _is_stream(call) else "Content-Length: 64"
                call.writer.write(make_stopped_head(random, request_id, framing))
                (call.writer.close if random.random() < 0.5 else call.reset)()
            case OddAnswer.BREAK_OFF:
                await self._respond(call, Behaviour.CUT_STREAM)
            case OddAnswer.NO_BODY:
                extra = "Content-Type: text/event-stream\r\n" + self._make_headers(call)
                call.start_answer(0, extra=extra)
            case _:
                call.start_events(self._make_headers(call))
                make_own_event = partial(make_event, software=self.software)
                for event in make_rest(odd, last_event + 1, EVENT_COUNT, make_own_event):
                    await asyncio.sleep(EVENT_INTERVAL_S)
                    call.writer.write(encode_chunk(event))
                call.end_events()
        return True

    async def _respond(
        self, call: Call, behaviour: Behaviour, silence: Silence | None = None
    ) -> None:
        if behaviour is Behaviour.REPEAT_REFUSAL:
            ids = self.random.choice(FOREIGN_IDS).format(id=call.header("Attempt-Id"))
            refusal = f"HTTP/1.1 503 X\r\n{ids}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            call.writer.write(refusal.encode() * self.random.randint(1, MAX_REPEATED_REFUSALS))
        match behaviour:
            case Behaviour.FAIL:
                call.answer(b"failed", status=500, extra=self._make_limit())
            case Behaviour.LOSE_RESPONSE:
                call.reset()
            case Behaviour.HANG:
                await asyncio.sleep(HANG_S)
                call.reset()
            case Behaviour.ENDLESS_HEAD | Behaviour.ENDLESS_BODY:
                await _send_without_end(call, behaviour)
            case _ if _is_stream(call):
                await self._stream(call, behaviour, silence)
            case Behaviour.TRUNCATE:
                body = make_response_body(_name_request(call))
                call.start_answer(len(body), extra=self._make_limit())
                call.writer.write(body[:20])
                call.writer.close()
            case _:
                await self._answer(call, silence)
                if behaviour is Behaviour.SURPLUS:
                    call.answer(b"surplus")

    async def _answer(self, call: Call, silence: Silence | None) -> None:
        request_id = _name_request(call)
        body = make_response_body(request_id, is_large=_is_large(call))
        if silence is not None and silence.after_events is None:
            await asyncio.sleep(silence.seconds)
        call.start_answer(len(body), extra=self._make_headers(call))
        if silence is not None and silence.after_events is not None:
            await asyncio.sleep(silence.seconds)
        call.writer.write(body)
        self.answered.add(request_id)

    def _refuse(self, call: Call, behaviour: Behaviour) -> None:
        extra = "Not-Executed: 1\r\n" + self._make_limit()
        if behaviour is Behaviour.BACK_OFF:
            now = asyncio.get_running_loop().time()
            self.refusals.append(Refusal(now, _name_request(call), BACK_OFF_S))
            extra += f"Retry-After: {BACK_OFF_S}\r\n"
        call.answer(b"", status=503, extra=extra)

    def _make_headers(self, call: Call) -> str:
        if self.is_leaving:
            now = asyncio.get_running_loop().time()
            self.said_leaving.setdefault(_name_request(call), now)
        leaving = "Server-Leaving: 1\r\n" if self.is_leaving else ""
        return f"{leaving}{self._make_limit()}Soak-Run: {self._name_run(call)}\r\n"

    def _name_run(self, call: Call) -> str:
        return f"{self.name}/{_name_request(call)}"

    def _make_limit(self) -> str:
        now = asyncio.get_running_loop().time()
        if not self.limits or not self.limits[-1].is_in_force(now):
            return ""
        return f"Server-Limit: {self.limits[-1].requests_per_s}\r\n"

    async def _stream(self, call: Call, behaviour: Behaviour, silence: Silence | None) -> None:
        cut = behaviour in (Behaviour.CUT_STREAM, Behaviour.TRUNCATE)
        interval_s = float(call.header("Soak-Seconds") or 0) / EVENT_COUNT or EVENT_INTERVAL_S
        chunked = behaviour is not Behaviour.UNFRAMED
        ends_early = not chunked and self.random.random() < 0.5
        if silence is not None and silence.after_events is None:
            await asyncio.sleep(silence.seconds)
        call.start_events(self._make_headers(call), chunked=chunked)
        first = int(call.header("Last-Event-Id") or 0) + 1
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(interval_s)
            if silence is not None and silence.after_events == number - first:
                await asyncio.sleep(silence.seconds)
            if cut and number == first + 2:
                call.write_event(number, missing_bytes=3)
                call.reset()
                return
            if ends_early and number == first + 2:
                call.write_event(number, missing_bytes=3, chunked=False)
                break
            event = make_event(number, software=self.software, is_large=_is_large(call))
            call.writer.write(encode_chunk(event) if chunked else event)
            self.answered.add(_name_request(call))
        # Long enough for a fault between the last event and the end.
        await asyncio.sleep(END_DELAY_S)
        if chunked:
            call.end_events()
        else:
            await call.writer.drain()
            call.writer.close()
