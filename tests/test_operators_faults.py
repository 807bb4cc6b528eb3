"""Faults that operators of similar systems have seen, where no other test covers them.

docs/PROOFS.md lists each of them with its tests.
"""

import asyncio
from signal import SIGTERM
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, StartsWith

from cherrylane.gateway import tasks
from cherrylane.gateway.endpoints import ADDRESS_LIFETIME_S
from cherrylane.gateway.tasks import keep_running
from cherrylane.http.limits import InboundLimits
from cherrylane.http.listener import InboundServer
from cherrylane.http.messages import Request
from cherrylane.http.responder import Responder
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, WatchEvents
from cherrylane.routing.snapshot import Snapshot
from cherrylane.settings.schema import PlatformSettings
from tests.relay_fixture import STREAM, UNSAFE, RelayFixture, events
from tests.test_async_watcher import FakeStore
from tests.test_gateway import SLOW_ROUTE, GatewayCase
from tests.test_platform_documents import CONFIG
from tests.wire import (
    LOOPBACK,
    Call,
    ScriptedUpstream,
    make_configuration,
    open_listener,
    run,
    send_raw,
    wait_for,
)

STORED = b'{"metadata": {"name": "%s", "rev": 3}, "spec": {}}'


class SecondCopyTest(TestCase):
    def test_a_late_second_copy_of_a_stores_response_is_not_taken_for_the_next(self) -> None:
        """Responses of the store carry no id by which a call could recognise its own."""

        async def answer_twice_and_late(call: Call) -> None:
            name = call.lines[0].split()[1].rpartition("/")[2].encode()
            call.answer(STORED % name)
            await call.writer.drain()
            # The copy leaves with the response to the next request on this connection, if any.
            if (following := await call.reader.readline()) != b"":
                call.answer(STORED % name)
                call.answer(STORED % following)

        async def work() -> list[str]:
            store = await ScriptedUpstream(answer_twice_and_late).start()
            client = AsyncPlatformClient(PlatformSettings(url=f"http://{LOOPBACK}:{store.port}"))
            return [(await client.get(Kind.HOSTS, name)).name for name in ("a", "b", "c")]

        self.assertEqual(["a", "b", "c"], run(work()))

    def test_a_late_second_copy_of_an_upstreams_answer_is_not_taken_for_the_next(self) -> None:
        answers: list[bytes] = []

        async def answer_with_the_copy_of_the_last(call: Call) -> None:
            for answer in answers:
                call.writer.write(answer)
            body = call.header("Attempt-Id").encode() * 8
            call.answer(body)
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {call.header('Attempt-Id')}\r\nServer-Seal: s"
            answers[:] = [f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body]

        async def work() -> list[bytes]:
            fixture = await RelayFixture(
                (answer_with_the_copy_of_the_last,), make_configuration()
            ).open()
            return [await fixture.fetch(request_id=str(number)) for number in range(1, 5)]

        for number, answer in enumerate(run(work()), start=1):
            self.assertTrue(answer.endswith(str(number).encode() * 8), str(answer))


class PlannedStopTest(GatewayCase):
    def test_a_request_that_is_being_read_when_the_rest_has_ended_is_answered(self) -> None:
        """Only requests that were handled counted as running; the process ended on the others."""

        async def work() -> bytes:
            async def answer(call: Call) -> None:
                call.answer(b"done")

            upstream = await ScriptedUpstream(answer).start()
            await self.write(upstream, {**self.document, "routes": [SLOW_ROUTE]})
            await self.wait_until_ready()
            port = self.gateway.port("callers")
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            self.gateway.process.send_signal(SIGTERM)
            await asyncio.to_thread(self.gateway.wait_for, "stopping")
            body = b"Content-Length: 4\r\nAttempt-Id: 1\r\n\r\n"
            writer.write(b"POST /x/y HTTP/1.1\r\nHost: desk.example\r\n" + body + b"ha")
            await asyncio.sleep(ADDRESS_LIFETIME_S + 0.5)
            writer.write(b"lf")
            return await reader.read(65536)

        self.assertThat(run(work()), StartsWith(b"HTTP/1.1 "))
        self.assertEqual(0, self.gateway.process.wait(timeout=20))

    @property
    def document(self) -> dict[str, Any]:
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 6000,
            "idle_timeout_ms": 15000,
        }
        return CONFIG | {"tenants": [], "limits": limits}


