import asyncio

from testtools import TestCase
from testtools.matchers import EndsWith, StartsWith

from cherrylane.http.messages import LAST_CHUNK, encode_chunk
from cherrylane.routing.routes import RequestKind
from tests.relay_fixture import (
    RESUMABLE,
    STREAM,
    RelayFixture,
    events,
    fetch,
    stream,
    succeed,
)
from tests.wire import (
    LOOPBACK,
    Call,
    Script,
    make_configuration,
    make_route,
    run,
    send_raw,
    wait_for,
)

# More than the buffers of both sockets and of the caller's connection hold.
LARGE_EVENTS = 40
LARGE_EVENT_BYTES = 400_000
INSIDE_SECOND_EVENT = b"id: 1\ndata: 1\n\nid: 2\nda"


def end_regularly(body: bytes, *, chunked: bool) -> Script:
    """Return a script of a signed stream whose body ends as its framing says."""

    async def script(call: Call) -> None:
        call.start_events(chunked=chunked)
        call.writer.write(encode_chunk(body) + LAST_CHUNK if chunked else body)
        await call.writer.drain()
        call.writer.close()

    return script


def fetch_twice(script: Script, method: str, extra: str) -> tuple[bytes, bytes]:
    """Return the answers to a stream and to a request behind it on the same connection."""

    async def choose(call: Call) -> None:
        await (succeed if call.header("Attempt-Id") == "second" else script)(call)

    async def scenario() -> tuple[bytes, bytes]:
        fixture = await RelayFixture((choose,), make_configuration(RESUMABLE)).open()
        assert fixture.server is not None
        first = f"{method} /x/y HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 1\r\n{extra}\r\n"
        second = (
            "POST /x/y HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: second\r\n"
            "Connection: close\r\n\r\n"
        )
        received = await send_raw(fixture.server.port, (first + second).encode())
        end = received.rindex(b"HTTP/1.1 ")
        return received[:end], received[end:]

    return run(scenario())


