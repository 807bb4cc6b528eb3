"""Endless bytes in small pieces, in front of one gateway process with little memory.

The memory is judged as the platform does, by what the process holds, and not by its own account.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress

from attrs import frozen
from testtools.content import text_content
from testtools.matchers import Contains, LessThan, StartsWith

from tests.test_slow_readers import SlowReadersCase
from tests.wire import LOOPBACK, Call

MEGABYTE = 1024 * 1024
# Callers that wait for an endless response at once, and for how many seconds.
CALLERS = 40
HOLD_S = 4.0
# What one upstream connection sends: bytes at once, and the pause behind them.
BURST_BYTES = 50_000
PAUSE_S = 0.05
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENTS = "Content-Type: text/event-stream\r\nServer-Seal: s\r\n"


@frozen
class Endless:
    """A response that never ends: its status, further header lines, and what it repeats.

    ``start`` is sent once behind the head; without ``has_head`` the head does not end.
    """

    status: int
    headers: str
    piece: bytes
    start: bytes = b""
    has_head: bool = True

    async def send(self, call: Call) -> None:
        """Send the response until the gateway closes the connection."""
        head = f"HTTP/1.1 {self.status} X\r\nAttempt-Id: {call.header('Attempt-Id')}\r\n"
        end = "\r\n" if self.has_head else ""
        call.writer.write((head + self.headers + end).encode() + self.start)
        burst = self.piece * (BURST_BYTES // len(self.piece))
        while True:
            call.writer.write(burst)
            await call.writer.drain()
            await asyncio.sleep(PAUSE_S)


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


SMALL_CHUNK = make_chunk(b"x" * 24)
LARGE_CHUNK = make_chunk(b"x" * 256 * 1024)

RESPONSES = {
    "failures in chunks of 24 bytes": Endless(500, CHUNKED, SMALL_CHUNK),
    "failures in chunks of one byte": Endless(500, CHUNKED, make_chunk(b"x")),
    "failures until the close": Endless(500, "", b"x" * 1000),
    "failures of a large length": Endless(500, "Content-Length: 999999999\r\n", b"x" * 1000),
    "refusals in chunks of 24 bytes": Endless(429, CHUNKED + "Retry-After: 1\r\n", SMALL_CHUNK),
    "true refusals": Endless(503, CHUNKED + "Not-Executed: 1\r\n", SMALL_CHUNK),
    "trailers": Endless(500, CHUNKED, b"a:\r\n", LARGE_CHUNK + b"0\r\n"),
    "header lines": Endless(500, "", b"a:\r\n", has_head=False),
    "comments": Endless(200, CHUNKED + EVENTS, make_chunk(b":\n\n")),
    "an event in chunks of 24 bytes": Endless(200, CHUNKED + EVENTS, SMALL_CHUNK),
}


async def serve(call: Call) -> None:
    """Send the endless response of the name in the path, ``done`` if there is none."""
    number = call.lines[0].split()[1].rpartition("/")[2]
    if not number:
        call.answer(b"done")
        return
    with suppress(ConnectionError):
        await list(RESPONSES.values())[int(number)].send(call)


def iterate_requests(piece: bytes, head: bytes) -> Iterator[bytes]:
    """Yield the bytes of a request whose body or head never ends."""
    yield head
    while True:
        yield piece * (BURST_BYTES // len(piece))


POST = b"POST /plain/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: 9\r\n"
REQUESTS = {
    "bodies in chunks of 24 bytes": (SMALL_CHUNK, POST + CHUNKED.encode() + b"\r\n"),
    "header lines": (b"a:\r\n", POST),
    "pipelined requests": (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b""),
}


class EndlessMemoryTest(SlowReadersCase):
    """Guards against an account of memory that counts bytes, and not the objects that hold them.

    A faulty upstream sent bytes without end in small pieces; the process that read them exceeded
    its memory, and the requests of other clients ended with it (review/8).
    """

    async def ask(self, path: str, request_id: int) -> None:
        """Send a request and read for ``HOLD_S``, as long as a response or a reset may come."""
        head = f"GET {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {request_id}\r\n\r\n"
        await self.exchange(iter([head.encode()]))

    async def exchange(self, data: Iterator[bytes]) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.gateway.port("callers"))
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(HOLD_S):
                for burst in data:
                    writer.write(burst)
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                while await reader.read(65536):
                    pass
        writer.close()

    async def measure(self, crowd: Callable[[], list[Awaitable[None]]]) -> int:
        """Return the peak memory of the process in MB, after a crowd that it has outlived."""
        await asyncio.gather(*crowd())
        self.assertIsNone(self.gateway.process.poll())
        return self.read_peak_bytes() // MEGABYTE

    def check(self, crowds: dict[str, Callable[[], list[Awaitable[None]]]]) -> None:
        async def work() -> tuple[dict[str, int], bytes]:
            await self.open_service(serve)
            peaks = {name: await self.measure(crowd) for name, crowd in crowds.items()}
            return peaks, await self.fetch("/plain/", 1)

        peaks, ordinary = self.run_bounded(work())
        self.addDetail("peaks", text_content(f"MB so far: {peaks}"))
        self.assertThat(ordinary, StartsWith(b"HTTP/1.1 200"))
        self.assertThat(ordinary, Contains(b"done"))
        self.assertThat(max(peaks.values()), LessThan(self.memory_mb))

    def test_responses_of_upstreams(self) -> None:
        def make_crowd(number: int) -> Callable[[], list[Awaitable[None]]]:
            ids = range(1000 * (number + 1), 1000 * (number + 1) + CALLERS)
            return lambda: [self.ask(f"/streams/{number}", request_id) for request_id in ids]

        self.check({name: make_crowd(number) for number, name in enumerate(RESPONSES)})

    def test_requests_of_callers(self) -> None:
        def make_crowd(piece: bytes, head: bytes) -> Callable[[], list[Awaitable[None]]]:
            return lambda: [self.exchange(iterate_requests(piece, head)) for _ in range(CALLERS)]

        self.check({name: make_crowd(*request) for name, request in REQUESTS.items()})
