from hypothesis import given, settings
from hypothesis.strategies import integers, lists
from testtools import TestCase

from cherrylane.relay.events import EventSplitter, has_event

STREAM = b"".join(b"id: %d\ndata: %d\ndata: x\n\n" % (number, number) for number in range(1, 30))


class EventSplitterTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lists(integers(min_value=1, max_value=40), max_size=60))
    def test_only_complete_events_are_returned_for_any_chunk_sizes(self, sizes: list[int]) -> None:
        splitter = EventSplitter()
        received, position = b"", 0
        for size in sizes:
            complete = splitter.feed(STREAM[position : position + size])
            position += size
            received += complete
            self.assertTrue(not complete or complete.endswith(b"\n\n"))
        self.assertEqual(STREAM[:position], received + splitter.remainder)
        self.assertEqual(b"" if not received else received, STREAM[: len(received)])
        last = received.count(b"\n\n")
        self.assertEqual(str(last) if last else "", splitter.last_id)

    # Guards against a stream of CRLF lines being held back until its end.
    @settings(derandomize=True, deadline=None)
    @given(lists(integers(min_value=1, max_value=40), max_size=60))
    def test_lines_may_end_with_crlf(self, sizes: list[int]) -> None:
        text = STREAM.replace(b"\n", b"\r\n")
        splitter = EventSplitter()
        received, position = b"", 0
        for size in sizes:
            received += splitter.feed(text[position : position + size])
            position += size
        whole_events = text[:position].count(b"\r\n\r\n")
        self.assertEqual(whole_events, received.count(b"\r\n\r\n"))
        self.assertEqual(text[:position], received + splitter.remainder)
        self.assertEqual(str(whole_events) if whole_events else "", splitter.last_id)

    def test_the_id_need_not_be_the_first_field(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"weight-versions: 3\nid: 12\ndata: id: 99\n\n")
        self.assertEqual("12", splitter.last_id)

    # Guards against an unfinished event being taken for the end of a stream (inc1).
    def test_only_empty_lines_and_comments_may_follow_the_last_event(self) -> None:
        for rest in (b"", b"\n", b"\r\n", b": ping\n", b": ping\r\n\n"):
            self.assertFalse(make_splitter(rest).is_inside_event, rest)
        for rest in (b"d", b"data: 2", b"data: 2\n", b"id: 2\r\n", b": pi", b": ping\nid"):
            self.assertTrue(make_splitter(rest).is_inside_event, rest)

    def test_comments_and_empty_lines_are_no_event(self) -> None:
        for data in (b"", b"\n\n", b": ping\n\n", b": ping\r\n\r\n: ping\n\n"):
            self.assertFalse(has_event(data), data)
        for data in (b"data: 1\n\n", b": ping\n\nid: 1\n\n", b": ping\ndata\n\n"):
            self.assertTrue(has_event(data), data)


def make_splitter(rest: bytes) -> EventSplitter:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: 1\n\n" + rest)
    return splitter
