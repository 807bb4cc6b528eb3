"""Stand-ins and helpers for the cases of this review; needs the standard library only.

A case starts the gateway with the command of ``deploy/system.toml`` on loopback addresses, a store
and runners inside its own process, and raw clients. What was sent, answered and run is written to
``record.txt`` beside the script.
"""

import asyncio
import os
import signal
import socket
import struct
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from json import dumps, loads
from pathlib import Path
from subprocess import Popen
from tempfile import TemporaryDirectory
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "case.example"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CannotRun(Exception):
    """The case could not be played, so it says nothing."""


class Record:
    """Lines of what happened, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begin = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._begin:8.3f} s  {text}"
        print(line, file=self._file, flush=True)


def has_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(count: int, addresses: list[str]) -> list[int]:
    """Return ports that are free for TCP and UDP on each of the loopback addresses."""
    ports: list[int] = []
    held: list[socket.socket] = []
    while len(ports) < count:
        port = 0
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind((address, port))
                    port = one.getsockname()[1]
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers of a message; None if the channel ends before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def reset(writer: asyncio.StreamWriter) -> None:
    """End a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Store:
    """The platform's object store: objects by kind, revisions, watches and conditional writes."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()
        self.port = 0
        self._channels: dict[int, tuple[asyncio.Server, set[asyncio.StreamWriter]]] = {}

    async def start(self) -> None:
        self.port = await self.listen()

    async def listen(self) -> int:
        """Serve at one more address; returns its port."""
        channels: set[asyncio.StreamWriter] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            channels.add(writer)
            await self._serve(reader, writer)
            channels.discard(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port: int = server.sockets[0].getsockname()[1]
        self._channels[port] = (server, channels)
        return port

    def close(self, port: int) -> None:
        """Serve at an address no longer."""
        server, channels = self._channels.pop(port)
        server.close()
        for writer in list(channels):
            writer.close()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a runner does."""
        known = self.objects.setdefault(kind, {}).get(name)
        await self._commit(kind, {"metadata": {"name": name}, "spec": spec}, known)

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object as the operator or a runner does."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            await self._record(kind, {**stored, "metadata": dict(stored["metadata"])}, True)

    async def _commit(
        self, kind: str, new: dict[str, Any], known: dict[str, Any] | None
    ) -> dict[str, Any]:
        if known is not None and known.get("spec") == new.get("spec"):
            return known
        created = known["metadata"]["create_rev"] if known else self.revision + 1
        new["metadata"] = {
            "name": new["metadata"]["name"], "rev": 0, "create_rev": created,
            "finalizers": [], "deleting": False,
        }
        new.setdefault("status", None)
        self.objects.setdefault(kind, {})[new["metadata"]["name"]] = new
        await self._record(kind, new, False)
        return new

    async def _record(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self.revision += 1
        item["metadata"]["rev"] = self.revision
        self.history.append((self.revision, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                first, headers = message
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, loads(body) if body else None)
                data = dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        _, _, kind, *rest = parts.path.split("/")
        name = unquote(rest[0]) if rest else ""
        known = self.objects.get(kind, {}).get(name)
        match method:
            case "GET" if name:
                return (404, {}) if known is None else (200, known)
            case "GET" if "watch" in query:
                return await self._watch(kind, query)
            case "GET":
                items = [one for _, one in sorted(self.objects.get(kind, {}).items())]
                return 200, {"items": items, "more": False, "store_revision": self.revision}
            case "POST":
                name = body["metadata"]["name"]
                known = self.objects.get(kind, {}).get(name)
                return (409, known) if known is not None else (201, await self._commit(kind, body, None))
        if known is None:
            return 404, {}
        expected = query.get("rev") if method == "DELETE" else body["metadata"].get("rev")
        if expected is not None and int(expected) != known["metadata"]["rev"]:
            return 409, known
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 200, await self._commit(kind, {"metadata": {"name": name}, "spec": body["spec"]}, known)

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])

        def find() -> list[dict[str, Any]]:
            return [
                {"object": item, "deleted": deleted}
                for revision, of, item, deleted in self.history
                if revision > after and of == kind
            ]

        try:
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: bool(find()))
        except TimeoutError:
            pass
        return 200, {"events": find(), "store_revision": self.revision}


