"""Helpers for tests of the event-loop side: upstreams that follow a script, and raw callers."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from socket import SO_LINGER, SOL_SOCKET, create_server, socket
from typing import Any, TypeVar

from attrs import define, field, frozen

from cherrylane.http.inbound import RESET_ON_CLOSE
from cherrylane.http.limits import InboundLimits
from cherrylane.relay.request import CallerRequest, Prompt
from cherrylane.routing.routes import (
    Account,
    Configuration,
    EngineProfile,
    RequestKind,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)
from cherrylane.routing.snapshot import KnownUpstream, Snapshot
from cherrylane.routing.upstreams import Upstream, UpstreamState
from cherrylane.settings.gateway import (
    FleetBounds,
    GatewaySettings,
    HostIdentity,
    ListenAddresses,
    RetryBounds,
    StoreSettings,
)
from cherrylane.settings.schema import Endpoint

LOOPBACK = "127.0.0.1"
# The longest that anything in a test may take; nothing is asserted about it.
PATIENCE_S = 20.0

T = TypeVar("T")
Script = Callable[["Call"], Awaitable[None]]


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a test's coroutine, which is ended when it hangs."""

    async def bounded() -> T:
        async with asyncio.timeout(PATIENCE_S):
            return await work

    return asyncio.run(bounded())


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, so that its other end is reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@frozen
class Call:
    """One request as an upstream has read it."""

    lines: list[str]
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is missing."""
        for line in self.lines[1:]:
            own, _, value = line.partition(":")
            if own.lower() == name.lower():
                return value.strip()
        return ""

    def answer(self, body: bytes = b"ok", *, status: int = 200, extra: str = "") -> None:
        """Write a whole, signed answer."""
        self.start_answer(len(body), status=status, extra=extra)
        self.writer.write(body)

    def start_answer(self, length: int, *, status: int = 200, extra: str = "") -> None:
        """Write the signed head of an answer whose body follows."""
        self.writer.write(
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {self.header('Attempt-Id')}\r\n"
            f"Server-Seal: s\r\n{extra}Content-Length: {length}\r\n\r\n".encode()
        )

    def start_events(self, extra: str = "") -> None:
        """Write the head of a stream of events."""
        self.writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {self.header('Attempt-Id')}\r\nServer-Seal: s\r\n"
            f"Content-Type: text/event-stream\r\n{extra}Transfer-Encoding: chunked\r\n\r\n".encode()
        )

    def event(self, number: int, *, cut: int = 0) -> None:
        """Write one event, of which ``cut`` bytes are left out at its end."""
        text = f"id: {number}\ndata: {number}\n\n".encode()
        data = text[: len(text) - cut]
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_events(self) -> None:
        """Write the end of the stream."""
        self.writer.write(b"0\r\n\r\n")

    def reset(self) -> None:
        """Break off the connection, so that its end is told from an orderly one."""
        reset_connection(self.writer)


@define
class ScriptedUpstream:
    """Listens on loopback and answers each request by ``script``."""

    script: Script
    calls: list[Call] = field(factory=list)
    connections: int = 0
    left: int = 0
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> "ScriptedUpstream":
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while (call := await read_call(reader, writer)) is not None:
                self.calls.append(call)
                await self.script(call)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return  # The test is over.
        self.left += 1
        writer.close()

    def entry(self, service: str, **fields: object) -> dict[str, object]:
        """Return the entry by which this upstream is listed."""
        return {
            "service": service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "born": 1,
        } | fields

    def describe(self, name: str, service: str = "desk") -> Upstream:
        """Return this upstream as a host knows it."""
        endpoint = Endpoint(LOOPBACK, self.port)
        return Upstream(name, service, endpoint, "a", 4, UpstreamState.READY)


async def read_call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Call | None:
    """Read one request that is framed by its length; None when there is no other."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode().split("\r\n")[:-2]
    call = Call(lines, b"", writer, reader)
    length = int(call.header("Content-Length") or 0)
    return Call(lines, await reader.readexactly(length), writer, reader)


async def send_raw(port: int, data: bytes) -> bytes:
    """Send bytes on a new connection and return all that comes until it is closed."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(data)
    received = b""
    try:
        while part := await reader.read(65536):
            received += part
    except ConnectionError:
        pass
    writer.close()
    return received


def open_listener(address: str = LOOPBACK, port: int = 0) -> socket:
    """Return a socket that listens on loopback, on a free port if none is given."""
    listening = create_server((address, port))
    listening.setblocking(False)
    return listening


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until something holds."""
    while not condition():
        await asyncio.sleep(0.01)


def make_route(kind: RequestKind = RequestKind.SAFE, **changes: Any) -> Route:
    """Return a route of the service ``desk``."""
    fields: dict[str, Any] = {
        "name": "r",
        "host": "desk.example",
        "path_prefix": "/x/",
        "kind": kind,
        "shares": (ServiceShare("desk"),),
        "timeout_s": 5.0,
        "target_s": 1.0,
        "max_attempts": 2,
    }
    return Route(**(fields | changes))


def make_configuration(*routes: Route, version: int = 1, keys: str = "") -> Configuration:
    """Return a configuration; ``keys`` are those of its one account, if any."""
    accounts = (Account("union", frozenset(keys.split())),) if keys else ()
    return Configuration(
        version=version,
        routes=routes or (make_route(),),
        services={"desk": Service("desk", 100, EngineProfile(4, 1000))},
        limits=InboundLimits(4096, 65536, 2.0, 5.0),
        accounts=accounts,
    )


def make_snapshot(
    upstreams: list[Upstream], configuration: Configuration | None = None
) -> Snapshot:
    """Return a snapshot with these upstreams of ``desk``."""
    known = tuple(KnownUpstream(one, 0.0) for one in upstreams)
    table = RouteTable(configuration or make_configuration())
    return Snapshot(table=table, upstreams_by_service={"desk": known}, upstreams_version=1)


def make_request(route: Route, now: float, **changes: Any) -> CallerRequest:
    """Return a caller's request on ``route`` that waits five seconds."""
    fields: dict[str, Any] = {
        "id": "1",
        "method": b"GET",
        "target": b"/x/",
        "headers": ((b"Host", b"desk.example"), (b"Attempt-Id", b"1")),
        "body": b"",
        "has_body": False,
        "received": now,
        "caller_deadline": now + 5.0,
        "route": route,
        "service": "desk",
        "prompt": Prompt(""),
    }
    return CallerRequest(**(fields | changes))


def make_settings(store_port: int = 1, **changes: Any) -> GatewaySettings:
    """Return settings of a host on loopback; port 0 lets the system choose."""
    free = Endpoint(LOOPBACK, 0)
    fields: dict[str, Any] = {
        "identity": HostIdentity("host-a", LOOPBACK, "a", "north"),
        "listen": ListenAddresses(free, free, free, free),
        "store": StoreSettings(Endpoint(LOOPBACK, store_port)),
        "bounds": FleetBounds(grace_s=8.0, address_lifetime_s=2.0, load_multiple=2.0),
        "retries": RetryBounds(0.2, 10.0, 54.0),
        "metrics_port": 0,
    }
    return GatewaySettings(**(fields | changes))
