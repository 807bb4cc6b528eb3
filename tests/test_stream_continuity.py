"""What a stream takes in when it goes on, at another upstream or within the answer of one."""

import asyncio
from itertools import product

from hypothesis import given, settings
from hypothesis.strategies import (
    binary,
    integers,
    lists,
    one_of,
    sampled_from,
    tuples,
)
from logbook import TestHandler
from testtools import TestCase
from testtools.matchers import HasLength, StartsWith

from cherrylane.http.messages import LAST_CHUNK, encode_chunk
from cherrylane.relay.continuity import ContinuityCheck, StreamProgress
from cherrylane.relay.events import EventSplitter
from cherrylane.routing.routes import RequestKind, Route
from tests.relay_fixture import (
    RESUMABLE,
    STREAM,
    RelayFixture,
    events,
    fetch,
    never_answer,
    stream,
)
from tests.wire import Call, Script, make_configuration, make_route, run

FRAMINGS = ("chunked", "length", "close")
TEXT = b"the server has failed\n\n"
HEAD_OF_AN_ANSWER = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 5\r\n\r\noops\n\n"
)
ERROR_EVENT = b"event: error\ndata: 99\n\n"
THREE_ATTEMPTS = make_route(
    RequestKind.STREAM, is_resumable=True, target_event_gap_s=0.25, target_s=1.0, max_attempts=3
)


def make_events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in numbers)


def answer(body: bytes, framing: str = "chunked", *, status: int = 200) -> Script:
    """Return a script of a signed answer of events that ends as its framing says."""

    async def script(call: Call) -> None:
        length = {"chunked": "Transfer-Encoding: chunked\r\n", "close": ""}.get(
            framing, f"Content-Length: {len(body)}\r\n"
        )
        call.writer.write(
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {call.header('Attempt-Id')}\r\nServer-Seal: s\r\n"
            f"Content-Type: text/event-stream\r\n{length}\r\n".encode()
        )
        call.writer.write(encode_chunk(body) + LAST_CHUNK if framing == "chunked" else body)
        await call.writer.drain()
        if framing == "close":
            call.writer.close()

    return script


def break_off(sent: bytes, framing: str) -> Script:
    """Return a script that writes ``sent`` and then breaks off, as its framing shows."""

    async def script(call: Call) -> None:
        if framing == "length":
            call.start_answer(1000, extra="Content-Type: text/event-stream\r\n")
        else:
            call.start_events(chunked=framing == "chunked")
        call.writer.write(encode_chunk(sent) if framing == "chunked" else sent)
        await call.writer.drain()
        await asyncio.sleep(0.02)
        if framing == "close":
            call.reset()
        else:
            call.writer.close()

    return script


BREAKS = {
    "reset": stream(1, 3, cut=True),
    "chunked": break_off(make_events(1, 2, 3), "chunked"),
    "chunked, inside event 4": break_off(make_events(1, 2, 3) + b"id: 4\nda", "chunked"),
    "length": break_off(make_events(1, 2, 3), "length"),
    "length, inside event 4": break_off(make_events(1, 2, 3) + b"id: 4\nda", "length"),
    "close": break_off(make_events(1, 2, 3), "close"),
    "close, inside event 4": answer(make_events(1, 2, 3) + b"id: 4\nda", "close"),
}


def read_body(received: bytes) -> bytes:
    """Return the body of a chunked answer, without its framing."""
    _, _, rest = received.partition(b"\r\n\r\n")
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        body, rest = body + rest[:length], rest[length + 2 :]
    return body


