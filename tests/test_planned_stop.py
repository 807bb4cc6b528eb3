"""Planned stops of a gateway: what becomes of requests that do not end within the grace time."""

import asyncio
from signal import SIGHUP, SIGTERM
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, EndsWith, Not, StartsWith

from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.relay.continuity import StreamProgress
from cherrylane.relay.outcomes import Cause, Rejection
from cherrylane.relay.state import RequestState
from cherrylane.relay.stopping import FinalOutcome, PlannedStop
from tests.relay_fixture import (
    RESUMABLE,
    SAFE,
    UNSAFE,
    RelayFixture,
    events,
    refuse_not_run,
    stream,
    succeed,
)
from tests.test_gateway import DESK, ROUTE, GatewayCase, GatewayProcess
from tests.test_responder import make_responder
from tests.wire import (
    LOOPBACK,
    Call,
    ScriptedUpstream,
    make_configuration,
    make_request,
    open_listener,
    run,
    send_raw,
    wait_for,
)

# Longer than any stop here.
TIMEOUT_MS = 15_000
KINDS = ("safe", "unsafe", "streaming", "resumable")
HEAD = "POST /{kind}/y HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nContent-Length: "


def make_stop_route(kind: str) -> dict[str, Any]:
    return ROUTE | {
        "name": kind,
        "path_prefix": f"/{kind}/",
        "kind": "streaming" if kind == "resumable" else kind,
        "resumable": kind == "resumable",
        "traffic_split": None,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": TIMEOUT_MS,
        "gap_aim_ms": TIMEOUT_MS,
    }


def encode(kind: str, request_id: int, extra: str = "") -> bytes:
    return (HEAD.format(kind=kind, id=request_id) + f"0\r\n{extra}\r\n").encode()


class StopCase(GatewayCase):
    async def open(self, upstream: ScriptedUpstream) -> int:
        """Write the routes and the upstream; return the callers' port of the ready gateway."""
        document = DESK | {"routes": [make_stop_route(kind) for kind in KINDS]}
        client = AsyncPlatformClient(self.store)
        await client.create(PlatformObject(Kind.CONFIG, "main", document))
        entry = upstream.make_entry("desk", slots=64)
        await client.create(PlatformObject(Kind.UPSTREAMS, "i-1", entry))
        await self.wait_until_ready()
        return self.gateway.port("callers")

    async def begin_stop(self) -> None:
        self.gateway.process.send_signal(SIGTERM)
        await asyncio.to_thread(self.gateway.wait_for, "stopping")

    def check_stopped(self, **counts: int) -> None:
        """Check that the process ends by itself, and what it counted."""
        self.assertEqual(0, self.gateway.process.wait(timeout=20))
        line = self.gateway.wait_for("stopped")
        expected = {"refused": 0, "unknown": 0, "broken_off": 0, "cut": 0} | counts
        self.assertEqual(expected, {name: line[name] for name in expected})

    def find_outcomes(self) -> dict[str, str]:
        return {line["request"]: line["outcome"] for line in self.gateway.find("request")}


