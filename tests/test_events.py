from hypothesis import given, settings
from hypothesis.strategies import integers, lists, sampled_from
from testtools import TestCase

from cherrylane.relay.continuity import ContinuityCheck, StreamProgress
from cherrylane.relay.events import EventSplitter, read_events

STREAM = b"".join(b"id: %d\ndata: %d\ndata: x\n\n" % (number, number) for number in range(1, 30))


LINES = (b"id: 12\n", b"id:7\r\n", b"data: id: 9\n", b"weight-versions: 3\r\n", b": id: 5\n")


class EventSplitterTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lists(integers(min_value=1, max_value=40), max_size=60))
    def test_only_complete_events_are_returned_for_any_chunk_sizes(self, sizes: list[int]) -> None:
        splitter, check = EventSplitter(), make_check()
        received, position = b"", 0
        for size in sizes:
            complete = splitter.feed(STREAM[position : position + size])
            position += size
            received += check.take(complete).data
            self.assertTrue(not complete or complete.endswith(b"\n\n"))
        self.assertEqual(STREAM[:position], received + splitter.remainder)
        self.assertEqual(b"" if not received else received, STREAM[: len(received)])
        last = received.count(b"\n\n")
        self.assertEqual(str(last) if last else "", check.progress.last_id)

    # Guards against a stream of CRLF lines being held back until its end.
    @settings(derandomize=True, deadline=None)
    @given(lists(integers(min_value=1, max_value=40), max_size=60))
    def test_lines_may_end_with_crlf(self, sizes: list[int]) -> None:
        text = STREAM.replace(b"\n", b"\r\n")
        splitter, check = EventSplitter(), make_check()
        received, position = b"", 0
        for size in sizes:
            received += check.take(splitter.feed(text[position : position + size])).data
            position += size
        whole_events = text[:position].count(b"\r\n\r\n")
        self.assertEqual(whole_events, received.count(b"\r\n\r\n"))
        self.assertEqual(text[:position], received + splitter.remainder)
        self.assertEqual(str(whole_events) if whole_events else "", check.progress.last_id)

    def test_the_id_need_not_be_the_first_field(self) -> None:
        check = make_check()
        check.take(b"weight-versions: 3\nid: 12\ndata: id: 99\n\n")
        self.assertEqual("12", check.progress.last_id)

    # Guards against an unfinished event being taken for the end of a stream (inc1).
    def test_only_empty_lines_and_comments_may_follow_the_last_event(self) -> None:
        for rest in (b"", b"\n", b"\r\n", b": ping\n", b": ping\r\n\n"):
            self.assertFalse(make_splitter(rest).is_inside_event, rest)
        for rest in (b"d", b"data: 2", b"data: 2\n", b"id: 2\r\n", b": pi", b": ping\nid"):
            self.assertTrue(make_splitter(rest).is_inside_event, rest)

    def test_comments_and_empty_lines_are_no_event(self) -> None:
        for data in (b"", b"\n\n", b": ping\n\n", b": ping\r\n\r\n: ping\n\n"):
            self.assertFalse(make_check().take(data).has_event, data)
        for data in (b"data: 1\n\n", b": ping\n\nid: 1\n\n", b": ping\ndata\n\n"):
            self.assertTrue(make_check().take(data).has_event, data)

    def test_an_id_is_one_plain_number(self) -> None:
        for line in (b"id: 4", b"id:4", b"id:  4 ", b"id: 4\r", b"id: 004", b"id: " + b"9" * 19):
            for event in (line + b"\ndata: a", b"data: a\n" + line, b"identity: 7\n" + line):
                ends = [(len(event) + 2, line.strip(b"id: \r"))]
                self.assertEqual(ends, list(read_events(event + b"\n\n")), repr(event))
        for odd in (b"", b"id", b"id:", b"id: -4", b"id: +4", b"id: 4_0", b"id: 4.", b"id: \xb2"):
            event = odd + b"\ndata: a\n\n"
            self.assertEqual([(len(event), b"")], list(read_events(event)), repr(event))
        for odd in (b"id: " + b"9" * 20, b"id: 4\nid: 4", b"id: 4\rdata: a", b"id: 4\0", b" id: 4"):
            event = odd + b"\ndata: a\n\n"
            self.assertEqual([(len(event), b"")], list(read_events(event)), repr(event))

    # Guards against the common form of an event being read otherwise than any other.
    @settings(derandomize=True, deadline=None)
    @given(lists(sampled_from(LINES), max_size=5))
    def test_lines_of_any_kind_are_read_alike(self, lines: list[bytes]) -> None:
        text = b"".join(lines)
        others = [line for line in lines if not line.startswith((b":", b"id"))]
        ids = [line for line in lines if line.startswith(b"id:")]
        expected = ids[0].strip(b"id: \r\n") if len(ids) == 1 else b""
        found = list(read_events(text + b"\n"))
        self.assertEqual([(len(text) + 1, expected)] if others or ids else [], found)


def make_splitter(rest: bytes) -> EventSplitter:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: 1\n\n" + rest)
    return splitter


def make_check() -> ContinuityCheck:
    return ContinuityCheck(StreamProgress(), is_joined=False)
