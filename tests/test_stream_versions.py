"""A stream goes on only at the software version that began it, over real sockets."""

from attrs import evolve
from testtools import TestCase
from testtools.matchers import Contains

from cherrylane.routing.snapshot import KnownUpstream
from tests.relay_fixture import RESUMABLE, RelayFixture, events, never_answer, reset, stream
from tests.wire import Call, Script, make_configuration, make_snapshot, run

VERSIONS = ("v1", "v2", "v1")
RETAKE = "Resumes: first\r\nLast-Event-Id: 3\r\n"


async def stream_rest(call: Call) -> None:
    call.start_events()
    for number in range(int(call.header("Last-Event-Id") or 0) + 1, 7):
        call.write_event(number)
    call.end_events()


async def play(*scripts: Script) -> tuple[bytes, list[int]]:
    """Send one request; return its answer and the calls of each upstream."""
    configuration = make_configuration(RESUMABLE)
    fixture = await RelayFixture(scripts, configuration, software=VERSIONS).open()
    return await fixture.fetch("POST", request_id="first"), fixture.calls


class StreamVersionTest(TestCase):
    # Guards against: streams held events from two software versions of a back end (ORDER), within
    # one answer.
    def test_a_broken_stream_goes_on_at_the_version_that_began_it(self) -> None:
        cut = stream(1, 3, cut=True)
        answer, calls = run(play(cut, stream_rest, stream_rest))
        self.assertEqual([1, 0, 1], calls)
        self.assertEqual([1, 2, 3, 4, 5, 6], events(answer))

    # The same beside a silent upstream that has sent events.
    def test_a_silent_stream_goes_on_at_the_version_that_began_it(self) -> None:
        silent = stream(1, 3, then=never_answer)
        answer, calls = run(play(silent, stream_rest, stream_rest))
        self.assertEqual([1, 0, 1], calls)
        self.assertEqual([1, 2, 3, 4, 5, 6], events(answer))

    # The same over a caller's tries.
    def test_a_stream_that_is_taken_up_goes_on_at_the_version_that_began_it(self) -> None:
        async def scenario() -> tuple[list[bytes], list[int]]:
            configuration = make_configuration(evolve(RESUMABLE, max_attempts=1))
            scripts = (stream(1, 3, cut=True), stream_rest, stream_rest)
            fixture = await RelayFixture(scripts, configuration, software=VERSIONS).open()
            begun = await fixture.fetch("POST", request_id="first")
            fixture.set_order(1, 2, 0)
            resumed = await fixture.fetch("POST", request_id="next", extra=RETAKE)
            return [begun, resumed], fixture.calls

        answers, calls = run(scenario())
        self.assertEqual(([1, 2, 3], [4, 5, 6]), (events(answers[0]), events(answers[1])))
        self.assertEqual([1, 0, 1], calls)

    # The same at a host that does not know where the stream began.
    def test_a_stream_of_an_unknown_version_is_refused_at_once(self) -> None:
        configuration = make_configuration(RESUMABLE)
        scripts = (stream_rest, stream_rest, stream_rest)

        async def scenario() -> tuple[bytes, list[int]]:
            fixture = await RelayFixture(scripts, configuration, software=VERSIONS).open()
            answer = await fixture.fetch("POST", request_id="next", extra=RETAKE)
            return answer, fixture.calls

        answer, calls = run(scenario())
        self.assertEqual([0, 0, 0], calls)
        self.assertThat(answer, Contains(b"503"))


class RestartedUpstreamTest(TestCase):
    async def play(
        self, *reported: int | None, report: Script | None = None
    ) -> tuple[bytes, list[int], list[int]]:
        """Break a stream at i0 of three upstreams that are listed as incarnation 1."""
        scripts = (stream(1, 3, cut=True), stream_rest, stream_rest)
        fixture = await RelayFixture(scripts, make_configuration(RESUMABLE)).open()
        listed = [evolve(known.upstream, incarnation=1) for known in list_known(fixture)]
        fixture.snapshot = make_snapshot(listed, make_configuration(RESUMABLE))
        for upstream, incarnation in zip(fixture.upstreams, reported, strict=True):
            upstream.reported_incarnation = incarnation
        fixture.upstreams[1].report = report
        answer = await fixture.fetch("POST")
        return answer, fixture.calls, [upstream.reports for upstream in fixture.upstreams]

    # Guards against a stream going on at an upstream that has started again under its old name,
    # with another version, before the list shows it (ORDER).
    def test_a_stream_does_not_go_on_at_an_upstream_that_has_started_again(self) -> None:
        answer, calls, reports = run(self.play(1, 2, 1))
        self.assertEqual(([1, 0, 1], [0, 1, 1]), (calls, reports))
        self.assertEqual([1, 2, 3, 4, 5, 6], events(answer))

    # Guards against a question without an answer that counts as a yes (ORDER).
    def test_a_stream_does_not_go_on_at_an_upstream_that_does_not_answer_the_question(self) -> None:
        for report in (never_answer, reset):
            answer, calls, reports = run(self.play(1, 1, 1, report=report))
            self.assertEqual(([1, 0, 1], [0, 1, 1]), (calls, reports))
            self.assertEqual([1, 2, 3, 4, 5, 6], events(answer))

    def test_an_upstream_without_reports_is_trusted(self) -> None:
        async def refuse(call: Call) -> None:
            call.writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")

        answer, calls, _ = run(self.play(1, 1, 1, report=refuse))
        self.assertEqual([1, 1, 0], calls)
        self.assertEqual([1, 2, 3, 4, 5, 6], events(answer))

    def test_an_upstream_that_does_not_say_is_trusted(self) -> None:
        answer, calls, _ = run(self.play(1, None, 1))
        self.assertEqual([1, 1, 0], calls)
        self.assertEqual([1, 2, 3, 4, 5, 6], events(answer))


def list_known(fixture: RelayFixture) -> tuple[KnownUpstream, ...]:
    return fixture.snapshot.list_upstreams("desk")
