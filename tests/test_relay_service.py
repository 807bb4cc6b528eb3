import asyncio
from typing import Any

from attrs import define, field
from testtools import TestCase
from testtools.matchers import Contains, Not, StartsWith

from cherrylane.http.inbound import InboundServer
from cherrylane.http.limits import InboundLimits
from cherrylane.http.outbound import ConnectionPool
from cherrylane.limits.retries import RetryAllowance
from cherrylane.limits.suspicion import Suspicion
from cherrylane.placement.choice import Chooser
from cherrylane.placement.loads import Load, LoadBoard
from cherrylane.relay import service
from cherrylane.relay.attempts import Attempts
from cherrylane.relay.exchange import Exchanges
from cherrylane.relay.selection import Selection
from cherrylane.relay.service import RelayService
from cherrylane.routing.routes import Configuration, RequestKind, Route
from cherrylane.routing.snapshot import Snapshot
from cherrylane.settings.gateway import RetryBounds
from cherrylane.telemetry.counters import Telemetry
from tests.wire import (
    LOOPBACK,
    PATIENCE_S,
    Call,
    Script,
    ScriptedUpstream,
    make_configuration,
    make_route,
    make_snapshot,
    open_listener,
    run,
    send_raw,
    wait_for,
)

SAFE = make_route(RequestKind.SAFE)
UNSAFE = make_route(RequestKind.UNSAFE, max_attempts=2)
RESUMABLE = make_route(
    RequestKind.STREAM, is_resumable=True, max_pause_s=0.25, target_s=1.0, max_attempts=2
)
STREAM = make_route(RequestKind.STREAM, max_pause_s=0.05, max_attempts=2)


@define
class Desk:
    """A relay before scripted upstreams, which are tried in the order given."""

    scripts: tuple[Script, ...]
    configuration: Configuration
    slack: float = 100.0
    upstreams: list[ScriptedUpstream] = field(factory=list)
    snapshot: Snapshot = field(factory=Snapshot)
    board: LoadBoard = field(factory=LoadBoard)
    server: InboundServer | None = None
    relay: RelayService | None = None

    async def open(self) -> "Desk":
        self.upstreams = [await ScriptedUpstream(script).start() for script in self.scripts]
        described = [one.describe(f"i{place}") for place, one in enumerate(self.upstreams)]
        self.snapshot = make_snapshot(described, self.configuration)
        # The order of choice is by load, so that a test knows who is asked first.
        self.board.take_peer(
            "peer", {f"i{place}": Load(place * 10) for place in range(len(described))}, float("inf")
        )
        suspicion = Suspicion()
        attempts = Attempts(
            Selection(Chooser("a", 2.0), self.board, suspicion),
            Exchanges(ConnectionPool(1.0, 1.0)),
            self.board,
            lambda: self.snapshot,
            lambda name: RetryAllowance(RetryBounds(0.2, 10.0, self.slack), 1),
        )
        self.relay = RelayService(attempts, lambda: self.snapshot, Telemetry())
        self.server = InboundServer(self.relay.handle, InboundLimits())
        await self.server.listen(open_listener())
        return self

    async def ask(self, method: str = "GET", *, extra: str = "", request_id: str = "1") -> bytes:
        assert self.server is not None
        identity = f"Attempt-Id: {request_id}\r\n" if request_id else ""
        head = f"{method} /x/y?q=1 HTTP/1.1\r\nHost: desk.example\r\n{identity}{extra}"
        return await send_raw(self.server.port, f"{head}Connection: close\r\n\r\n".encode())

    @property
    def calls(self) -> list[int]:
        return [len(one.calls) for one in self.upstreams]


def ask(route: Route, *scripts: Script, keys: str = "", **options: Any) -> tuple[bytes, list[int]]:
    async def work() -> tuple[bytes, list[int]]:
        desk = await Desk(scripts, make_configuration(route, keys=keys)).open()
        return await desk.ask(**options), desk.calls

    return run(work())


async def succeed(call: Call) -> None:
    call.answer(b"done")


async def fail(call: Call) -> None:
    call.answer(b"oops", status=500)


