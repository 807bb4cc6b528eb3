import asyncio

from testtools import TestCase
from testtools.matchers import Contains, Not, StartsWith

from cherrylane.relay import service
from cherrylane.routing.routes import RequestKind
from cherrylane.routing.snapshot import Snapshot
from tests.relay_fixture import (
    SAFE,
    STREAM,
    UNSAFE,
    RelayFixture,
    answer_503,
    answer_another_request,
    answer_truncated,
    answer_unsigned,
    fail,
    fetch,
    never_answer,
    refuse_not_run,
    reset,
    succeed,
)
from tests.wire import (
    TEST_TIMEOUT_S,
    Call,
    make_configuration,
    make_route,
    run,
)


class AnswersTest(TestCase):
    def test_an_answer_is_relayed_with_its_signature(self) -> None:
        answer, calls = fetch(SAFE, succeed)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 OK\r\n"))
        self.assertThat(answer, Contains(b"Server-Seal: s"))
        self.assertTrue(answer.endswith(b"\r\n\r\ndone"))
        self.assertEqual([1], calls)

    def test_a_request_reaches_its_upstream_unchanged(self) -> None:
        seen: list[Call] = []

        async def record_call(call: Call) -> None:
            seen.append(call)
            call.answer()

        fetch(
            SAFE, record_call, keys="k1", extra="Authorization: Bearer k1\r\nDeadline-Ms: 3000\r\n"
        )
        call = seen[0]
        self.assertEqual("GET /x/y?q=1 HTTP/1.1", call.lines[0])
        self.assertEqual("union", call.header("Tenant"))
        self.assertEqual("i0", call.header("Expect-Instance"))
        self.assertEqual("", call.header("Authorization"))
        self.assertTrue(2000 < int(call.header("Deadline-Ms")) <= 3000)

    def test_an_answer_to_another_request_is_dropped(self) -> None:
        answer, _ = fetch(UNSAFE, answer_another_request)
        self.assertTrue(answer.endswith(b"own"), answer)

    def test_an_unsigned_or_incomplete_answer_is_no_success(self) -> None:
        for script in (answer_unsigned, answer_truncated, reset):
            answer, calls = fetch(UNSAFE, script, succeed, method="POST")
            self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
            self.assertEqual([1, 0], calls)

    def test_a_head_request_is_answered_without_a_body(self) -> None:
        async def answer_head(call: Call) -> None:
            call.writer.write(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\n"
            )

        answer, calls = fetch(SAFE, answer_head, method="HEAD")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
        self.assertEqual([1], calls)

    def test_an_upstream_that_lost_its_address_is_not_used_again(self) -> None:
        async def misdirected(call: Call) -> None:
            call.answer(b"", status=421)

        async def scenario() -> tuple[bytes, list[int]]:
            fixture = await RelayFixture((misdirected, succeed), make_configuration(UNSAFE)).open()
            await fixture.fetch("POST")
            return await fixture.fetch("POST"), fixture.calls

        answer, calls = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([1, 2], calls)


class RejectionsTest(TestCase):
    def test_requests_without_route_key_or_id_are_rejected(self) -> None:
        other = make_route(path_prefix="/other/")
        self.assertThat(fetch(other, succeed)[0], StartsWith(b"HTTP/1.1 404 "))
        self.assertThat(fetch(SAFE, succeed, keys="k1")[0], StartsWith(b"HTTP/1.1 401 "))
        self.assertThat(fetch(SAFE, succeed, request_id="")[0], StartsWith(b"HTTP/1.1 400 "))

    def test_a_public_route_needs_no_key(self) -> None:
        public = make_route(is_public=True)
        self.assertThat(fetch(public, succeed, keys="k1")[0], StartsWith(b"HTTP/1.1 200 "))

    def test_a_host_without_configuration_sends_a_retry_after(self) -> None:
        async def scenario() -> bytes:
            fixture = await RelayFixture((succeed,), make_configuration(SAFE)).open()
            fixture.snapshot = Snapshot()
            return await fixture.fetch()

        answer = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertThat(answer, Contains(b"Retry-After: "))

    def test_a_host_that_has_just_started_waits_for_its_first_configuration(self) -> None:
        """Guards against refusals when all hosts restart at once.

        Callers arrive then before the store has answered.
        """

        async def scenario(is_configured: bool) -> bytes:
            fixture = await RelayFixture((succeed,), make_configuration(SAFE)).open()
            assert fixture.relay is not None
            configured_snapshot, fixture.snapshot = fixture.snapshot, Snapshot()
            fixture.relay.begin()
            fetching = asyncio.create_task(fixture.fetch())
            await asyncio.sleep(0.05)
            if is_configured:
                fixture.snapshot = configured_snapshot
                fixture.relay.snapshot_available.set()
            return await fetching

        self.patch(service, "STARTUP_WAIT_S", TEST_TIMEOUT_S)
        self.assertThat(run(scenario(is_configured=True)), StartsWith(b"HTTP/1.1 200 "))
        self.patch(service, "STARTUP_WAIT_S", 0.1)
        self.assertThat(run(scenario(is_configured=False)), StartsWith(b"HTTP/1.1 503 "))

    def test_a_request_without_upstreams_is_refused_at_once(self) -> None:
        self.assertThat(fetch(SAFE)[0], StartsWith(b"HTTP/1.1 503 "))


