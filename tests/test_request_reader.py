from testtools import TestCase

from cherrylane.http.framing import ReadFailure
from cherrylane.http.limits import InboundLimits
from cherrylane.http.memory import MemoryAccount
from cherrylane.http.messages import Request
from cherrylane.http.request_reader import FIELD_BYTES, MAX_PIPELINED, RequestReader

LIMITS = InboundLimits(max_header_bytes=512, max_body_bytes=64)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class RequestReaderTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queued = 0
        self.due: list[float] = []
        self.continues = 0
        self.reader = self.make_reader()

    def make_reader(self) -> RequestReader:
        self.memory = MemoryAccount()
        return RequestReader(
            lambda: LIMITS,
            self.memory,
            on_queued=self.count_queued,
            on_due=self.due.append,
            on_continue=self.count_continue,
        )

    def count_queued(self) -> None:
        self.queued += 1

    def count_continue(self) -> None:
        self.continues += 1

    def list_read(self) -> list[str]:
        """Return the paths of the requests that were read, and the statuses of failures."""
        return [
            item.head.path if isinstance(item, Request) else str(int(item.status))
            for item in self.reader.requests
        ]

    def test_requests_that_arrive_byte_by_byte_or_together_are_queued_in_order(self) -> None:
        data = GET + b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + GET
        for size in (1, len(data)):
            for start in range(0, len(data), size):
                self.reader.feed(data[start : start + size])
        self.assertEqual(["/a", "/b", "/a"] * 2, self.list_read())
        self.assertEqual((6, False), (self.queued, self.reader.is_reading))
        self.assertEqual({LIMITS.read_timeout_s}, set(self.due))

    # Guards against a request that has begun behind another one counting as none.
    def test_a_request_that_has_begun_is_being_read(self) -> None:
        self.reader.feed(GET + GET[:5])
        self.assertEqual((["/a"], True), (self.list_read(), self.reader.is_reading))

    # Guards against an Upgrade header ending the reading of a connection.
    def test_an_upgrade_is_ignored_with_all_that_follows_it_read(self) -> None:
        head = b"POST /u HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"
        self.reader.feed(head + b"Content-Length: 2\r\n\r\nab" + GET)
        self.assertEqual(["/u", "/a"], self.list_read())
        first = self.reader.requests[0]
        assert isinstance(first, Request)
        self.assertEqual(b"ab", first.body)

    def test_what_cannot_be_read_is_a_failure_and_the_last_of_its_connection(self) -> None:
        for data, status in (
            (b"no request\r\n\r\n", "400"),
            (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 600, "431"),
            (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", "413"),
            (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "400"),
        ):
            self.reader = self.make_reader()
            self.reader.feed(GET)
            self.reader.feed(data)
            self.reader.feed(GET)
            self.assertEqual(["/a", status], self.list_read(), repr(data[:20]))

    def test_more_pipelined_requests_than_the_limit_are_refused(self) -> None:
        self.reader.feed(GET * (MAX_PIPELINED + 5))
        self.assertIsInstance(self.reader.requests[-1], ReadFailure)
        self.assertTrue(self.reader.is_stopped)

    # Guards against short header lines, and trailers, that take many times their size uncounted.
    def test_a_head_counts_with_the_objects_that_hold_it(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        self.reader.feed(head + b"a:\r\n" * 50)
        incomplete = self.memory.held_bytes
        self.assertTrue(incomplete > 50 * FIELD_BYTES, incomplete)
        self.reader.feed(b"\r\n1\r\nx\r\n0\r\n" + b"b:\r\n" * 50)
        complete = self.memory.held_bytes
        # The parser reports a field only when the next line begins.
        self.assertTrue(complete - incomplete < 2 * FIELD_BYTES, complete)
        self.reader.feed(b"\r\n")
        first = self.reader.requests[0]
        assert isinstance(first, Request)
        self.assertEqual((52, b"x"), (len(first.head.headers), first.body))
        self.assertEqual(complete, self.memory.held_bytes)

    def test_a_caller_that_waits_for_leave_is_reported_until_its_body_has_come(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        self.reader.feed(head)
        self.assertEqual((1, True), (self.continues, self.reader.owes_continue))
        self.reader.feed(b"ab")
        self.assertEqual((["/a"], False), (self.list_read(), self.reader.owes_continue))

    def test_nothing_is_read_after_a_stop(self) -> None:
        self.reader.stop()
        self.reader.feed(GET)
        self.assertEqual([], self.list_read())
