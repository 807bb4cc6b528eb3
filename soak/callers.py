"""Callers: clients that resolve addresses, reuse connections and record all exchanges."""

import asyncio
from enum import Enum
from itertools import count
from random import Random

from attrs import define, field

from soak.fleet import SoakFleet, SoakHost

# How long a caller waits for a response; also sent as `Deadline-Ms`.
RESPONSE_TIMEOUT_S = 3.0
# Maximum number of requests per connection, and maximum pause between them.
MAX_REQUESTS_PER_CONNECTION = 12
PAUSE_S = 0.03
# Share of requests that go to the most recently added route.
NEW_ROUTE_SHARE = 0.1


class RequestKind(Enum):
    """The kind of a request's route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@define
class Response:
    """A response as the caller received it; ``complete`` if it was read to its end.

    ``leaving_upstream`` is the upstream that said in this response that it leaves, if any.
    """

    status: int = 0
    request_id: str = ""
    signature: str = ""
    body: bytes = b""
    complete: bool = False
    leaving_upstream: str = ""


@define
class Exchange:
    """A request and its response; times are in seconds of the event loop's clock.

    ``version`` is the configuration version that added the request's route, 0 for the routes that
    every version has. ``incarnation`` counts the starts of the host's process.
    """

    id: str
    kind: RequestKind
    host: str
    incarnation: int
    sent: float
    version: int = 0
    ended: float = 0.0
    response: Response = field(factory=Response)


@define
class Callers:
    """The callers of a soak, and the history of their exchanges."""

    fleet: SoakFleet
    random: Random
    history: list[Exchange] = field(factory=list)
    _ids: "count[int]" = field(factory=lambda: count(1))

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

    async def send_once(self, host: SoakHost, kind: RequestKind) -> Exchange:
        """Send a single request over a new connection."""
        exchange = self._record_exchange(host, kind, 0)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host.address, host.callers_port)
                try:
                    await _send_and_receive(reader, writer, exchange)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        exchange.ended = asyncio.get_running_loop().time()
        return exchange

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
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host.address, host.callers_port)
        try:
            for _ in range(self.random.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                if loop.time() >= until:
                    return
                kind = self.random.choice(list(RequestKind))
                version = 0
                if self.random.random() < NEW_ROUTE_SHARE:
                    kind, version = RequestKind.SAFE, self.fleet.acknowledged_version
                exchange = self._record_exchange(host, kind, version)
                try:
                    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                        is_reusable = await _send_and_receive(reader, writer, exchange)
                finally:
                    exchange.ended = loop.time()
                if not is_reusable:
                    return
                await asyncio.sleep(PAUSE_S * self.random.random())
        finally:
            writer.close()

    def _record_exchange(self, host: SoakHost, kind: RequestKind, version: int) -> Exchange:
        sent = asyncio.get_running_loop().time()
        request_id = f"r{next(self._ids):06d}"
        exchange = Exchange(request_id, kind, host.name, host.incarnation, sent, version)
        self.history.append(exchange)
        return exchange


async def _send_and_receive(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, exchange: Exchange
) -> bool:
    """Send a request and read the response; return whether the connection is reusable."""
    path = f"/v{exchange.version}/" if exchange.version else f"/{exchange.kind.value}/"
    method = "GET" if exchange.kind is RequestKind.SAFE else "POST"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: {exchange.id}\r\n"
        f"Deadline-Ms: {int(RESPONSE_TIMEOUT_S * 1000)}\r\n{length}\r\n".encode()
    )
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    response = exchange.response
    response.status = int(head[0].split()[1])
    response.request_id = headers.get("attempt-id", "")
    response.signature = headers.get("server-seal", "")
    if "server-leaving" in headers:
        response.leaving_upstream = headers.get("soak-upstream", "")
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            response.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        response.body = await reader.readexactly(int(headers.get("content-length", "0")))
    response.complete = True
    return headers.get("connection", "") != "close"