class EndOfGraceTest(StopCase):
    grace_s = 3

    # Guards against a process that ends on running requests without any answer.
    def test_what_still_runs_gets_a_truthful_answer(self) -> None:
        async def work() -> tuple[list[bytes], int]:
            async def never_answer(call: Call) -> None:
                if call.lines[0].split()[1].startswith(("/streaming", "/resumable")):
                    call.start_events()
                    call.write_event(1)
                await call.reader.read()

            upstream = await ScriptedUpstream(never_answer).start()
            port = await self.open(upstream)
            requests = [encode(kind, number) for number, kind in enumerate(KINDS)]
            pipelined = encode("unsafe", 4) + encode("unsafe", 5)
            running = [
                asyncio.create_task(send_raw(port, request)) for request in (*requests, pipelined)
            ]
            await wait_for(lambda: len(upstream.calls) == len(running))
            unread = encode("unsafe", 6).replace(b"Content-Length: 0", b"Content-Length: 9")
            running.append(asyncio.create_task(send_raw(port, unread + b"half")))
            await self.begin_stop()
            self.gateway.process.send_signal(SIGTERM)
            self.gateway.process.send_signal(SIGHUP)
            answers = [await task for task in running]
            await wait_for(lambda: upstream.closed_connections >= len(upstream.calls))
            return answers, len(upstream.calls)

        (safe, unsafe, streaming, resumable, pipelined, unread), calls = run(work())
        self.assertEqual(5, calls)
        for answer in (safe, unsafe):
            self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
            self.assertThat(answer, Contains(b"outcome_unknown"))
        for answer in (streaming, resumable):
            self.assertEqual([1], events(answer))
            self.assertThat(answer, Not(EndsWith(b"0\r\n\r\n")))
        first, second = pipelined.split(b"HTTP/1.1 ")[1:]
        self.assertThat(first, StartsWith(b"502"))
        self.assertThat(second, StartsWith(b"503"))
        self.assertThat(second, Contains(b"stopping"))
        self.assertThat(unread, StartsWith(b"HTTP/1.1 503"))
        self.check_stopped(refused=2, unknown=3, broken_off=2)
        outcomes = self.find_outcomes()
        self.assertEqual("outcome_unknown", outcomes["1"])
        self.assertEqual("broken: this host stops", outcomes["3"])

    # Guards against requests that are passed on in a stop and cannot end in it.
    def test_what_cannot_be_expected_to_end_is_refused_at_once(self) -> None:
        async def work() -> tuple[list[bytes], bytes, list[str]]:
            async def answer_at_the_end(call: Call) -> None:
                if call.header("Attempt-Id") == "9":
                    call.answer(b"done")
                await call.reader.read()

            upstream = await ScriptedUpstream(answer_at_the_end).start()
            port = await self.open(upstream)
            await self.begin_stop()
            refused = [
                await send_raw(port, encode(kind, number)) for number, kind in enumerate(KINDS)
            ]
            served = await send_raw(port, encode("unsafe", 9, "Deadline-Ms: 1500\r\n"))
            return refused, served, [call.header("Attempt-Id") for call in upstream.calls]

        refused, served, reached = run(work())
        for answer in refused:
            self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
            self.assertThat(answer, Contains(b"stopping"))
            self.assertThat(answer, Contains(b"Retry-After: 0"))
        self.assertThat(served, StartsWith(b"HTTP/1.1 200"))
        self.assertEqual(["9"], reached)
        self.check_stopped(refused=len(KINDS))
        self.assertEqual("stopping", self.find_outcomes()["0"])

    # Guards against a calm stop that refuses the requests which usually end in time.
    def test_requests_of_a_route_with_short_run_times_are_served(self) -> None:
        async def work() -> list[bytes]:
            async def answer(call: Call) -> None:
                call.answer(b"done")

            port = await self.open(await ScriptedUpstream(answer).start())
            await send_raw(port, encode("unsafe", 1, "Connection: close\r\n"))
            await self.begin_stop()
            return [await send_raw(port, encode("unsafe", number)) for number in (2, 3, 4)]

        for answer in run(work()):
            self.assertThat(answer, StartsWith(b"HTTP/1.1 200"))
        self.check_stopped()


class ShortGraceTest(StopCase):
    grace_s = 1

    # Guards against a stop that waits for longer than its grace, and is killed in the middle.
    def test_a_grace_shorter_than_the_lifetime_of_addresses(self) -> None:
        async def work() -> bytes:
            async def never_answer(call: Call) -> None:
                await call.reader.read()

            upstream = await ScriptedUpstream(never_answer).start()
            port = await self.open(upstream)
            running = asyncio.create_task(send_raw(port, encode("unsafe", 1)))
            await wait_for(lambda: bool(upstream.calls))
            await self.begin_stop()
            return await running

        answer = run(work())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
        self.check_stopped(unknown=1)

    def test_a_stop_during_the_start_answers_requests(self) -> None:
        async def work() -> bytes:
            port = self.gateway.port("callers")
            _, writer = opened = await asyncio.open_connection(LOOPBACK, port)
            self.gateway.process.send_signal(SIGTERM)
            writer.write(encode("unsafe", 1, "Connection: close\r\n"))
            answer = await opened[0].read()
            writer.close()
            return answer

        self.assertThat(run(work()), StartsWith(b"HTTP/1.1 503"))
        self.assertEqual(0, self.gateway.process.wait(timeout=20))


