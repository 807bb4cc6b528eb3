from hypothesis import given, settings
from hypothesis.strategies import integers, lists
from testtools import TestCase

from cherrylane.relay.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: %d\ndata: x\n\n" % (number, number) for number in range(1, 30))


class EventSplitterTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(lists(integers(min_value=1, max_value=40), max_size=60))
    def test_events_are_whole_however_they_arrive(self, sizes: list[int]) -> None:
        splitter = EventSplitter()
        given_out, position = b"", 0
        for size in sizes:
            whole = splitter.feed(STREAM[position : position + size])
            position += size
            given_out += whole
            self.assertTrue(not whole or whole.endswith(b"\n\n"))
        self.assertEqual(STREAM[:position], given_out + splitter.remainder)
        self.assertEqual(b"" if not given_out else given_out, STREAM[: len(given_out)])
        last = given_out.count(b"\n\n")
        self.assertEqual(str(last) if last else "", splitter.last_id)

    def test_the_id_need_not_come_first(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"weight-versions: 3\nid: 12\ndata: id: 99\n\n")
        self.assertEqual("12", splitter.last_id)