class Call:
    """One request as a runner has read it."""

    def __init__(
        self, first: str, headers: dict[str, str], body: bytes,
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
    ) -> None:
        self.method, self.target, _ = first.split(" ")
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    @property
    def id(self) -> str:
        return self.headers.get("attempt-id", "")

    def start(self, seal: str, framing: str, kind: str = "text/event-stream") -> None:
        """Write the head of an answer."""
        self.writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {self.id}\r\nServer-Seal: {seal}\r\n"
            f"Content-Type: {kind}\r\n{framing}\r\n".encode()
        )

    def answer(self, seal: str, body: bytes) -> None:
        """Write a whole answer."""
        self.start(seal, f"Content-Length: {len(body)}\r\n", "text/plain")
        self.writer.write(body)

    def refuse(self, status: int, extra: str = "") -> None:
        """Answer that the request has not run and will not."""
        self.writer.write(
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {self.id}\r\nNot-Executed: 1\r\n{extra}"
            f"Content-Length: 0\r\n\r\n".encode()
        )


Script = Callable[[Call], Awaitable[bool]]


def chunk(data: bytes) -> bytes:
    """Return bytes as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Runner:
    """A runner: passes each request to ``script``, which answers it and says whether to go on."""

    def __init__(self, name: str, service: str, script: Script, address: str = "127.0.0.1") -> None:
        self.name = name
        self.service = service
        self.script = script
        self.address = address
        self.port = 0
        self.born = int(time.time() * 1000)
        self.slots = 16
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def make_entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry under which the runner is in the store."""
        return {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": "zone-a",
            "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0,
            "sequence": 1, "born": self.born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                first, headers = message
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                call = Call(first, headers, body, reader, writer)
                if call.target == "/report":
                    data = dumps({"stage": "both", "models": [], "busy": False, "sequence": 1,
                                  "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 1,
                                  "handles": 0, "born": self.born}).encode()
                    call.start("none", f"Content-Length: {len(data)}\r\n", "application/json")
                    writer.write(data)
                elif headers.get("expect-instance", self.name) != self.name:
                    call.refuse(421)
                elif not await self.script(call):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


BOOT = """\
node={name}
role=gateway
machine_class=front
serves=front,directory,control
ip={address}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front={address}:{front}
listen.ready={address}:{ready}
listen.control={address}:{control}
listen.directory={address}:{directory}
port_range={peers},{peers}
seeds=127.0.1.1:{control},127.0.1.2:{control},127.0.1.3:{control}
bootstrap={bootstrap}
in_tolerance=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=10
bounds.cap_x=2
bounds.ttl_max_s=5
platform.address=127.0.0.1:{store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class Gateway:
    """One machine with the gateway on it."""

    def __init__(self, number: int, ports: list[int], folder: Path, store: int, record: Record) -> None:
        self.name = f"front-zone-a-{number}"
        self.address = f"127.0.1.{number}"
        self.front, self.ready = ports[0], ports[1]
        self._record = record
        self._settings = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self._fields = {
            "name": self.name, "address": self.address, "front": ports[0], "ready": ports[1],
            "control": ports[2], "directory": ports[3], "peers": ports[4], "store": store,
        }
        self.process: Popen[bytes] | None = None

    def start(self, *, first: bool = True) -> None:
        """Start the gateway with the command of the deploy file."""
        self._settings.write_text(
            BOOT.format(**self._fields, bootstrap="true" if first else "false"), encoding="utf-8"
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["gateway"]["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        # A port of its own for metrics: on loopback the machines share the one of the deploy file.
        command += ["--metrics-port", "0"]
        dependencies = ROOT / "target/deps"
        if not dependencies.is_dir():
            raise CannotRun("target/deps is missing: run the build of deploy/system.toml first")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {"CHERRYLANE_BOOT": str(self._settings), "PYTHONPATH": str(dependencies)}
        with self._log.open("ab") as log:
            self.process = Popen(command, stdout=log, stderr=log, cwd=ROOT, env=environment)
        self._record(f"{self.name} started at {self.address}:{self.front}")

    def change_settings(self, **fields: object) -> None:
        """Change fields of the settings file, as the platform does."""
        self._fields.update(fields)
        text = BOOT.format(**self._fields, bootstrap="false")
        changed = self._settings.with_suffix(".new")
        changed.write_text(text, encoding="utf-8")
        changed.replace(self._settings)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, which this case has started."""
        assert self.process is not None
        self._record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until GET /ready gets 200."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self.read_log()[-600:]}")
            if await self.is_ready():
                self._record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready within {timeout_s} s: {self.read_log()[-600:]}")

    async def is_ready(self) -> bool:
        """Return whether GET /ready gets 200."""
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ready)
        except OSError:
            return False
        try:
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())
            message = await read_head(reader)
            return message is not None and " 200 " in message[0]
        finally:
            writer.close()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace") if self._log.exists() else ""


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the config."""
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
        "max_attempts": 2, "timeout_ms": 12000, "target_latency_ms": 600, "priority": 1,
        "public": False, "resumable": False, **fields,
    }


def make_config(version: int, routes: list[dict[str, Any]], **fields: Any) -> dict[str, Any]:
    """Return a config as the operator writes it."""
    services = sorted({route["service"] for route in routes if "service" in route})
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "max_connections": 360} for name in services],
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 2000, "idle_timeout_ms": 15000},
        **fields,
    }


class System:
    """All that a case runs."""

    def __init__(self, folder: Path, record: Record, machines: int) -> None:
        self.record = record
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.runners: list[Runner] = []
        self._folder = folder
        self._machines = machines

    async def start(
        self, config: dict[str, Any], runners: list[Runner], store_ports: list[int] | None = None
    ) -> None:
        """Start all; ``store_ports`` are the ports at which each machine reaches the store."""
        if not self.store.port:
            await self.store.start()
        store_ports = store_ports or [self.store.port] * self._machines
        self.runners = runners
        for runner in runners:
            await runner.start()
            await self.store.put("servers", runner.name, runner.make_entry())
        await self.store.put("config", "main", config)
        numbers = range(1, self._machines + 1)
        ports = find_ports(5, [f"127.0.1.{number}" for number in numbers])
        for number in numbers:
            gateway = Gateway(
                number, ports, self._folder, store_ports[number - 1], self.record
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    def end(self) -> None:
        for gateway in self.gateways:
            gateway.end()


def encode_request(
    method: str, path: str, request_id: str, *, body: bytes | None = None,
    deadline_ms: int = 12000, key: str = "key-1", headers: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {request_id}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}", *headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class Answer:
    """What a client has got for a request; ``is_whole`` once its framing has ended it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.problem = ""


