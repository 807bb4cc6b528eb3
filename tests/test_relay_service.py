import asyncio

from testtools import TestCase
from testtools.matchers import Contains, Not, StartsWith

from cherrylane.relay import service
from cherrylane.routing.routes import RequestKind
from cherrylane.routing.snapshot import Snapshot
from tests.desk import (
    SAFE,
    STREAM,
    UNSAFE,
    Desk,
    answer_to_another,
    ask,
    fail,
    hang,
    refuse,
    refuse_without_saying,
    reset,
    short,
    succeed,
    unsigned,
)
from tests.wire import (
    TEST_TIMEOUT_S,
    Call,
    make_configuration,
    make_route,
    run,
)


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

        self.patch(service, "FIRST_KNOWLEDGE_S", TEST_TIMEOUT_S)
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