class RetriesTest(TestCase):
    def test_a_failed_safe_request_is_retried_at_another_upstream(self) -> None:
        for script in (fail, reset, answer_unsigned, answer_truncated, refuse_not_run, answer_503):
            answer, calls = fetch(SAFE, script, succeed)
            self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
            self.assertEqual([1, 1], calls)

    def test_a_safe_request_at_a_silent_upstream_is_retried_elsewhere(self) -> None:
        short_target = make_route(RequestKind.SAFE, target_s=0.1)
        answer, calls = fetch(short_target, never_answer, succeed)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([1, 1], calls)

    def test_the_upstreams_error_is_relayed_when_no_attempt_is_left(self) -> None:
        answer, calls = fetch(SAFE, fail, fail, succeed)
        self.assertThat(answer, StartsWith(b"HTTP/1.1 500 "))
        self.assertEqual([1, 1, 0], calls)

    def test_a_request_that_may_have_run_is_not_retried(self) -> None:
        for route in (UNSAFE, STREAM):
            for script in (reset, answer_503):
                answer, calls = fetch(route, script, succeed, method="POST")
                self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
                self.assertThat(answer, Not(Contains(b"Retry-After")))
                self.assertEqual([1, 0], calls)

    def test_a_request_that_was_not_run_is_retried_elsewhere(self) -> None:
        answer, calls = fetch(UNSAFE, refuse_not_run, succeed, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([1, 1], calls)

    def test_a_request_that_no_upstream_ran_is_refused_with_a_retry_after(self) -> None:
        answer, calls = fetch(UNSAFE, refuse_not_run, refuse_not_run, refuse_not_run, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertThat(answer, Contains(b"Retry-After: "))
        self.assertEqual([1, 1, 0], calls)

    def test_max_attempts_counts_all_upstreams_that_were_sent_to(self) -> None:
        one_attempt = make_route(RequestKind.UNSAFE, max_attempts=1)
        answer, calls = fetch(one_attempt, refuse_not_run, succeed, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503 "))
        self.assertEqual([1, 0], calls)

    def test_unreachable_upstreams_do_not_count_as_attempts(self) -> None:
        async def scenario() -> tuple[bytes, list[int]]:
            one_attempt = make_route(RequestKind.UNSAFE, max_attempts=1)
            fixture = await RelayFixture((succeed, succeed), make_configuration(one_attempt)).open()
            server = fixture.upstreams[0]._server
            assert server is not None
            server.close()
            return await fixture.fetch("POST"), fixture.calls

        answer, calls = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertEqual([0, 1], calls)

    def test_nothing_is_retried_without_budget(self) -> None:
        async def scenario() -> list[int]:
            fixture = await RelayFixture(
                (fail, succeed), make_configuration(SAFE), slack=0.0
            ).open()
            await fixture.fetch()
            return fixture.calls

        self.assertEqual([1, 0], run(scenario()))

    def test_a_request_ends_at_its_routes_timeout(self) -> None:
        short_timeout = make_route(RequestKind.UNSAFE, timeout_s=0.2)
        answer, _ = fetch(short_timeout, never_answer, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 504 "))
