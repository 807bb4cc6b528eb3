"""Helpers for tests of the asyncio gateway: scripted upstreams, raw callers and default values."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from json import dumps
from socket import SO_LINGER, SOL_SOCKET, create_server, socket
from typing import Any, TypeVar

from attrs import define, field, frozen

from cherrylane.http.inbound import RESET_ON_CLOSE
from cherrylane.http.limits import InboundLimits
from cherrylane.http.messages import encode_chunk
from cherrylane.platform.versions import StoreVersion
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
# Ends a test that hangs; no assertion depends on it.
TEST_TIMEOUT_S = 20.0

T = TypeVar("T")
Script = Callable[["Call"], Awaitable[None]]


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a test's coroutine; raise TimeoutError after ``TEST_TIMEOUT_S``."""

    async def bounded() -> T:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await work

    return asyncio.run(bounded())


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@frozen
class Call:
    """One request as read by an upstream, with methods that write the response."""

    lines: list[str]
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    def header(self, name: str) -> str:
        """Return a header's value, empty if the header is missing."""
        for line in self.lines[1:]:
            field_name, _, value = line.partition(":")
            if field_name.lower() == name.lower():
                return value.strip()
        return ""

    def answer(self, body: bytes = b"ok", *, status: int = 200, extra: str = "") -> None:
        """Write a complete response with the attempt's id and a signature."""
        self.start_answer(len(body), status=status, extra=extra)
        self.writer.write(body)

    def start_answer(self, length: int, *, status: int = 200, extra: str = "") -> None:
        """Write the head of a response, with the attempt's id and a signature; the body follows."""
        self.writer.write(
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {self.header('Attempt-Id')}\r\n"
            f"Server-Seal: s\r\n{extra}Content-Length: {length}\r\n\r\n".encode()
        )

    def start_events(self, extra: str = "", *, chunked: bool = True) -> None:
        """Write the head of an event stream, which ends with the connection if not ``chunked``."""
        framing = "Transfer-Encoding: chunked\r\n" if chunked else ""
        self.writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {self.header('Attempt-Id')}\r\nServer-Seal: s\r\n"
            f"Content-Type: text/event-stream\r\n{extra}{framing}\r\n".encode()
        )

    def write_event(self, number: int, *, missing_bytes: int = 0, chunked: bool = True) -> None:
        """Write one event without its last ``missing_bytes`` bytes."""
        text = f"id: {number}\ndata: {number}\n\n".encode()
        data = text[: len(text) - missing_bytes]
        self.writer.write(encode_chunk(data) if chunked else data)

    def end_events(self) -> None:
        """Write the end of the stream."""
        self.writer.write(b"0\r\n\r\n")

    def reset(self) -> None:
        """Reset the connection, which the other end can tell from an orderly close."""
        reset_connection(self.writer)


@define
class ScriptedUpstream:
    """Listens on loopback and passes each request to ``script``, which writes the response.

    Asked for a report, it gives its incarnation, or does what ``report`` says; ``reports`` counts
    the questions.
    """

    script: Script
    reported_incarnation: int | None = None
    reports: int = 0
    report: Script | None = None
    calls: list[Call] = field(factory=list)
    connections: int = 0
    closed_connections: int = 0
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            reset_connection(writer)

    async def start(self) -> "ScriptedUpstream":
        """Start listening and return self."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (call := await read_call(reader, writer)) is not None:
                if call.lines[0].split()[1] == "/report":
                    self.reports += 1
                    if self.report is not None:
                        await self.report(call)
                        continue
                    call.answer(dumps({"born": self.reported_incarnation}).encode())
                    continue
                self.calls.append(call)
                await self.script(call)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return  # The test has ended.
        self.closed_connections += 1
        self._writers.discard(writer)
        writer.close()

    def make_entry(self, service: str, **fields: object) -> dict[str, object]:
        """Return this upstream's entry in the upstreams list; ``fields`` override defaults."""
        return {
            "service": service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "a",
            "slots": 4,
            "state": "ready",
            "version": "v1",
            "born": 1,
        } | fields

    def to_upstream(self, name: str, service: str = "desk", software: str = "v1") -> Upstream:
        """Return this upstream as a host represents it."""
        endpoint = Endpoint(LOOPBACK, self.port)
        state = UpstreamState.READY
        return Upstream(name, service, endpoint, "a", 4, state, software=software)


async def read_call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Call | None:
    """Read one request framed by its Content-Length; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode().split("\r\n")[:-2]
    call = Call(lines, b"", writer, reader)
    length = int(call.header("Content-Length") or 0)
    return Call(lines, await reader.readexactly(length), writer, reader)


async def send_raw(port: int, data: bytes) -> bytes:
    """Send bytes on a new connection and return all bytes received until it is closed."""
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
    """Return a non-blocking socket that listens on ``address``; port 0 picks a free port."""
    listening = create_server((address, port))
    listening.setblocking(False)
    return listening


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` is true; check it every 10 ms."""
    while not condition():
        await asyncio.sleep(0.01)


def make_route(kind: RequestKind = RequestKind.SAFE, **changes: Any) -> Route:
    """Return a route of the service ``desk``; ``changes`` override its fields."""
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
    """Return a configuration; ``keys``, separated by spaces, belong to its only client account."""
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
    """Return a snapshot in which the service ``desk`` has these upstreams."""
    known = tuple(KnownUpstream(one, 0.0) for one in upstreams)
    table = RouteTable(configuration or make_configuration())
    return Snapshot(
        table=table, upstreams_by_service={"desk": known}, upstreams_version=StoreVersion(1, 1)
    )


def make_request(route: Route, now: float, **changes: Any) -> CallerRequest:
    """Return a caller's request on ``route`` with a deadline in five seconds."""
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
    """Return settings of a host on loopback; port 0 lets the operating system choose."""
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