async def refuse(call: Call) -> None:
    call.answer(b"", status=503, extra="Not-Executed: 1\r\n")


async def refuse_without_saying(call: Call) -> None:
    call.answer(b"", status=503)


async def reset(call: Call) -> None:
    call.reset()


async def hang(call: Call) -> None:
    await asyncio.sleep(60)


async def unsigned(call: Call) -> None:
    call.writer.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 1\r\n\r\na")


async def short(call: Call) -> None:
    call.writer.write(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\na"
    )
    call.writer.close()


async def answer_to_another(call: Call) -> None:
    call.writer.write(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nother"
    )
    call.answer(b"own")


def stream(first: int, last: int, *, cut: bool = False, then: Script | None = None) -> Script:
    async def script(call: Call) -> None:
        call.start_events()
        for number in range(first, last + 1):
            call.event(number)
        if cut:
            call.event(last + 1, cut=5)
            await call.writer.drain()
            await asyncio.sleep(0.02)
            call.reset()
        elif then is not None:
            await call.writer.drain()
            await then(call)
        else:
            call.end_events()

    return script


def events(answer: bytes) -> list[int]:
    lines = answer.replace(b"\r\n", b"\n").split(b"\n")
    return [int(line[6:]) for line in lines if line.startswith(b"data: ")]


class AnswersTest(TestCase):
    def test_an_answer_is_passed_on_with_its_signature(self) -> None:
        answer, calls = ask(SAFE, succeed)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 OK\r\n"))
        self.assertThat(answer, Contains(b"Server-Seal: s"))
        self.assertTrue(answer.endswith(b"\r\n\r\ndone"))
        self.assertEqual([1], calls)

    def test_a_request_reaches_its_upstream_unchanged(self) -> None:
        seen: list[Call] = []

        async def keep(call: Call) -> None:
            seen.append(call)
            call.answer()

        ask(SAFE, keep, keys="k1", extra="Authorization: Bearer k1\r\nDeadline-Ms: 3000\r\n")
        call = seen[0]
        self.assertEqual("GET /x/y?q=1 HTTP/1.1", call.lines[0])
        self.assertEqual("union", call.header("Tenant"))
        self.assertEqual("i0", call.header("Expect-Instance"))
        self.assertEqual("", call.header("Authorization"))
        self.assertTrue(2000 < int(call.header("Deadline-Ms")) <= 3000)

    def test_an_answer_that_belongs_to_another_request_is_dropped(self) -> None:
        answer, _ = ask(UNSAFE, answer_to_another)
        self.assertTrue(answer.endswith(b"own"), answer)

    def test_what_is_not_proved_is_no_success(self) -> None:
        for script in (unsigned, short, reset):
            answer, calls = ask(UNSAFE, script, succeed, method="POST")
            self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
            self.assertEqual([1, 0], calls)

    def test_a_request_for_the_head_alone_is_answered_without_a_body(self) -> None:
        async def answer_head(call: Call) -> None:
            call.writer.write(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\n"
            )

        answer, calls = ask(SAFE, answer_head, method="HEAD")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
        self.assertEqual([1], calls)

    def test_an_address_that_another_upstream_has_by_now_is_left_alone(self) -> None:
        async def misdirected(call: Call) -> None:
            call.answer(b"", status=421)

        async def work() -> tuple[bytes, list[int]]:
            desk = await Desk((misdirected, succeed), make_configuration(UNSAFE)).open()
            await desk.ask("POST")
            return await desk.ask("POST"), desk.calls

        answer, calls = run(work())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([1, 2], calls)