class NextUpstreamTest(TestCase):
    # Guards against an error's text, or its whole head, inside a stream that goes on (ORDER).
    def test_what_is_no_numbered_event_is_not_joined_to_a_stream(self) -> None:
        for body in (TEXT, HEAD_OF_AN_ANSWER, ERROR_EVENT, TEXT + make_events(4, 5)):
            self.assert_nothing_joined(body)

    # Guards against pieces of a stream that begins again coming twice (ORDER).
    def test_a_stream_that_begins_again_is_not_joined(self) -> None:
        for first in (1, 2, 3):
            self.assert_nothing_joined(make_events(*range(first, 9)))

    # Guards against a piece missing where two upstreams' parts meet (ORDER).
    def test_a_stream_that_goes_on_behind_a_gap_is_not_joined(self) -> None:
        self.assert_nothing_joined(make_events(7, 8))

    # Guards against ids that cannot be compared being taken for higher ones.
    def test_odd_ids_are_not_joined_to_a_stream(self) -> None:
        for odd in (b"-4", b"4.5", b"x", b"", b"4 5", b"\xb2", b"\xff", b"4\0", b"4" * 5000):
            self.assert_nothing_joined(b"id: " + odd + b"\ndata: 4\n\n")
        self.assert_nothing_joined(b"id: 4\nid: 9\ndata: 4\n\n")
        self.assert_nothing_joined(b"id: 4\rdata: 4\r\rid: 4\rdata: 4\n\n")

    # Guards against a stream ending as complete before its last piece (ORDER).
    def test_an_empty_rest_does_not_complete_a_stream_that_broke_off(self) -> None:
        for body in (b"", b": ping\n\n", b"\n"):
            self.assert_nothing_joined(body)
        self.assert_nothing_joined(b"", status=204)

    # Guards against a part of an answer that was not asked for being taken for the rest.
    def test_a_partial_answer_is_not_joined_to_a_stream(self) -> None:
        self.assert_nothing_joined(make_events(4, 5), status=206)

    # Guards against sound events being lost, or passed twice, with an offending one behind them.
    def test_the_events_before_an_offending_one_are_relayed(self) -> None:
        for offence in (TEXT, ERROR_EVENT, make_events(5), make_events(4), make_events(1)):
            rest = b": ping\n\n" + make_events(4, 5) + b": ping\n\n" + offence + make_events(6)
            received, calls = fetch(RESUMABLE, BREAKS["reset"], answer(rest), method="POST")
            self.assertEqual(([1, 2, 3, 4, 5], [1, 1]), (events(received), calls))
            self.assertFalse(received.endswith(LAST_CHUNK))

    def test_another_upstream_is_tried_after_an_offending_one(self) -> None:
        for body, status in ((TEXT, 200), (make_events(1, 2, 3, 4), 200), (b"", 204)):
            received, calls = fetch(
                THREE_ATTEMPTS,
                BREAKS["reset"],
                answer(body, status=status),
                stream(4, 6),
                method="POST",
            )
            self.assertEqual(([1, 2, 3, 4, 5, 6], [1, 1, 1]), (events(received), calls))
            self.assertTrue(received.endswith(LAST_CHUNK))

    def test_a_stream_goes_on_for_every_framing(self) -> None:
        for (name, broken), framing in product(BREAKS.items(), FRAMINGS):
            received, _ = fetch(
                RESUMABLE, broken, answer(make_events(4, 5), framing), method="POST"
            )
            self.assertEqual([1, 2, 3, 4, 5], events(received), f"{name}, {framing}")
            self.assertTrue(received.endswith(LAST_CHUNK), (name, framing))

    # Guards against ids that do not count by one being taken for a gap.
    def test_a_stream_whose_ids_do_not_count_may_go_on_at_any_higher_one(self) -> None:
        for begin, rest in (((1, 4), (9, 10)), ((100, 250), (260,)), ((50,), (70, 80))):
            received, _ = fetch(
                RESUMABLE,
                break_off(make_events(*begin), "chunked"),
                answer(make_events(*rest)),
                method="POST",
            )
            self.assertEqual([*begin, *rest], events(received))
            self.assertTrue(received.endswith(LAST_CHUNK))

    def test_versions_and_lines_of_other_kinds_may_stand_before_the_id(self) -> None:
        rest = b"weight-versions: 3\nid: 4\ndata: 4\n\nevent: message\r\nid:5\r\ndata: 5\r\n\r\n"
        received, _ = fetch(RESUMABLE, BREAKS["reset"], answer(rest), method="POST")
        self.assertIn(rest, read_body(received))
        self.assertTrue(received.endswith(LAST_CHUNK))

    # Guards against a refusal that its log line does not explain.
    def test_the_log_says_why_a_stream_does_not_go_on(self) -> None:
        for body, said in (
            (TEXT, "an event without a plain id after event 3"),
            (make_events(3), "event 3 after event 3"),
            (make_events(7), "event 7 after event 3 of ids that rise by one"),
            (b"id: x\ndata\n\n", "an event without a plain id after event 3"),
            (b"", "no event after event 3"),
        ):
            with TestHandler() as handler:
                fetch(RESUMABLE, BREAKS["reset"], answer(body), method="POST")
            failed = [one for one in handler.records if one.message == "attempt failed"]
            self.assertThat(failed, HasLength(2))
            self.assertIn(said, failed[1].extra["reason"])
            self.assertEqual("i1", failed[1].extra["upstream"])

    def assert_nothing_joined(self, body: bytes, *, status: int = 200) -> None:
        """Check that no break is followed by ``body``, and that the stream stays broken off."""
        framings = FRAMINGS if status == 200 else ("length",)
        for (name, broken), framing in product(BREAKS.items(), framings):
            received, calls = fetch(
                RESUMABLE, broken, answer(body, framing, status=status), method="POST"
            )
            case = f"{name}, {framing}, {body[:40]!r}"
            self.assertEqual([1, 1], calls, case)
            self.assertEqual(make_events(1, 2, 3), read_body(received), case)
            self.assertFalse(received.endswith(LAST_CHUNK), case)


