"""Memory for bodies: its rule without a network, and what callers and upstreams see of it."""

import asyncio
from contextlib import suppress

from attrs import evolve
from hypothesis import given
from hypothesis.strategies import integers, lists, tuples
from testtools import TestCase
from testtools.matchers import Contains, StartsWith

from cherrylane.http.limits import InboundLimits
from cherrylane.http.listener import InboundServer
from cherrylane.http.memory import SHARE_OF_FREE, Held, MemoryAccount
from cherrylane.http.messages import Request, Response
from cherrylane.http.responder import Responder
from cherrylane.limits.memory_pressure import SMALL_BYTES
from tests.relay_fixture import SAFE, UNSAFE, RelayFixture, fail, fetch, succeed
from tests.test_endless_bytes import CHUNKED, HEAD
from tests.test_inbound import open_slow_caller
from tests.wire import (
    LOOPBACK,
    Call,
    make_configuration,
    open_listener,
    run,
    send_raw,
    wait_for,
)

LIMIT = 10_000_000
BODY = b"x" * 500_000
# More than the buffers of both sockets hold, and the memory for what they do not.
UNREAD = b"x" * 6_000_000
UNREAD_LIMIT = 12_000_000


class MemoryAccountTest(TestCase):
    # Guards against bodies that are each within their limit exceeding the memory together (review/2
    # and review/4).
    @given(lists(tuples(integers(0, 9), integers(0, LIMIT)), max_size=60))
    def test_large_bodies_leave_room_for_others(self, steps: list[tuple[int, int]]) -> None:
        memory = MemoryAccount(LIMIT)
        held = [memory.open() for _ in range(10)]
        for index, count in steps:
            held[index].grow(count)
        large = sum(one.size for one in held if one.size > SMALL_BYTES)
        self.assertTrue(large <= LIMIT, large)
        self.assertEqual(sum(one.size for one in held), memory.held_bytes)
        self.assertTrue(memory.open().grow(SMALL_BYTES))
        for one in held:
            one.release()
            one.release()

    def test_the_largest_is_the_first_that_may_not_grow(self) -> None:
        memory = MemoryAccount(LIMIT)
        endless = [memory.open() for _ in range(20)]
        for _ in range(200):
            for one in endless:
                one.grow(SMALL_BYTES)
        free = LIMIT - memory.held_bytes
        self.assertTrue(free > LIMIT / 10, free)
        sound = memory.open()
        self.assertTrue(sound.grow(int(free * SHARE_OF_FREE) - 1))
        self.assertFalse(endless[0].grow(SMALL_BYTES))


class CallersTest(TestCase):
    # Guards against more bodies than the memory holds: what does not fit is refused, not run.
    def test_a_request_without_memory_for_its_body_is_refused_and_others_are_served(self) -> None:
        async def scenario() -> tuple[list[bytes], int, int]:
            is_released = asyncio.Event()
            served = []

            async def handle(request: Request, responder: Responder) -> None:
                served.append(len(request.body))
                await is_released.wait()
                responder.send(Response(200))

            memory = MemoryAccount(len(BODY) * 6)
            server = InboundServer(handle, InboundLimits(), memory=memory)
            await server.listen(open_listener())
            head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            sends = [
                asyncio.ensure_future(send_raw(server.port, head % len(BODY) + BODY))
                for _ in range(6)
            ]
            small = asyncio.ensure_future(send_raw(server.port, head % 3 + b"abc"))
            while len(served) + sum(one.done() for one in sends) < 7:
                await asyncio.sleep(0.01)
            refused = sum(one.done() for one in sends)
            is_released.set()
            answers = [await one for one in [*sends, small]]
            while server.connections:
                await asyncio.sleep(0.01)
            return answers, refused, memory.held_bytes

        answers, refused, left = run(scenario())
        self.assertTrue(0 < refused < 6, refused)
        statuses = sorted(answer[9:12] for answer in answers)
        self.assertEqual([b"200"] * (7 - refused) + [b"503"] * refused, statuses)
        self.assertThat(answers[-1], StartsWith(b"HTTP/1.1 200 "))
        for answer in answers:
            if answer.startswith(b"HTTP/1.1 503"):
                self.assertThat(answer, Contains(b"Retry-After: 0.50\r\n"))
        self.assertEqual(0, left)

    # Guards against responses that nobody reads filling the memory (REPORT.md of the review).
    def test_responses_that_are_read_slowly_are_counted_until_they_have_left(self) -> None:
        async def scenario() -> tuple[int, int, int, int]:
            handled = []

            async def handle(request: Request, responder: Responder) -> None:
                responder.send(Response(200, (), UNREAD))
                handled.append(request)

            memory = MemoryAccount(UNREAD_LIMIT)
            server = InboundServer(handle, InboundLimits(), memory=memory)
            await server.listen(open_listener())
            callers = [await open_slow_caller(server.port) for _ in range(8)]
            for _, writer in callers:
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await wait_for(lambda: len(handled) == 8)
            held, most = memory.held_bytes, memory.limit_bytes
            whole = 0
            for reader, writer in callers:
                with suppress(ConnectionError, asyncio.IncompleteReadError):
                    await reader.readuntil(b"\r\n\r\n")
                    whole += len(await reader.readexactly(len(UNREAD))) == len(UNREAD)
                writer.close()
            await wait_for(lambda: not memory.held_bytes)
            return held, most, whole, memory.held_bytes

        held, most, whole, left = run(scenario())
        self.assertTrue(0 < held < most, held)
        self.assertTrue(0 < whole < 8, whole)
        self.assertEqual(0, left)

    def test_a_chunked_body_is_counted_as_it_arrives(self) -> None:
        async def scenario() -> tuple[bytes, int]:
            async def handle(request: Request, responder: Responder) -> None:
                responder.send(Response(200))

            memory = MemoryAccount(len(BODY))
            server = InboundServer(handle, InboundLimits(), memory=memory)
            await server.listen(open_listener())
            head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
            return await send_raw(server.port, head + chunks), memory.held_bytes

        answer, left = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertEqual(0, left)