class RejectionsTest(TestCase):
    def test_requests_that_no_configuration_allows(self) -> None:
        other = make_route(path_prefix="/other/")
        self.assertThat(ask(other, succeed)[0], StartsWith(b"HTTP/1.1 404 "))
        self.assertThat(ask(SAFE, succeed, keys="k1")[0], StartsWith(b"HTTP/1.1 401 "))
        self.assertThat(ask(SAFE, succeed, request_id="")[0], StartsWith(b"HTTP/1.1 400 "))

    def test_a_public_route_needs_no_key(self) -> None:
        public = make_route(is_public=True)
        self.assertThat(ask(public, succeed, keys="k1")[0], StartsWith(b"HTTP/1.1 200 "))

    def test_without_a_configuration_callers_are_told_when_to_come_back(self) -> None:
        async def work() -> bytes:
            desk = await Desk((succeed,), make_configuration(SAFE)).open()
            desk.snapshot = Snapshot()
            return await desk.ask()

        answer = run(work())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertThat(answer, Contains(b"Retry-After: "))

    def test_a_host_that_has_just_started_waits_for_its_first_configuration(self) -> None:
        """All hosts start again at once: callers arrive before the store has answered."""

        async def work(is_told: bool) -> bytes:
            desk = await Desk((succeed,), make_configuration(SAFE)).open()
            assert desk.relay is not None
            known, desk.snapshot = desk.snapshot, Snapshot()
            desk.relay.begin()
            asking = asyncio.create_task(desk.ask())
            await asyncio.sleep(0.05)
            if is_told:
                desk.snapshot = known
                desk.relay.informed.set()
            return await asking

        self.patch(service, "FIRST_KNOWLEDGE_S", PATIENCE_S)
        self.assertThat(run(work(is_told=True)), StartsWith(b"HTTP/1.1 200 "))
        self.patch(service, "FIRST_KNOWLEDGE_S", 0.1)
        self.assertThat(run(work(is_told=False)), StartsWith(b"HTTP/1.1 503 "))

    def test_without_upstreams_the_answer_comes_at_once(self) -> None:
        self.assertThat(ask(SAFE)[0], StartsWith(b"HTTP/1.1 503 "))