async def read_answer(
    reader: asyncio.StreamReader, on_data: Callable[[Answer], None] = lambda answer: None
) -> Answer:
    """Read one answer as an ordinary HTTP/1.1 client does."""
    answer = Answer()
    try:
        message = await read_head(reader)
        if message is None:
            answer.problem = "the channel ended without an answer"
            return answer
        first, answer.headers = message
        fields = first.split(" ")
        if len(fields) < 2 or not fields[0].startswith("HTTP/1.") or not fields[1].isdigit():
            answer.problem = f"bytes that are no answer: {first[:60]!r}"
            return answer
        answer.status = int(fields[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
                on_data(answer)
            await reader.readuntil(b"\r\n")
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.is_whole = True
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        answer.problem = f"the channel broke: {type(error).__name__}"
    return answer


def play(script: str, machines: int, work: Callable[[System], Awaitable[bool]], limit_s: float = 100.0) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``work`` returns whether the rule was broken.
    """
    folder = Path(script).resolve().parent
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(has_trouble())}")

    async def run() -> int:
        with TemporaryDirectory(prefix="review-") as temporary:
            system = System(Path(temporary), record, machines)
            try:
                async with asyncio.timeout(limit_s):
                    is_broken = await work(system)
            except CannotRun as error:
                record(f"the case could not run: {error}")
                return NOT_RUN
            except Exception as error:
                record(f"the case could not run: {type(error).__name__}: {error}")
                return NOT_RUN
            finally:
                system.end()
            record("the rule was broken" if is_broken else "the rule held")
            return BROKEN if is_broken else HELD

    code = asyncio.run(run())
    os._exit(code)