async def fail_without_end(call: Call) -> None:
    head = (HEAD + CHUNKED).format(call.header("Attempt-Id"))
    call.writer.write(head.replace(" 200 ", " 500 ").encode())
    while True:
        call.writer.write(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")
        await call.writer.drain()


class UpstreamsTest(TestCase):
    # Guards against endless failures, each within its limit, filling the memory (review/2).
    def test_endless_answers_are_given_up_and_sound_ones_pass(self) -> None:
        async def scenario() -> tuple[bytes, bytes, int, int]:
            scripts = (fail_without_end, succeed)
            fixture = await RelayFixture(scripts, make_configuration(UNSAFE), slack=0).open()
            assert fixture.relay is not None
            memory = fixture.relay.memory = MemoryAccount(1_000_000)
            endless = await fixture.fetch("POST", request_id="1")
            fixture.set_order(1, 0)
            sound = await fixture.fetch("POST", request_id="1")
            return endless, sound, memory.held_bytes, max(fixture.calls)

        endless, sound, left, calls = run(scenario())
        self.assertThat(endless, StartsWith(b"HTTP/1.1 502 "))
        self.assertThat(sound, Contains(b"done"))
        self.assertEqual((0, 1), (left, calls))

    # Guards against an account that falls below zero, and then lets everything in: what a request
    # held was released when its caller left, and again by its attempt, which was cancelled then.
    def test_what_a_caller_that_leaves_had_held_is_released_once(self) -> None:
        async def fail_slowly(call: Call) -> None:
            call.start_answer(LIMIT, status=500)
            while True:
                call.writer.write(bytes(SMALL_BYTES))
                await asyncio.sleep(0.05)

        async def scenario() -> list[int]:
            fixture = await RelayFixture((fail_slowly,), make_configuration(SAFE)).open()
            assert fixture.relay is not None and fixture.server is not None
            memory = fixture.relay.memory = MemoryAccount(LIMIT)
            for number in range(3):
                _, writer = await asyncio.open_connection(LOOPBACK, fixture.server.port)
                head = f"GET /x/y HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {number}\r\n\r\n"
                writer.write(head.encode())
                await wait_for(lambda: memory.held_by_kind[Held.ANSWER] > SMALL_BYTES)
                writer.close()
                await wait_for(lambda: not memory.sources)
            return memory.held_by_kind

        self.assertEqual([0] * len(Held), run(scenario()))

    # Guards against reading what cannot be passed on: a success without a signature.
    def test_an_unsigned_success_is_given_up_at_its_head(self) -> None:
        async def answer_without_end(call: Call) -> None:
            head = (HEAD + CHUNKED).format(call.header("Attempt-Id"))
            call.writer.write(head.replace("Server-Seal: s\r\n", "").encode())
            while True:
                call.writer.write(b"1\r\nx\r\n")
                await call.writer.drain()
                await asyncio.sleep(0.01)

        answer, calls = fetch(SAFE, answer_without_end, succeed)
        self.assertThat(answer, Contains(b"done"))
        self.assertEqual([1, 1], calls)
        answer, calls = fetch(evolve(UNSAFE, timeout_s=60.0), answer_without_end, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))

    def test_a_failure_is_passed_on_with_its_body(self) -> None:
        answer, _ = fetch(UNSAFE, fail, method="POST")
        self.assertThat(answer, Contains(b"oops"))

    # Guards against upstreams working for a response that nobody has memory for.
    def test_a_request_without_memory_for_its_response_is_refused_as_not_run(self) -> None:
        async def scenario() -> tuple[bytes, bytes, list[int]]:
            fixture = await RelayFixture((succeed,), make_configuration(UNSAFE)).open()
            assert fixture.relay is not None
            held = fixture.relay.memory.open()
            held.hold(fixture.relay.memory.limit_bytes)
            refused = await fixture.fetch("POST")
            held.release()
            return refused, await fixture.fetch("POST"), fixture.calls

        refused, served, calls = run(scenario())
        self.assertThat(refused, StartsWith(b"HTTP/1.1 503 "))
        self.assertThat(refused, Contains(b"Retry-After: 1.00\r\n"))
        self.assertThat(refused, Contains(b"no_memory"))
        self.assertThat(served, Contains(b"done"))
        self.assertEqual([1], calls)
