"""Callers of the soak: they ask for addresses, keep connections, and record what they got."""

import asyncio
from enum import Enum
from itertools import count
from random import Random

from attrs import define, field

from soak.fleet import SoakFleet, SoakHost

# Seconds that a caller waits for an answer.
PATIENCE_S = 3.0
# Requests on one connection, and seconds between them.
REQUESTS_KEPT = 12
PAUSE_S = 0.03
# Share of the requests on routes that were added lately.
LATE_ROUTE_SHARE = 0.1


class Kind(Enum):
    """What a request asks for."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@define
class Answer:
    """An answer as the caller read it; ``whole`` says that it came to its proper end."""

    status: int = 0
    request_id: str = ""
    signature: str = ""
    body: bytes = b""
    whole: bool = False


@define
class Exchange:
    """One request and what came of it; times are in seconds of the loop's clock.

    ``version`` is the configuration that added the request's route, 0 for the first ones.
    ``incarnation`` tells the runs of the host's process apart.
    """

    id: str
    kind: Kind
    host: str
    incarnation: int
    sent: float
    version: int = 0
    ended: float = 0.0
    answer: Answer = field(factory=Answer)


@define
class Callers:
    """All callers, and the history of their requests."""

    fleet: SoakFleet
    random: Random
    history: list[Exchange] = field(factory=list)
    _ids: "count[int]" = field(factory=lambda: count(1))

    async def run(self, until: float) -> None:
        """Send requests over one connection after another until the loop's clock says so."""
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

    async def ask_once(self, host: SoakHost, kind: Kind) -> Exchange:
        """Send one request over a connection of its own."""
        exchange = self._begin(host, kind, 0)
        try:
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection(host.address, host.callers_port)
                try:
                    await _exchange(reader, writer, exchange)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        exchange.ended = asyncio.get_running_loop().time()
        return exchange

    async def _resolve(self) -> SoakHost | None:
        asked = self.random.choice(self.fleet.hosts)
        try:
            async with asyncio.timeout(1.0):
                addresses = await self.fleet.resolve(asked)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None
        known = [host for host in self.fleet.hosts if host.address in addresses]
        return self.random.choice(known) if known else None

    async def _use_connection(self, host: SoakHost, until: float) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host.address, host.callers_port)
        try:
            for _ in range(self.random.randint(1, REQUESTS_KEPT)):
                if loop.time() >= until:
                    return
                kind = self.random.choice(list(Kind))
                version = 0
                if self.random.random() < LATE_ROUTE_SHARE:
                    kind, version = Kind.SAFE, self.fleet.acknowledged_version
                exchange = self._begin(host, kind, version)
                try:
                    async with asyncio.timeout(PATIENCE_S):
                        is_kept = await _exchange(reader, writer, exchange)
                finally:
                    exchange.ended = loop.time()
                if not is_kept:
                    return
                await asyncio.sleep(PAUSE_S * self.random.random())
        finally:
            writer.close()

    def _begin(self, host: SoakHost, kind: Kind, version: int) -> Exchange:
        now = asyncio.get_running_loop().time()
        request_id = f"r{next(self._ids):06d}"
        exchange = Exchange(request_id, kind, host.name, host.incarnation, now, version)
        self.history.append(exchange)
        return exchange


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, exchange: Exchange
) -> bool:
    """Send a request and read its answer; says whether the connection may be used again."""
    path = f"/v{exchange.version}/" if exchange.version else f"/{exchange.kind.value}/"
    method = "GET" if exchange.kind is Kind.SAFE else "POST"
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: {exchange.id}\r\n"
        f"Deadline-Ms: {int(PATIENCE_S * 1000)}\r\n{length}\r\n".encode()
    )
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    answer = exchange.answer
    answer.status = int(head[0].split()[1])
    answer.request_id = headers.get("attempt-id", "")
    answer.signature = headers.get("server-seal", "")
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        answer.body = await reader.readexactly(int(headers.get("content-length", "0")))
    answer.whole = True
    return headers.get("connection", "") != "close"
