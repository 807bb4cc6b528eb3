"""Crowds of callers that read little or nothing, in front of one gateway with little memory."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from os import listdir
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET, socket
from typing import Any, TypeVar

from attrs import frozen
from testtools.content import text_content
from testtools.matchers import Contains, Equals, LessThan, StartsWith

from cherrylane.http.messages import encode_chunk
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from tests.test_gateway import DESK, ROUTE, GatewayCase
from tests.wire import LOOPBACK, Call, Script, ScriptedUpstream, send_raw

MEMORY_MB = 100
# Ends a test that hangs; no assertion depends on it.
CROWD_TIMEOUT_S = 120.0
# Seconds for which the crowd stays after each of its callers has got the begin of a response.
HOLD_S = 6.0
# Callers that ask at once; the upstreams share a loop with them and may be late for more.
BATCH = 10
RECEIVE_BUFFER_BYTES = 4096
TIMEOUT_MS = 60_000
MEGABYTE = 1_000_000

T = TypeVar("T")


@frozen
class Answer:
    """What the upstream sends: a stream of events, or a plain answer of one part."""

    size: int
    event_bytes: int = 0
    is_chunked: bool = False

    @property
    def path(self) -> str:
        """The path of a request for this answer."""
        kind = "streams" if self.event_bytes else "plain"
        return f"/{kind}/{self.size}/{self.event_bytes}/{int(self.is_chunked)}"


async def serve(call: Call) -> None:
    """Send the answer that the path of the request describes, ``done`` if it describes none."""
    _, kind, *numbers = call.lines[0].split()[1].split("/")
    if not numbers or not numbers[0]:
        call.answer(b"done")
        return
    size, event_bytes, is_chunked = map(int, numbers)
    if kind == "streams":
        call.start_events()
        for number in range(1, size // event_bytes + 1):
            call.writer.write(encode_chunk(make_event(number, event_bytes)))
            await call.writer.drain()
        call.end_events()
    elif is_chunked:
        call.start_events()
        call.writer.write(encode_chunk(bytes(size)))
        call.end_events()
    else:
        call.answer(bytes(size))
    await call.writer.drain()


def make_event(number: int, size: int) -> bytes:
    head = b"id: %d\ndata: " % number
    return head + b"x" * (size - len(head) - 2) + b"\n\n"


def make_route(kind: str) -> dict[str, Any]:
    return ROUTE | {
        "name": kind,
        "path_prefix": f"/{kind}/",
        "kind": "streaming" if kind == "streams" else "safe",
        "resumable": False,
        "traffic_split": None,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": TIMEOUT_MS,
        "gap_aim_ms": TIMEOUT_MS,
    }


class SlowReadersCase(GatewayCase):
    memory_mb = MEMORY_MB

    def setUp(self) -> None:
        super().setUp()
        self.upstreams: list[ScriptedUpstream] = []

    def run_bounded(self, work: Awaitable[T]) -> T:
        async def bounded() -> T:
            try:
                async with asyncio.timeout(CROWD_TIMEOUT_S):
                    return await work
            finally:
                for upstream in self.upstreams:
                    upstream.crash()
                await asyncio.sleep(0)

        return asyncio.run(bounded())

    async def open_service(self, script: Script = serve) -> None:
        """Start upstreams with room for every request, and wait until the gateway is ready."""
        document = DESK | {"routes": [make_route("streams"), make_route("plain")]}
        client = AsyncPlatformClient(self.store)
        await client.create(PlatformObject(Kind.CONFIG, "main", document))
        for number in range(3):
            upstream = await ScriptedUpstream(script).start()
            self.upstreams.append(upstream)
            entry = upstream.make_entry("desk", slots=2000)
            await client.create(PlatformObject(Kind.UPSTREAMS, f"i-{number}", entry))
        await self.wait_until_ready()

    async def open_caller(self, path: str, number: int) -> socket:
        """Send a request on a connection whose kernel holds little of the response."""
        loop = asyncio.get_running_loop()
        caller = socket()
        self.addCleanup(caller.close)
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, (LOOPBACK, self.gateway.port("callers")))
        head = f"GET {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {number}\r\n\r\n"
        await loop.sock_sendall(caller, head.encode())
        return caller

    async def fill(self, answer: Answer, callers: int) -> Counter[bytes]:
        """Open a crowd that reads only the first bytes; return its responses by status."""
        loop = asyncio.get_running_loop()
        statuses: Counter[bytes] = Counter()
        for first in range(0, callers, BATCH):
            numbers = range(first, min(callers, first + BATCH))
            batch: list[socket] = []
            for number in numbers:
                try:
                    batch.append(await self.open_caller(answer.path, 100 + number))
                except ConnectionError:
                    # A connection beyond the limit is reset, maybe before its request was sent.
                    statuses[b"reset"] += 1
            for caller in batch:
                try:
                    statuses[(await loop.sock_recv(caller, 12))[9:]] += 1
                except ConnectionError:
                    statuses[b"reset"] += 1
        await asyncio.sleep(HOLD_S)
        return statuses

    async def fetch(self, path: str, number: int) -> bytes:
        head = f"GET {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {number}\r\n"
        port = self.gateway.port("callers")
        return await send_raw(port, f"{head}Connection: close\r\n\r\n".encode())

    def read_peak_bytes(self) -> int:
        status = Path(f"/proc/{self.gateway.process.pid}/status").read_text(encoding="ascii")
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    def check_crowd(self, answer: Answer, callers: int) -> None:
        """Check that the process outlives a crowd within its limits, and serves others."""

        async def work() -> tuple[Counter[bytes], bytes]:
            await self.open_service()
            statuses = await self.fill(answer, callers)
            return statuses, await self.fetch("/plain/", 1)

        statuses, ordinary = self.run_bounded(work())
        self.assertIsNone(self.gateway.process.poll())
        descriptors = len(listdir(f"/proc/{self.gateway.process.pid}/fd"))
        peak = self.read_peak_bytes()
        seen = f"{dict(statuses)}, peak {peak / 2**20:.0f} MB, {descriptors} descriptors"
        self.addDetail("crowd", text_content(seen))
        self.assertThat(descriptors, LessThan(self.max_fds))
        self.assertThat(ordinary, StartsWith(b"HTTP/1.1 200"))
        self.assertThat(ordinary, Contains(b"done"))
        self.assertThat(peak, LessThan(MEMORY_MB * 1024 * 1024))


class SlowReadersTest(SlowReadersCase):
    # Guards against events that wait for slow readers exceeding the memory (117 MB of 100).
    def test_streams_with_events_of_200_kilobytes(self) -> None:
        self.check_crowd(Answer(4 * MEGABYTE, event_bytes=200_000), 120)

    # Guards against large events filling the memory of a process many times (469 MB of 100).
    def test_streams_with_events_of_900_kilobytes(self) -> None:
        self.check_crowd(Answer(9 * MEGABYTE, event_bytes=900_000), 200)

    # Guards against limits that cut an answer whose caller reads at a sound pace.
    def test_a_single_answer_of_4_megabytes_is_whole(self) -> None:
        async def work() -> list[bytes]:
            await self.open_service()
            answers = [
                Answer(4 * MEGABYTE, event_bytes=200_000),
                Answer(4 * MEGABYTE),
                Answer(4 * MEGABYTE, is_chunked=True),
            ]
            return [await self.fetch(answer.path, 10 + n) for n, answer in enumerate(answers)]

        stream, plain, chunked = self.run_bounded(work())
        self.assertThat(stream.count(b"id: "), Equals(20))
        self.assertTrue(stream.endswith(b"0\r\n\r\n"))
        for answer in (plain, chunked):
            self.assertThat(answer, StartsWith(b"HTTP/1.1 200"))
            self.assertThat(len(answer.partition(b"\r\n\r\n")[2]), Equals(4 * MEGABYTE))

    # Guards against cutting or refusing a caller that reads at a sound pace for the sake of others.
    def test_a_sound_reader_beside_a_crowd_gets_the_whole_answer(self) -> None:
        async def work() -> list[bytes]:
            await self.open_service()
            await self.fill(Answer(9 * MEGABYTE, event_bytes=900_000), 60)
            answers = [Answer(4 * MEGABYTE, event_bytes=200_000), Answer(4 * MEGABYTE)]
            return [await self.fetch(answer.path, 10 + n) for n, answer in enumerate(answers)]

        stream, plain = self.run_bounded(work())
        self.assertThat(stream.count(b"id: "), Equals(20))
        self.assertTrue(stream.endswith(b"0\r\n\r\n"))
        self.assertThat(len(plain.partition(b"\r\n\r\n")[2]), Equals(4 * MEGABYTE))
        self.assertThat(self.read_peak_bytes(), LessThan(MEMORY_MB * 1024 * 1024))


class DescriptorsTest(SlowReadersCase):
    max_fds = 500

    # Guards against a crowd that uses up the descriptors of the process, two for each stream.
    def test_a_crowd_leaves_descriptors_to_others(self) -> None:
        self.check_crowd(Answer(9 * MEGABYTE, event_bytes=50_000), 300)
