"""Upstreams of the thread daemon that answer more than once, and repeats with a key."""

from socket import create_connection, socket
from threading import Event

from cherrylane.idempotency.guard import REPLAYED_HEADER
from tests.daemon_fixture import KEY, PLAIN_SERVICE, Answer, DaemonTest
from tests.test_cut_heads import LENGTH, OK, WHOLE_ANSWER, read_status
from tests.wire import LOOPBACK

WAIT_S = 10.0
FAILURE = b"HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


class RepeatedAnswerTest(DaemonTest):
    # Guards against a success for a run that had answered with a failure (MIXED).
    def test_the_first_answer_of_several_counts(self) -> None:
        for first, status in (
            (FAILURE, 500),
            (INTERIM + FAILURE, 500),
            (FAILURE.replace(b"500", b"404"), 404),
            (WHOLE_ANSWER, 200),
        ):
            for second in (WHOLE_ANSWER, FAILURE, INTERIM + WHOLE_ANSWER):
                self.answer = Answer(first + second)
                for method in ("GET", "POST"):
                    answer = self.fetch(method)
                    self.assertEqual(status, read_status(answer), f"{first!r} {second!r}")
                    self.assertEqual(1, answer.count(b"HTTP/1.1 "))

    # Guards against a repeat that is answered by another run, or with a success for a failed one.
    def test_a_repeat_gets_what_its_run_was_answered_with(self) -> None:
        for key, (first, status) in enumerate(
            (
                (FAILURE, 500),
                (FAILURE.replace(b"500", b"503"), 503),
                (INTERIM + FAILURE, 500),
                (OK + LENGTH + b"\r\nabc", 502),
                (b"HTTP/1.1 200", 502),
            )
        ):
            before = self.upstream.calls
            self.answer = Answer(first + WHOLE_ANSWER if status != 502 else first)
            header = f"Idempotency-Key: {key}\r\n"
            self.assertEqual(status, read_status(self.fetch("POST", extra=header)))
            self.answer = Answer(WHOLE_ANSWER)
            for _ in range(3):
                answer = self.fetch("POST", extra=header)
                self.assertEqual(status, read_status(answer), str(first))
                self.assertEqual(status != 502, REPLAYED_HEADER.encode() in answer)
            self.assertEqual(1, self.upstream.calls - before)


class LateAnswerTest(DaemonTest):
    def setUp(self) -> None:
        super().setUp()
        self.is_asked, self.is_given_up = Event(), Event()

    def serve(self, connection: socket, closing: Event) -> None:
        if self.is_asked.is_set():
            self.answer.send(connection, closing)
            return
        self.is_asked.set()
        self.is_given_up.wait(WAIT_S)
        Answer(FAILURE + FAILURE).send(connection, closing)

    # Guards against the answer to a request whose caller has left reaching the next caller.
    def test_an_answer_to_a_request_that_was_given_up_is_nobody_elses(self) -> None:
        head = f"GET /{PLAIN_SERVICE}/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n\r\n"
        with create_connection((LOOPBACK, self.server.port), WAIT_S) as leaving:
            leaving.sendall(head.encode())
            self.assertTrue(self.is_asked.wait(WAIT_S))
        self.is_given_up.set()
        self.answer = Answer(WHOLE_ANSWER)
        for _ in range(5):
            answer = self.fetch()
            self.assertEqual((200, b"ab"), (read_status(answer), answer[-2:]))
