"""Callers: clients that resolve addresses, reuse connections and record all exchanges."""

import asyncio
from enum import Enum
from itertools import count
from random import Random
from re import MULTILINE, findall
from socket import AF_INET, SO_RCVBUF, SOCK_STREAM, SOL_SOCKET, socket

from attrs import define, field

from soak.fleet import SoakFleet, SoakHost
from soak.upstreams import EVENT_COUNT, LARGE_PATH

# Time of a request, sent as `Deadline-Ms`, and how much longer its caller waits for a response.
DEADLINE_S = 3.0
PATIENCE_S = 2.0
# Share of uses of a connection at which several requests are sent at once, and their number.
PIPELINED_SHARE = 0.1
PIPELINED_REQUESTS = (2, 5)
# Share of connections that ask for large answers and read each only after a pause, in seconds, with
# a receive buffer of this size.
SLOW_READER_SHARE = 0.03
SLOW_READ_S = 1.4
SLOW_READER_BUFFER_BYTES = 16 * 1024
# Maximum number of requests per connection, and maximum pause between them.
MAX_REQUESTS_PER_CONNECTION = 12
PAUSE_S = 0.03
# Share of whole streams that their callers take up although they have every event, as after a break
# before the end.
WHOLE_TAKE_UP_SHARE = 0.05
# Share of safe requests whose callers ask again at once under the same id.
REPEATED_SHARE = 0.3
# Seconds for which a long request runs, the time that it has, the pause until the next one is sent
# and the longest time for which its connection has been open by then.
LONG_RUN_S = (1.0, 6.0)
LONG_DEADLINE_S = 9.0
LONG_PAUSE_S = 0.25
LONG_IDLE_S = 1.5
# Share of requests that go to the most recently added route.
NEW_ROUTE_SHARE = 0.1