class StopBeforeStartTest(TestCase):
    # Guards against connections that are accepted and reset while the process still starts.
    def test_a_stop_before_the_start_answers_requests_that_wait(self) -> None:
        with open_listener() as reserved:
            port = reserved.getsockname()[1]
        gateway = GatewayProcess(store_port=1, grace_s=3, callers_port=port)
        self.addCleanup(gateway.close)

        async def work() -> bytes:
            while True:
                try:
                    reader, writer = await asyncio.open_connection(LOOPBACK, port)
                    break
                except ConnectionRefusedError:
                    await asyncio.sleep(0.01)
            writer.write(encode("unsafe", 1, "Connection: close\r\n"))
            gateway.process.send_signal(SIGTERM)
            answer = await reader.read()
            writer.close()
            return answer

        self.assertThat(run(work()), StartsWith(b"HTTP/1.1 503"))
        self.assertEqual(0, gateway.process.wait(timeout=20))


class FurtherAttemptTest(TestCase):
    def fetch_in_stop(
        self, fixture: RelayFixture, time_left_s: float, *, ends: bool = False
    ) -> bytes:
        """Return the answer to a request that runs as the stop begins, and, if it ends, ends."""

        async def work() -> bytes:
            await fixture.open()
            assert fixture.relay is not None
            running = asyncio.create_task(fixture.fetch("POST"))
            await wait_for(lambda: sum(fixture.calls) == 1)
            fixture.relay.stop.ends_at = asyncio.get_running_loop().time() + time_left_s
            released.set()
            if ends:
                await asyncio.sleep(time_left_s)
                fixture.relay.stop.end()
            return await running

        released = asyncio.Event()
        self.released = released
        return run(work())

    # Guards against retries in a stop that cannot end in it.
    def test_a_request_that_was_not_run_is_not_retried(self) -> None:
        async def refuse_late(call: Call) -> None:
            await self.released.wait()
            await refuse_not_run(call)

        fixture = RelayFixture((refuse_late, succeed), make_configuration(UNSAFE))
        answer = self.fetch_in_stop(fixture, 0.5)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
        self.assertThat(answer, Contains(b"stopping"))
        self.assertEqual([1, 0], fixture.calls)

    # Guards against attempts beside a silent one that are started in a stop.
    def test_a_silent_attempt_gets_no_other_beside_it(self) -> None:
        async def never_answer(call: Call) -> None:
            await call.reader.read()

        fixture = RelayFixture((never_answer, succeed), make_configuration(SAFE))
        answer = self.fetch_in_stop(fixture, SAFE.target_s, ends=True)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
        self.assertEqual([1, 0], fixture.calls)

    # Guards against a stream that is taken up again by a host that cannot end it.
    def test_a_stream_that_breaks_off_is_left_to_its_caller(self) -> None:
        async def break_off_late(call: Call) -> None:
            await self.released.wait()
            call.reset()

        scripts = (stream(1, 2, then=break_off_late), stream(3, 4))
        fixture = RelayFixture(scripts, make_configuration(RESUMABLE))
        answer = self.fetch_in_stop(fixture, 0.5)
        self.assertEqual([1, 2], events(answer))
        self.assertThat(answer, Not(EndsWith(b"0\r\n\r\n")))
        self.assertEqual([1, 0], fixture.calls)


class GiveUpTest(TestCase):
    # Guards against an unknown outcome for a request that was sent nowhere.
    def test_a_request_that_waits_for_its_first_attempt_has_not_run(self) -> None:
        async def work() -> FinalOutcome:
            stop = PlannedStop()
            request = make_request(UNSAFE, asyncio.get_running_loop().time())
            state = RequestState(request, StreamProgress(last_id=""))

            async def wait() -> FinalOutcome:
                await asyncio.sleep(60)
                raise AssertionError("not ended")

            running = asyncio.create_task(stop.run(state, make_responder(), wait()))
            await asyncio.sleep(0)
            stop.end()
            return await running

        self.assertEqual(Rejection(Cause.STOPPING, retry_after_s=0.0), run(work()))