class TakenUpTest(TestCase):
    """A caller takes a stream up itself, behind the event 3."""

    # Guards against pieces that the caller has, or a text, in a stream that it takes up (ORDER).
    def test_what_does_not_go_on_is_no_answer(self) -> None:
        for body in (TEXT, HEAD_OF_AN_ANSWER, ERROR_EVENT, make_events(1, 2), make_events(3, 4)):
            for framing in FRAMINGS:
                received, calls = self.take_up(answer(body, framing))
                self.assertThat(received, StartsWith(b"HTTP/1.1 502 "))
                self.assertEqual([1], calls)
                received, calls = self.take_up(answer(body, framing), stream(4, 6))
                self.assertEqual(([4, 5, 6], [1, 1]), (events(received), calls))
                self.assertTrue(received.endswith(LAST_CHUNK))

    def test_a_higher_id_is_taken_where_no_step_is_known(self) -> None:
        received, _ = self.take_up(stream(7, 8))
        self.assertEqual([7, 8], events(received))
        self.assertTrue(received.endswith(LAST_CHUNK))

    def test_an_odd_last_event_is_passed_on(self) -> None:
        for odd in ("x", "-1", "\xb2", "9" * 5000):
            received, calls = self.take_up(stream(1, 2), last_event=odd)
            self.assertEqual(([1, 2], [1]), (events(received), calls))

    def take_up(self, *scripts: Script, last_event: str = "3") -> tuple[bytes, list[int]]:
        extra = f"Last-Event-Id: {last_event}\r\n"
        return fetch(RESUMABLE, *scripts, method="POST", extra=extra)


class FirstUpstreamTest(TestCase):
    # Guards against pieces that one upstream writes twice (ORDER).
    def test_an_upstream_whose_ids_go_back_or_repeat_is_broken_off(self) -> None:
        for route, offending, framing in product(
            (STREAM, RESUMABLE), (make_events(1, 2, 3), make_events(3), make_events(2)), FRAMINGS
        ):
            body = make_events(1, 2, 3) + offending + make_events(4)
            received, calls = self.fetch_once(route, answer(body, framing))
            self.assertEqual(([1, 2, 3], [1]), (events(received), calls))
            self.assertFalse(received.endswith(LAST_CHUNK))

    def test_a_resumable_one_goes_on_elsewhere(self) -> None:
        received, calls = fetch(
            RESUMABLE, answer(make_events(1, 2, 3, 2, 3)), stream(4, 5), method="POST"
        )
        self.assertEqual(([1, 2, 3, 4, 5], [1, 1]), (events(received), calls))
        self.assertTrue(received.endswith(LAST_CHUNK))

    # Guards against answers of one upstream being changed for want of numbers.
    def test_what_one_upstream_writes_is_passed_on(self) -> None:
        for body in (
            TEXT,
            HEAD_OF_AN_ANSWER,
            make_events(1, 2) + ERROR_EVENT,
            b"data: a\n\ndata: b\n\n",
            make_events(5, 9, 200),
            b"id: b\ndata: 1\n\nid: a\ndata: 2\n\n",
        ):
            received, calls = self.fetch_once(RESUMABLE, answer(body))
            self.assertEqual((body, [1]), (read_body(received), calls))
            self.assertTrue(received.endswith(LAST_CHUNK))

    # Guards against a stream going on at a place that is not known.
    def test_a_stream_without_a_last_id_does_not_go_on_elsewhere(self) -> None:
        for last in (b"data: x\n\n", b"id: x\ndata: y\n\n", b"id\ndata: y\n\n"):
            for sent in (last, make_events(1, 2) + last):
                received, calls = fetch(
                    RESUMABLE, break_off(sent, "chunked"), stream(1, 5), method="POST"
                )
                self.assertEqual((sent, [1, 0]), (read_body(received), calls))
                self.assertFalse(received.endswith(LAST_CHUNK))

    # Guards against a silent stream going on beside itself at a place that is not known.
    def test_a_silent_stream_without_a_last_id_is_not_tried_elsewhere(self) -> None:
        async def fall_silent(call: Call) -> None:
            call.start_events()
            call.writer.write(encode_chunk(b"data: x\n\n"))
            await never_answer(call)

        received, calls = fetch(
            RESUMABLE, fall_silent, stream(1, 5), method="POST", extra="Deadline-Ms: 1600\r\n"
        )
        self.assertEqual((b"data: x\n\n", [1, 0]), (read_body(received), calls))
        self.assertFalse(received.endswith(LAST_CHUNK))

    # Guards against a stream that ends inside an event looking complete because of its length.
    def test_a_stream_of_a_length_that_ends_inside_an_event_is_broken_off(self) -> None:
        inside = make_events(1, 2) + b"id: 3\nda"
        received, _ = self.fetch_once(STREAM, answer(inside, "length"))
        self.assertEqual([1, 2], events(received))
        self.assertFalse(received.endswith(LAST_CHUNK))

    def fetch_once(self, route: Route, script: Script) -> tuple[bytes, list[int]]:
        return fetch(route, script, method="POST")