class RequestKind(Enum):
    """The kind of a request's route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Ending(Enum):
    """How an exchange has ended for its caller.

    ``CLOSED`` is the end of the connection before the response to a request that was sent whole,
    ``BROKEN`` within it; ``BEHIND`` is a request behind one whose response did not end.
    ``MALFORMED`` are bytes that are no response where one was due.
    """

    NOT_SENT = "not sent"
    ANSWERED = "answered"
    CLOSED = "connection closed without a response"
    BROKEN = "connection closed within the response"
    TIMED_OUT = "no whole response in time"
    BEHIND = "behind a response that did not end"
    MALFORMED = "bytes that are no response"


@define
class Response:
    """A response as the caller received it; ``complete`` if it was read to its end.

    ``leaving_upstream`` is the upstream that said in this response that it leaves, if any, and
    ``limiting_upstream`` the one that named a request limit; ``run`` is the run that it is of.
    """

    status: int = 0
    request_id: str = ""
    signature: str = ""
    body: bytes = b""
    complete: bool = False
    leaving_upstream: str = ""
    limiting_upstream: str = ""
    run: str = ""


@define
class Exchange:
    """A request and its response; times are in seconds of the event loop's clock.

    ``version`` is the configuration version that added the request's route, 0 for the routes that
    every version has. ``incarnation`` counts the starts of the host's process. A request that takes
    a stream up names the one that began it, ``resumes``, and the last event that has come; one that
    is sent again bears the id of that before, ``repeats``. A long one runs for ``run_s``.
    """

    id: str
    kind: RequestKind
    host: str
    incarnation: int
    sent: float
    version: int = 0
    resumes: str = ""
    last_event: int = 0
    ended: float = 0.0
    response: Response = field(factory=Response)
    ending: Ending = Ending.NOT_SENT
    is_large: bool = False
    repeats: str = ""
    run_s: float = 0.0

    @property
    def attempt_id(self) -> str:
        """The id under which it is sent."""
        return self.repeats or self.id

    @property
    def deadline_s(self) -> float:
        """The time that the request gave."""
        return LONG_DEADLINE_S if self.run_s else DEADLINE_S

    @property
    def due(self) -> float:
        """The end of the time that the request gave."""
        return self.sent + self.deadline_s


@define
class Callers:
    """The callers of a soak, and the history of their exchanges."""

    fleet: SoakFleet
    random: Random
    history: list[Exchange] = field(factory=list)
    _ids: "count[int]" = field(factory=lambda: count(1))
    _broken: list[Exchange] = field(factory=list)
    _own_random: Random = field(factory=lambda: Random(0))

    async def run(self, until: float) -> None:
        """Send requests until the loop time ``until``, over one connection after another."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            host = await self._resolve()
            if host is None:
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                await self._use_connection(host, until)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                await asyncio.sleep(PAUSE_S)
                while self._broken:
                    await self._take_up(self._broken.pop())

    async def send_long_requests(self, until: float) -> None:
        """Send requests that run for seconds, on connections to any host, until a loop time."""
        tasks = []
        while asyncio.get_running_loop().time() < until:
            host = self._own_random.choice(self.fleet.hosts)
            exchange = self._record_exchange(host, self._own_random.choice(list(RequestKind)), 0)
            exchange.run_s = self._own_random.uniform(*LONG_RUN_S)
            idle_s = self._own_random.uniform(0, LONG_IDLE_S)
            tasks.append(asyncio.create_task(self._send_alone(host, [exchange], idle_s)))
            await asyncio.sleep(LONG_PAUSE_S)
        await asyncio.gather(*tasks)

    async def _take_up(self, broken: Exchange) -> None:
        """Take up a stream that broke off, at any host."""
        host = await self._resolve()
        if host is None:
            return
        exchange = self._record_exchange(host, RequestKind.STREAM, 0)
        exchange.resumes = broken.resumes or broken.id
        exchange.last_event = find_last_event(broken)
        # The request behind shows whether more than a response has followed the stream.
        await self._send_alone(host, [exchange, self._record_exchange(host, RequestKind.SAFE, 0)])

    async def send_once(self, host: SoakHost, kind: RequestKind) -> Exchange:
        """Send a single request over a new connection."""
        exchange = self._record_exchange(host, kind, 0)
        await self._send_alone(host, [exchange])
        return exchange

    async def _send_alone(
        self, host: SoakHost, exchanges: list[Exchange], idle_s: float = 0.0
    ) -> None:
        """Send requests one after the other over a new connection, idle for a while before."""
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(host.address, host.callers_port)
            try:
                await asyncio.sleep(idle_s)
                if host.incarnation != exchanges[0].incarnation:
                    return
                for exchange in exchanges:
                    if not await _send_and_receive(reader, writer, [exchange]):
                        return
            finally:
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass

    async def _resolve(self) -> SoakHost | None:
        directory_host = self.random.choice(self.fleet.hosts)
        try:
            async with asyncio.timeout(1.0):
                addresses = await self.fleet.resolve(directory_host)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None
        resolved = [host for host in self.fleet.hosts if host.address in addresses]
        return self.random.choice(resolved) if resolved else None

    async def _use_connection(self, host: SoakHost, until: float) -> None:
        loop = asyncio.get_running_loop()
        is_slow = self.random.random() < SLOW_READER_SHARE
        incarnation = host.incarnation
        async with asyncio.timeout(1.0):
            reader, writer = await _open_connection(host, is_slow)
        try:
            for _ in range(self.random.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                # After a slow response, the process that sent it may be gone.
                if loop.time() >= until or host.incarnation != incarnation:
                    return
                count = 1
                if self.random.random() < PIPELINED_SHARE:
                    count = self.random.randint(*PIPELINED_REQUESTS)
                exchanges = [self._draw_exchange(host, is_slow) for _ in range(count)]
                try:
                    if not await _send_and_receive(reader, writer, exchanges):
                        return
                finally:
                    self._broken += filter(_may_be_taken_up, exchanges)
                whole = [exchange for exchange in exchanges if _has_all_events(exchange)]
                if whole and self.random.random() < WHOLE_TAKE_UP_SHARE:
                    await self._take_up(whole[0])
                is_safe = exchanges[-1].kind is RequestKind.SAFE and not is_slow
                if is_safe and self._own_random.random() < REPEATED_SHARE:
                    repeated = self._record_exchange(host, RequestKind.SAFE, 0)
                    repeated.repeats = exchanges[-1].attempt_id
                    if not await _send_and_receive(reader, writer, [repeated]):
                        return
                await asyncio.sleep(PAUSE_S * self.random.random())
        finally:
            writer.close()

    def _draw_exchange(self, host: SoakHost, is_slow: bool) -> Exchange:
        if self.random.random() < NEW_ROUTE_SHARE:
            return self._record_exchange(host, RequestKind.SAFE, self.fleet.acknowledged_version)
        exchange = self._record_exchange(host, self.random.choice(list(RequestKind)), 0)
        exchange.is_large = is_slow
        return exchange

    def _record_exchange(self, host: SoakHost, kind: RequestKind, version: int) -> Exchange:
        sent = asyncio.get_running_loop().time()
        request_id = f"r{next(self._ids):06d}"
        exchange = Exchange(request_id, kind, host.name, host.incarnation, sent, version)
        self.history.append(exchange)
        return exchange


async def _open_connection(
    host: SoakHost, is_slow: bool
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    connection = socket(AF_INET, SOCK_STREAM)
    connection.setblocking(False)
    if is_slow:
        connection.setsockopt(SOL_SOCKET, SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host.address, host.callers_port))
        return await asyncio.open_connection(sock=connection)
    except BaseException:
        connection.close()
        raise


async def _send_and_receive(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, exchanges: list[Exchange]
) -> bool:
    """Send requests at once and read their responses; return whether the connection is reusable.

    The responses to pipelined requests are read to the last one, also behind one that ends the
    connection, since the host had all requests by then.
    """
    loop = asyncio.get_running_loop()
    writer.write(b"".join(_encode_request(exchange) for exchange in exchanges))
    is_reusable = True
    for exchange in exchanges:
        exchange.sent = loop.time()
        exchange.ending = Ending.BEHIND
    for exchange in exchanges:
        slow_s = SLOW_READ_S if exchange.is_large else 0.0
        exchange.ending = Ending.CLOSED
        try:
            async with asyncio.timeout(exchange.deadline_s + PATIENCE_S + slow_s):
                is_reusable &= await _receive(reader, exchange, slow_s)
            exchange.ending = Ending.ANSWERED
        except TimeoutError:
            exchange.ending = Ending.TIMED_OUT
            raise
        except (OSError, asyncio.IncompleteReadError):
            if exchange.response.status:
                exchange.ending = Ending.BROKEN
            raise
        except ValueError:
            exchange.ending = Ending.MALFORMED
            raise
        finally:
            exchange.ended = loop.time()
    return is_reusable


def _may_be_taken_up(exchange: Exchange) -> bool:
    return (
        exchange.kind is RequestKind.STREAM
        and exchange.ending is Ending.BROKEN
        and not exchange.is_large
        and find_last_event(exchange) > 0
    )


def _has_all_events(exchange: Exchange) -> bool:
    return (
        exchange.kind is RequestKind.STREAM
        and exchange.response.status == 200
        and not exchange.is_large
        and find_last_event(exchange) == EVENT_COUNT
    )


def find_last_event(exchange: Exchange) -> int:
    """Return the number of the last whole event that a caller has received, 0 if there is none."""
    whole, _, _ = exchange.response.body.rpartition(b"\n\n")
    numbers = findall(rb"^id: (\d+)$", whole, MULTILINE)
    return int(numbers[-1]) if numbers else exchange.last_event


def _encode_request(exchange: Exchange) -> bytes:
    path = f"/v{exchange.version}/" if exchange.version else f"/{exchange.kind.value}/"
    path += LARGE_PATH if exchange.is_large else ""
    path = f"/long{path}" if exchange.run_s else path
    method = "GET" if exchange.kind is RequestKind.SAFE else "POST"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    resumed = f"Resumes: {exchange.resumes}\r\nLast-Event-Id: {exchange.last_event}\r\n"
    length += resumed if exchange.resumes else ""
    length += f"Soak-Request: {exchange.id}\r\n" if exchange.repeats else ""
    length += f"Soak-Seconds: {exchange.run_s}\r\n" if exchange.run_s else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: {exchange.attempt_id}\r\n"
        f"Deadline-Ms: {int(exchange.deadline_s * 1000)}\r\n{length}\r\n".encode()
    )


async def _receive(reader: asyncio.StreamReader, exchange: Exchange, slow_s: float) -> bool:
    """Read a response, its body after ``slow_s``; return whether the connection is reusable."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    if not head[0].startswith("HTTP/1.1 "):
        raise ValueError(f"no response: {head[0][:100]!r}")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    response = exchange.response
    response.status = int(head[0].split()[1])
    response.request_id = headers.get("attempt-id", "")
    response.signature = headers.get("server-seal", "")
    response.run = headers.get("soak-run", "")
    upstream = response.run.partition("/")[0]
    response.leaving_upstream = upstream if "server-leaving" in headers else ""
    response.limiting_upstream = upstream if "server-limit" in headers else ""
    await asyncio.sleep(slow_s)
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            response.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        response.body = await reader.readexactly(int(headers.get("content-length", "0")))
    response.complete = True
    return headers.get("connection", "") != "close"