class BrokenOffTest(TestCase):
    # Guards against a stream that ended inside an event reaching its caller as complete (inc1).
    def test_a_stream_that_ends_inside_an_event_does_not_look_complete(self) -> None:
        for chunked in (False, True):
            script = end_regularly(INSIDE_SECOND_EVENT, chunked=chunked)
            answer, calls = fetch(STREAM, script, stream(1, 3), method="POST")
            self.assertEqual(([1], [1, 0]), (events(answer), calls))
            self.assertFalse(answer.endswith(LAST_CHUNK))

    # Guards against such a stream not being resumed, and its event being relayed twice (inc1).
    def test_a_resumable_stream_that_ends_inside_an_event_is_resumed_after_the_last_whole_one(
        self,
    ) -> None:
        for chunked in (False, True):
            script = end_regularly(INSIDE_SECOND_EVENT, chunked=chunked)
            answer, calls = fetch(RESUMABLE, script, stream(2, 3), method="POST")
            self.assertEqual(([1, 2, 3], [1, 1]), (events(answer), calls))
            self.assertTrue(answer.endswith(LAST_CHUNK))

    # Guards against whole answers of another kind being taken for streams that broke off.
    def test_a_whole_answer_that_is_no_stream_of_events_is_passed_on(self) -> None:
        async def answer_object(call: Call) -> None:
            head = call.header("Attempt-Id")
            call.writer.write(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {head}\r\nServer-Seal: s\r\n"
                f"Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            )
            call.writer.write(encode_chunk(b'{"text": "1"}') + LAST_CHUNK)

        answer, _ = fetch(STREAM, answer_object, method="POST")
        self.assertThat(answer, EndsWith(b'\r\n\r\n{"text": "1"}'))
        answer, _ = fetch(STREAM, succeed, method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertIn(b"done", answer)

    # Guards against a crash right after the head of an answer reaching callers as an empty success.
    def test_an_answer_that_its_connection_ends_before_the_first_event_is_no_success(self) -> None:
        empty = end_regularly(b"", chunked=False)
        answer, calls = fetch(STREAM, empty, stream(1, 3), method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
        self.assertEqual([1, 0], calls)
        answer, calls = fetch(RESUMABLE, empty, stream(1, 3), method="POST")
        self.assertEqual(([1, 2, 3], [1, 1]), (events(answer), calls))

    def test_an_answer_to_a_stream_that_was_relayed_completely_may_be_empty(self) -> None:
        for chunked in (False, True):
            empty = end_regularly(b"", chunked=chunked)
            answer, calls = fetch(
                RESUMABLE, empty, stream(1, 3), method="POST", extra="Last-Event-Id: 7\r\n"
            )
            self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
            self.assertTrue(answer.endswith(LAST_CHUNK))
            self.assertEqual([1, 0], calls)

    # Guards against bytes behind the end of an answer, where its caller expects the next one
    # (review/1: an empty rest of a stream was ended twice).
    def test_an_answer_without_a_body_is_followed_by_nothing_on_its_connection(self) -> None:
        async def answer_nothing(call: Call) -> None:
            identity = call.header("Attempt-Id")
            call.writer.write(
                f"HTTP/1.1 204 X\r\nAttempt-Id: {identity}\r\nServer-Seal: s\r\n\r\n".encode()
            )

        comment = end_regularly(b": ping\n\n", chunked=True)
        for script, method, extra, end in (
            (end_regularly(b"", chunked=True), "POST", "Last-Event-Id: 7\r\n", LAST_CHUNK),
            (end_regularly(b"", chunked=False), "POST", "Last-Event-Id: 7\r\n", LAST_CHUNK),
            (comment, "POST", "", encode_chunk(b": ping\n\n") + LAST_CHUNK),
            (answer_nothing, "POST", "", b""),
            (end_regularly(b"", chunked=True), "HEAD", "", b""),
        ):
            first, second = fetch_twice(script, method, extra)
            _, _, body = first.partition(b"\r\n\r\n")
            self.assertEqual(end, body, repr(first))
            self.assertThat(second, StartsWith(b"HTTP/1.1 200 "))
            self.assertIn(b"\r\n4\r\ndone\r\n" + LAST_CHUNK, second)


class StreamsTest(TestCase):
    # Guards against a wait for the events of an answer that has no body.
    def test_a_head_request_to_a_stream_is_answered(self) -> None:
        async def answer_head(call: Call) -> None:
            call.start_events()

        answer, calls = fetch(RESUMABLE, answer_head, method="HEAD", extra="Deadline-Ms: 500\r\n")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 200 "))
        self.assertThat(answer, EndsWith(b"\r\n\r\n"))
        self.assertEqual([1], calls)

    def test_a_stream_without_a_signature_is_no_success(self) -> None:
        async def unsigned_stream(call: Call) -> None:
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            call.writer.write(head)
            call.write_event(1)
            call.end_events()

        answer, calls = fetch(STREAM, unsigned_stream, stream(1, 3), method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
        self.assertEqual([1, 0], calls)
        answer, calls = fetch(RESUMABLE, unsigned_stream, stream(1, 3), method="POST")
        self.assertEqual(([1, 2, 3], [1, 1]), (events(answer), calls))

    def test_a_stream_is_relayed_completely(self) -> None:
        answer, calls = fetch(STREAM, stream(1, 5), method="POST")
        self.assertEqual([1, 2, 3, 4, 5], events(answer))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual([1], calls)

    def test_a_broken_stream_does_not_look_complete(self) -> None:
        answer, calls = fetch(STREAM, stream(1, 2, cut=True), stream(1, 5), method="POST")
        self.assertEqual([1, 2], events(answer))
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual([1, 0], calls)

    def test_a_resumable_stream_continues_after_its_last_complete_event(self) -> None:
        resume_ids: list[str] = []

        async def resume(call: Call) -> None:
            resume_ids.append(call.header("Last-Event-Id"))
            await stream(3, 5)(call)

        answer, _ = fetch(RESUMABLE, stream(1, 2, cut=True), resume, method="POST")
        self.assertEqual(["2"], resume_ids)
        self.assertEqual([1, 2, 3, 4, 5], events(answer))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))

    def test_a_stream_that_broke_before_its_first_event_is_restarted(self) -> None:
        answer, calls = fetch(RESUMABLE, stream(1, 0, cut=True), stream(1, 3), method="POST")
        self.assertEqual([1, 2, 3], events(answer))
        self.assertEqual([1, 1], calls)

    # Guards against a second response inside a stream that has begun (MIXED).
    def test_a_whole_answer_to_a_stream_that_is_resumed_is_not_written_into_it(self) -> None:
        async def answer_not_found(call: Call) -> None:
            call.answer(b"no such run", status=404)

        for whole_answer in (answer_not_found, succeed):
            answer, calls = fetch(
                RESUMABLE, stream(1, 2, cut=True), whole_answer, stream(3, 4), method="POST"
            )
            self.assertEqual([1, 1, 0], calls)
            self.assertEqual(([1, 2], 1), (events(answer), answer.count(b"HTTP/1.1 ")))
            self.assertFalse(answer.endswith(LAST_CHUNK))

    # Guards against an event that a slow caller has not read yet being sent twice (ORDER).
    def test_a_slow_caller_does_not_move_its_stream_to_another_upstream(self) -> None:
        async def scenario() -> tuple[bytes, list[int]]:
            async def send_large_events(call: Call) -> None:
                call.start_events()
                for number in range(1, LARGE_EVENTS + 1):
                    data = f"id: {number}\ndata: {number}\nx: {'.' * LARGE_EVENT_BYTES}\n\n"
                    call.writer.write(encode_chunk(data.encode()))
                await call.writer.drain()
                call.end_events()

            route = make_route(
                RequestKind.STREAM, is_resumable=True, target_event_gap_s=0.02, timeout_s=15.0
            )
            fixture = await RelayFixture(
                (send_large_events, stream(LARGE_EVENTS, LARGE_EVENTS)), make_configuration(route)
            ).open()
            assert fixture.server is not None
            reader, writer = await asyncio.open_connection(LOOPBACK, fixture.server.port)
            writer.write(
                b"POST /x/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 1\r\n"
                b"Connection: close\r\n\r\n"
            )
            await reader.readuntil(b"data: 1")
            await asyncio.sleep(0.5)
            received = await reader.read()
            writer.close()
            return b"data: 1\n" + received, fixture.calls

        answer, calls = run(scenario())
        self.assertEqual(([*range(1, LARGE_EVENTS + 1)], [1, 0]), (events(answer), calls))

    def test_the_callers_last_event_id_is_sent_to_the_upstream(self) -> None:
        resume_ids: list[str] = []

        async def resume(call: Call) -> None:
            resume_ids.append(call.header("Last-Event-Id"))
            await stream(8, 9)(call)

        fetch(RESUMABLE, resume, method="POST", extra="Last-Event-Id: 7\r\n")
        fetch(STREAM, resume, method="POST", extra="Last-Event-Id: 7\r\n")
        self.assertEqual(["7", ""], resume_ids)

    def test_a_caller_that_disconnects_ends_the_upstream_request(self) -> None:
        async def scenario() -> None:
            async def keep_open(call: Call) -> None:
                await call.reader.read()

            fixture = await RelayFixture(
                (stream(1, 1, then=keep_open),), make_configuration(STREAM)
            ).open()
            assert fixture.server is not None
            reader, writer = await asyncio.open_connection(LOOPBACK, fixture.server.port)
            writer.write(b"POST /x/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 1\r\n\r\n")
            await reader.readuntil(b"data: 1")
            writer.close()
            await wait_for(lambda: fixture.upstreams[0].closed_connections == 1)
            await wait_for(lambda: not fixture.load_tracker.own)

        run(scenario())
