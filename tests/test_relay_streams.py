import asyncio

from testtools import TestCase
from testtools.matchers import StartsWith

from tests.desk import (
    RESUMABLE,
    STREAM,
    Desk,
    ask,
    events,
    stream,
)
from tests.wire import (
    LOOPBACK,
    Call,
    make_configuration,
    run,
    wait_for,
)


class StreamsTest(TestCase):
    def test_a_stream_without_a_signature_is_no_success(self) -> None:
        async def unsigned_stream(call: Call) -> None:
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            call.writer.write(head)
            call.write_event(1)
            call.end_events()

        answer, calls = ask(STREAM, unsigned_stream, stream(1, 3), method="POST")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502 "))
        self.assertEqual([1, 0], calls)
        answer, calls = ask(RESUMABLE, unsigned_stream, stream(1, 3), method="POST")
        self.assertEqual(([1, 2, 3], [1, 1]), (events(answer), calls))

    def test_a_stream_is_relayed_whole(self) -> None:
        answer, calls = ask(STREAM, stream(1, 5), method="POST")
        self.assertEqual([1, 2, 3, 4, 5], events(answer))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual([1], calls)

    def test_a_broken_stream_does_not_look_complete(self) -> None:
        answer, calls = ask(STREAM, stream(1, 2, cut=True), stream(1, 5), method="POST")
        self.assertEqual([1, 2], events(answer))
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual([1, 0], calls)

    def test_a_resumable_stream_goes_on_after_its_last_whole_event(self) -> None:
        asked: list[str] = []

        async def resume(call: Call) -> None:
            asked.append(call.header("Last-Event-Id"))
            await stream(3, 5)(call)

        answer, _ = ask(RESUMABLE, stream(1, 2, cut=True), resume, method="POST")
        self.assertEqual(["2"], asked)
        self.assertEqual([1, 2, 3, 4, 5], events(answer))
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))

    def test_a_silent_stream_is_left_before_another_upstream_begins(self) -> None:
        async def work() -> tuple[list[int], int]:
            left = 0

            async def resume(call: Call) -> None:
                nonlocal left
                await wait_for(lambda: desk.upstreams[0].closed_connections == 1)
                left = desk.upstreams[0].closed_connections
                await stream(2, 3)(call)

            async def silent(call: Call) -> None:
                await call.reader.read()

            scripts = (stream(1, 1, then=silent), resume)
            desk = await Desk(scripts, make_configuration(RESUMABLE)).open()
            return events(await desk.ask("POST")), left

        self.assertEqual(([1, 2, 3], 1), run(work()))

    def test_a_stream_that_broke_before_its_first_event_is_begun_again(self) -> None:
        answer, calls = ask(RESUMABLE, stream(1, 0, cut=True), stream(1, 3), method="POST")
        self.assertEqual([1, 2, 3], events(answer))
        self.assertEqual([1, 1], calls)

    def test_what_the_caller_has_seen_is_told_to_the_upstream(self) -> None:
        asked: list[str] = []

        async def resume(call: Call) -> None:
            asked.append(call.header("Last-Event-Id"))
            await stream(8, 9)(call)

        ask(RESUMABLE, resume, method="POST", extra="Last-Event-Id: 7\r\n")
        ask(STREAM, resume, method="POST", extra="Last-Event-Id: 7\r\n")
        self.assertEqual(["7", ""], asked)

    def test_a_caller_that_leaves_ends_the_work_of_its_upstream(self) -> None:
        async def work() -> None:
            async def go_on(call: Call) -> None:
                await call.reader.read()

            desk = await Desk((stream(1, 1, then=go_on),), make_configuration(STREAM)).open()
            assert desk.server is not None
            reader, writer = await asyncio.open_connection(LOOPBACK, desk.server.port)
            writer.write(b"POST /x/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 1\r\n\r\n")
            await reader.readuntil(b"data: 1")
            writer.close()
            await wait_for(lambda: desk.upstreams[0].closed_connections == 1)
            await wait_for(lambda: not desk.board.own)

        run(work())
