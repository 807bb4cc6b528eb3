from testtools import TestCase
from testtools.matchers import Contains, StartsWith

from cherrylane.limits.overload import MIN_RETRY_DELAY_S
from cherrylane.placement.loads import Load
from cherrylane.routing.routes import RequestKind
from tests.relay_fixture import RelayFixture, succeed
from tests.wire import make_configuration, make_route, run

ROUTE = make_route(RequestKind.STREAM, target_s=0.5, max_attempts=2)


async def open_with_load(load: Load) -> RelayFixture:
    """Return a fixture with one upstream of four slots, at which a peer reports ``load``."""
    fixture = await RelayFixture((succeed,), make_configuration(ROUTE)).open()
    fixture.load_tracker.update_peer("peer", {"i0": load}, float("inf"))
    assert fixture.relay is not None
    fixture.relay.attempt_runner.selector.throughput_of("desk").record_end(2.0)
    return fixture


class OverloadTest(TestCase):
    def test_a_request_that_would_wait_too_long_is_refused_without_being_sent(self) -> None:
        async def scenario() -> tuple[bytes, list[int]]:
            fixture = await open_with_load(Load(12))
            return await fixture.fetch(), fixture.calls

        answer, calls = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
        head = answer.decode().split("\r\n\r\n")[0]
        delay = next(line for line in head.split("\r\n") if line.startswith("Retry-After"))
        self.assertTrue(float(delay.split()[1]) <= 1.6 * MIN_RETRY_DELAY_S, delay)
        self.assertThat(answer, Contains(b"overloaded"))
        self.assertEqual([0], calls)

    def test_unread_prompts_reported_by_peers_count_as_wait(self) -> None:
        async def scenario() -> tuple[bytes, list[int]]:
            fixture = await open_with_load(Load(1, 1_000_000))
            return await fixture.fetch(), fixture.calls

        answer, calls = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 503"))
        self.assertEqual([0], calls)

    def test_a_request_is_admitted_when_a_slot_is_free(self) -> None:
        async def scenario() -> tuple[bytes, list[int]]:
            fixture = await open_with_load(Load(3))
            return await fixture.fetch(), fixture.calls

        answer, calls = run(scenario())
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200"))
        self.assertEqual([1], calls)