class RaceTest(TestCase):
    # Guards against the second attempt at a silent stream being joined without its checks.
    def test_an_attempt_beside_a_silent_stream_is_held_to_its_ids(self) -> None:
        for body in (TEXT, make_events(1, 2, 3, 4), make_events(7, 8), b""):

            async def go_on(call: Call) -> None:
                await asyncio.sleep(1.5)
                for number in (4, 5):
                    call.write_event(number)
                call.end_events()

            async def scenario(script: Script) -> tuple[bytes, list[int]]:
                fixture = await RelayFixture(
                    (stream(1, 3, then=go_on), script), make_configuration(RESUMABLE)
                ).open()
                return await fixture.fetch("POST"), fixture.calls

            received, calls = run(scenario(answer(body)))
            self.assertEqual(([1, 2, 3, 4, 5], [1, 1]), (events(received), calls))
            self.assertTrue(received.endswith(LAST_CHUNK))


NUMBERS = integers(min_value=0, max_value=9)
PARTS = one_of(
    NUMBERS.map(make_events),
    sampled_from([TEXT, HEAD_OF_AN_ANSWER, ERROR_EVENT, b": ping\n\n", b"\n", b"id: 4\nda"]),
    binary(max_size=12),
)


class AnyBytesTest(TestCase):
    # Guards against what is joined depending on how the bytes arrive.
    @settings(derandomize=True, deadline=None)
    @given(
        lists(one_of(NUMBERS.map(make_events), sampled_from([TEXT, ERROR_EVENT])), max_size=8),
        lists(integers(min_value=1, max_value=30), max_size=40),
    )
    def test_cuts_between_the_bytes_change_nothing(
        self, parts: list[bytes], sizes: list[int]
    ) -> None:
        rest = b"".join(parts)
        whole = ContinuityCheck(StreamProgress("3"), is_joined=True)
        expected = whole.take(rest)
        check, splitter = ContinuityCheck(StreamProgress("3"), is_joined=True), EventSplitter()
        received, offence = b"", ""
        for size in (*sizes, len(rest)):
            if not offence:
                sound = check.take(splitter.feed(rest[:size]))
                received, offence, rest = received + sound.data, sound.offence, rest[size:]
        self.assertEqual((expected.data, expected.offence), (received, offence))
        self.assertEqual(whole.progress, check.progress)

    # Guards against any other bytes of a next upstream that would be joined (ORDER).
    @settings(derandomize=True, deadline=None, max_examples=120)
    @given(
        integers(min_value=1, max_value=6),
        sampled_from(FRAMINGS),
        lists(tuples(lists(PARTS, max_size=6), sampled_from(FRAMINGS)), min_size=2, max_size=2),
    )
    def test_ids_rise_and_only_whole_events_complete_a_stream(
        self, last: int, framing: str, rests: list[tuple[list[bytes], str]]
    ) -> None:
        begin = break_off(make_events(*range(1, last + 1)), framing)
        scripts = [answer(b"".join(parts), rest_framing) for parts, rest_framing in rests]
        received, calls = fetch(THREE_ATTEMPTS, begin, *scripts, method="POST")
        body = read_body(received)
        ids = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
        self.assertEqual([*range(1, last + 1)], ids[:last])
        self.assertTrue(all(a < b for a, b in zip(ids, ids[1:], strict=False)), ids)
        if received.endswith(LAST_CHUNK):
            ended = b"".join(rests[sum(calls) - 2][0])
            self.assertTrue(body.rstrip(b"\r\n").endswith(ended.rstrip(b"\r\n")))
            self.assertTrue(any(b"id: %d\n" % number in ended for number in ids[last:]))
            self.assertGreater(len(ids), last)