class RepeatsTest(TestCase):
    def test_a_safe_request_that_failed_is_tried_elsewhere(self) -> None:
        for script in (fail, reset, unsigned, short, refuse, refuse_without_saying):
            answer, calls = ask(SAFE, script, succeed)
            self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
            self.assertEqual([1, 1], calls)

    def test_a_safe_request_is_taken_from_a_silent_upstream(self) -> None:
        quick = make_route(RequestKind.SAFE, target_s=0.1)
        answer, calls = ask(quick, hang, succeed)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([1, 1], calls)

    def test_the_upstreams_own_failure_is_passed_on_when_nothing_is_left(self) -> None:
        answer, calls = ask(SAFE, fail, fail, succeed)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 500 "))
        self.assertEqual([1, 1, 0], calls)

    def test_a_request_that_may_have_run_is_not_repeated(self) -> None:
        for route in (UNSAFE, STREAM):
            for script in (reset, refuse_without_saying):
                answer, calls = ask(route, script, succeed, method="POST")
                self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
                self.assertThat(answer, Not(Contains(b"Retry-After")))
                self.assertEqual([1, 0], calls)

    def test_a_request_that_was_not_run_is_tried_elsewhere(self) -> None:
        answer, calls = ask(UNSAFE, refuse, succeed, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([1, 1], calls)

    def test_a_request_that_nobody_ran_is_refused_with_a_time_to_come_back(self) -> None:
        answer, calls = ask(UNSAFE, refuse, refuse, refuse, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertThat(answer, Contains(b"Retry-After: "))
        self.assertEqual([1, 1, 0], calls)

    def test_the_bound_of_the_route_counts_all_upstreams_that_were_sent_to(self) -> None:
        once = make_route(RequestKind.UNSAFE, max_attempts=1)
        answer, calls = ask(once, refuse, succeed, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertEqual([1, 0], calls)

    def test_an_upstream_that_cannot_be_reached_does_not_count(self) -> None:
        async def work() -> tuple[bytes, list[int]]:
            once = make_route(RequestKind.UNSAFE, max_attempts=1)
            desk = await Desk((succeed, succeed), make_configuration(once)).open()
            closed = desk.upstreams[0]._server
            assert closed is not None
            closed.close()
            return await desk.ask("POST"), desk.calls

        answer, calls = run(work())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([0, 1], calls)

    def test_without_budget_nothing_is_repeated(self) -> None:
        async def work() -> list[int]:
            desk = await Desk((fail, succeed), make_configuration(SAFE), slack=0.0).open()
            await desk.ask()
            return desk.calls

        self.assertEqual([1, 0], run(work()))

    def test_a_request_ends_at_its_routes_timeout(self) -> None:
        brief = make_route(RequestKind.UNSAFE, timeout_s=0.2)
        answer, _ = ask(brief, hang, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 504 "))


class StreamsTest(TestCase):
    def test_a_stream_without_a_signature_is_no_success(self) -> None:
        async def unsigned_stream(call: Call) -> None:
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            call.writer.write(head)
            call.event(1)
            call.end_events()

        answer, calls = ask(STREAM, unsigned_stream, stream(1, 3), method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
        self.assertEqual([1, 0], calls)
        answer, calls = ask(RESUMABLE, unsigned_stream, stream(1, 3), method="POST")
        self.assertEqual(([1, 2, 3], [1, 1]), (events(answer), calls))

    def test_a_stream_is_relayed_whole(self) -> None:
        answer, calls = ask(STREAM, stream(1, 5), method="POST")
        self.assertEqual([1, 2, 3, 4, 5], events(answer))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual([1], calls)

    def test_a_broken_stream_does_not_look_complete(self) -> None:
        answer, calls = ask(STREAM, stream(1, 2, cut=True), stream(1, 5), method="POST")
        self.assertEqual([1, 2], events(answer))
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual([1, 0], calls)

    def test_a_resumable_stream_goes_on_after_its_last_whole_event(self) -> None:
        asked: list[str] = []

        async def resume(call: Call) -> None:
            asked.append(call.header("Last-Event-Id"))
            await stream(3, 5)(call)

        answer, _ = ask(RESUMABLE, stream(1, 2, cut=True), resume, method="POST")
        self.assertEqual(["2"], asked)
        self.assertEqual([1, 2, 3, 4, 5], events(answer))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))

    def test_a_silent_stream_is_left_before_another_upstream_begins(self) -> None:
        async def work() -> tuple[list[int], int]:
            left = 0

            async def resume(call: Call) -> None:
                nonlocal left
                await wait_for(lambda: desk.upstreams[0].left == 1)
                left = desk.upstreams[0].left
                await stream(2, 3)(call)

            async def silent(call: Call) -> None:
                await call.reader.read()

            scripts = (stream(1, 1, then=silent), resume)
            desk = await Desk(scripts, make_configuration(RESUMABLE)).open()
            return events(await desk.ask("POST")), left

        self.assertEqual(([1, 2, 3], 1), run(work()))

    def test_a_stream_that_broke_before_its_first_event_is_begun_again(self) -> None:
        answer, calls = ask(RESUMABLE, stream(1, 0, cut=True), stream(1, 3), method="POST")
        self.assertEqual([1, 2, 3], events(answer))
        self.assertEqual([1, 1], calls)

    def test_what_the_caller_has_seen_is_told_to_the_upstream(self) -> None:
        asked: list[str] = []

        async def resume(call: Call) -> None:
            asked.append(call.header("Last-Event-Id"))
            await stream(8, 9)(call)

        ask(RESUMABLE, resume, method="POST", extra="Last-Event-Id: 7\r\n")
        ask(STREAM, resume, method="POST", extra="Last-Event-Id: 7\r\n")
        self.assertEqual(["7", ""], asked)

    def test_a_caller_that_leaves_ends_the_work_of_its_upstream(self) -> None:
        async def work() -> None:
            async def go_on(call: Call) -> None:
                await call.reader.read()

            desk = await Desk((stream(1, 1, then=go_on),), make_configuration(STREAM)).open()
            assert desk.server is not None
            reader, writer = await asyncio.open_connection(LOOPBACK, desk.server.port)
            writer.write(b"POST /x/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 1\r\n\r\n")
            await reader.readuntil(b"data: 1")
            writer.close()
            await wait_for(lambda: desk.upstreams[0].left == 1)
            await wait_for(lambda: not desk.board.own)

        run(work())