class SilentUpstreamTest(TestCase):
    def test_work_goes_on_where_the_upstream_has_gone_from_the_list(self) -> None:
        """An upstream that is only slow to report has its entry removed by the platform."""

        async def work() -> tuple[bytes, list[int]]:
            listed_no_more = asyncio.Event()

            async def send_slowly(call: Call) -> None:
                call.start_events()
                call.write_event(1)
                await listed_no_more.wait()
                call.write_event(2)
                call.end_events()

            async def succeed(call: Call) -> None:
                call.answer(b"done")

            fixture = await RelayFixture((send_slowly, succeed), make_configuration(STREAM)).open()
            running = asyncio.create_task(fixture.fetch("POST"))
            await wait_for(lambda: fixture.calls == [1, 0])
            fixture.snapshot = Snapshot(table=fixture.snapshot.table)
            listed_no_more.set()
            return await running, fixture.calls

        answer, calls = run(work())
        self.assertEqual(([1, 2], [1, 0]), (events(answer), calls))

    def test_a_request_that_may_not_be_repeated_is_not_sent_elsewhere(self) -> None:
        async def work() -> tuple[bytes, list[int]]:
            released = asyncio.Event()

            async def answer_late(call: Call) -> None:
                await released.wait()
                call.answer(b"done")

            fixture = await RelayFixture(
                (answer_late, answer_late), make_configuration(UNSAFE)
            ).open()
            running = asyncio.create_task(fixture.fetch("POST"))
            await wait_for(lambda: fixture.calls == [1, 0])
            await asyncio.sleep(UNSAFE.target_s * 1.5)
            released.set()
            return await running, fixture.calls

        answer, calls = run(work())
        self.assertThat(answer, Contains(b"done"))
        self.assertEqual([1, 0], calls)


class OneErrorTest(TestCase):
    """One malformed message or unexpected error must not take down more than itself."""

    def test_an_error_of_a_handler_ends_its_request_alone(self) -> None:
        """The caller got no answer, and the connection stayed open for good."""

        async def fail(request: Request, responder: Responder) -> None:
            raise RuntimeError("a fault of ours")

        async def start_and_fail(request: Request, responder: Responder) -> None:
            responder.start(200, [], b"half")
            raise RuntimeError("a fault of ours")

        async def fetch(handle: Any) -> bytes:
            server = InboundServer(handle, InboundLimits())
            await server.listen(open_listener())
            return await send_raw(server.port, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

        self.assertThat(run(fetch(fail)), StartsWith(b"HTTP/1.1 502"))
        self.assertFalse(run(fetch(start_and_fail)).endswith(b"0\r\n\r\n"))

    def test_a_background_task_goes_on_after_an_error(self) -> None:
        """Without its heartbeats, a host looked dead to all others for the rest of its life."""

        async def work() -> int:
            runs = 0

            async def fail_twice() -> None:
                nonlocal runs
                runs += 1
                if runs < 3:
                    raise RuntimeError("a fault of ours")

            await keep_running("test", fail_twice)
            return runs

        self.patch(tasks, "TASK_RESTART_S", 0.01)
        self.assertEqual(3, run(work()))

    def test_a_watch_goes_on_after_an_error_of_its_listener(self) -> None:
        async def work() -> int:
            lists = 0

            def fail_once(listed: ObjectList) -> None:
                nonlocal lists
                lists += 1
                if lists == 1:
                    raise KeyError("a fault of ours")

            def ignore(changes: WatchEvents) -> None:
                return

            watcher = AsyncWatcher(FakeStore(), Kind.UPSTREAMS, fail_once, ignore)
            watcher.set_watching(True)
            await wait_for(lambda: lists == 2)
            watcher.set_watching(False)
            return lists

        self.assertEqual(2, run(work()))
