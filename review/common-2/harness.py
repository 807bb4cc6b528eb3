"""Stand-ins and processes for the cases of this review: a store, runners, clients and gateways.

Everything but the gateways runs in the process of a case, with the standard library only. The
stand-ins keep to the users' pages; what they deviate in is set by a case.
"""

import asyncio
import json
import os
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from socket import AF_INET, SO_LINGER, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket
from struct import pack
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER_MS, IDLE_MS = 3000, 15000


def with_trouble():
    """Return whether the disruption is made."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_port(addresses):
    """Return a port that is free for TCP and UDP on all of these loopback addresses."""
    while True:
        with socket(AF_INET, SOCK_STREAM) as first:
            first.bind((addresses[0], 0))
            port = first.getsockname()[1]
        if all(is_free(address, port) for address in addresses):
            return port


def is_free(address, port):
    """Return whether a port of an address is free for TCP and UDP."""
    with socket(AF_INET, SOCK_STREAM) as stream, socket(AF_INET, SOCK_DGRAM) as datagram:
        try:
            stream.bind((address, port))
            datagram.bind((address, port))
        except OSError:
            return False
    return True


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """Writes record.txt of a case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._begin = time.monotonic()

    def write(self, text):
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._begin:8.3f}  {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers, by lower-case name, of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


# --- The platform's store ---------------------------------------------------------------------


class RawSpec(str):
    """A spec as another writer has left it, which stands in answers as it was written."""


def encode_answer(answer):
    """Return an answer of the store as JSON, with raw specs as they are."""
    raw = []

    def find(value):
        if isinstance(value, RawSpec):
            raw.append(value)
            return f"raw spec {len(raw) - 1}"
        if isinstance(value, dict):
            return {key: find(inner) for key, inner in value.items()}
        return [find(inner) for inner in value] if isinstance(value, list) else value

    data = json.dumps(find(answer))
    for number, text in enumerate(raw):
        data = data.replace(json.dumps(f"raw spec {number}"), text, 1)
    return data.encode()


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it.

    ``open_port`` opens one more address of it.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.history = []
        self.era = 1
        self.changed = asyncio.Condition()
        self.servers = []
        self.calls = 0
        self.connections = set()
        # While set, calls that come are never answered.
        self.is_silent = False

    async def open_port(self, serve=None):
        """Listen on one more free port and return it."""
        server = await asyncio.start_server(serve or self._serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def write(self, kind, name, spec):
        """Create or replace an object, as the operator and the runners do; return its revision."""
        async with self.changed:
            kinds = self.objects.setdefault(kind, {})
            old = kinds.get(name)
            if old is not None and old["spec"] == spec:
                return old["metadata"]["rev"]
            self.revision += 1
            made = old["metadata"]["create_rev"] if old else self.revision
            kinds[name] = {
                "metadata": {"name": name, "rev": self.revision, "create_rev": made},
                "spec": spec,
                "status": None,
            }
            self.history.append((self.revision, kind, kinds[name], False))
            self.changed.notify_all()
            return self.revision

    async def remove(self, kind, name):
        """Delete an object."""
        async with self.changed:
            old = self.objects.get(kind, {}).pop(name, None)
            if old is not None:
                self.revision += 1
                self.history.append((self.revision, kind, old, True))
                self.changed.notify_all()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.calls += 1
                if self.is_silent:
                    await asyncio.Event().wait()
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body)
                data = encode_answer(answer)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        names = [unquote(part) for part in parts.path.split("/")[2:]]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, name = names[0], names[1] if len(names) > 1 else ""
        kinds = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET" and not name:
            items = [kinds[key] for key in sorted(kinds) if key > query.get("after", "")]
            more = len(items) > 500
            return 200, {"items": items[:500], "more": more, "store_revision": self.revision}
        if method == "GET":
            return (200, kinds[name]) if name in kinds else (404, {"error": "none"})
        sent = json.loads(body) if body else {}
        rev = sent.get("metadata", {}).get("rev", query.get("rev"))
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in kinds:
                return 409, kinds[name]
        elif name not in kinds:
            return 404, {"error": "none"}
        elif rev is not None and int(rev) != kinds[name]["metadata"]["rev"]:
            return 409, kinds[name]
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        await self.write(kind, name, sent.get("spec"))
        return 200, kinds[name]

    async def _watch(self, kind, revision, wait_ms):
        def list_events():
            return [
                {"object": item, "deleted": deleted}
                for rev, of, item, deleted in self.history
                if rev > revision and of == kind
            ]

        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: list_events()), min(wait_ms, 30000) / 1000
                )
            except TimeoutError:
                pass
            return 200, {"events": list_events(), "store_revision": self.revision}


# --- Runners ----------------------------------------------------------------------------------


class Call:
    """A request that a runner has read."""

    def __init__(self, runner, line, headers, body, writer):
        self.runner = runner
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.writer = writer
        self.id = headers.get("attempt-id", "")

    def answer(self, body=b"", status=200, extra=""):
        """Write a whole answer."""
        self.writer.write(self.make_head(status, f"Content-Length: {len(body)}\r\n" + extra) + body)

    def make_head(self, status=200, extra=""):
        """Return the head of an answer with the id, and the seal of a run."""
        seal = f"Server-Seal: {self.runner.name}.{self.id}\r\n" if status != 503 else ""
        return f"HTTP/1.1 {status} X\r\nAttempt-Id: {self.id}\r\n{seal}{extra}\r\n".encode()


class Runner:
    """A runner that registers itself in the store and runs requests with ``run``."""

    def __init__(self, store, name, service, run, *, slots=64, version="v1", zone="a"):
        self.store, self.name, self.service, self._run = store, name, service, run
        self.slots, self.version, self.zone = slots, version, zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrivals = []
        self.writers = set()
        self.server = None
        self.port = 0

    async def open(self, port=0):
        """Listen and register."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register()
        return self

    async def register(self, **changes):
        """Write the entry."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
        }
        await self.store.write("servers", self.name, entry | changes)

    def close(self):
        """End as a process that is killed does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                call = Call(self, line, headers, body, writer)
                if call.target == "/report":
                    data = json.dumps({"born": self.born, "stage": "both"}).encode()
                    writer.write(
                        b"HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(data) + data
                    )
                    continue
                if call.target in ("/health", "/kv-list"):
                    data = b'{"epoch":1,"next":0,"held":[]}'
                    writer.write(
                        b"HTTP/1.1 200 X\r\nInstance-Id: %s\r\nContent-Length: %d\r\n\r\n"
                        % (self.name.encode(), len(data)) + data
                    )
                    continue
                expected = headers.get("expect-instance")
                if expected and expected != self.name:
                    call.answer(status=421, extra="Not-Executed: 1\r\n")
                    continue
                self.arrivals.append((time.monotonic(), call.id, call))
                await self._run(call)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# --- Gateways ---------------------------------------------------------------------------------

BOOT_FILE = """\
node={name}
role=gateway
machine_class=front
serves=front,directory,control
ip={ip}
zone={zone}
region=r
zones.a=r
zones.b=r
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
listen.directory={ip}:{directory}
port_range={peers},{peers_end}
seeds={seeds}
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


class Fleet:
    """The gateway processes, each on a loopback address of its own, and their folder."""

    def __init__(self, count, store_ports):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # The metrics port is the same in each run, so each has addresses of its own.
        net = f"127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        self.addresses = [f"{net}.{number + 1}" for number in range(count)]
        ports = [find_free_port(self.addresses) for _ in range(5)]
        self.front, self.ready, self.control, self.directory, self.peers = ports
        self.processes = {}
        seeds = ",".join(f"{address}:{self.control}" for address in self.addresses[:3])
        for number, address in enumerate(self.addresses):
            text = BOOT_FILE.format(
                name=f"front-{number + 1}",
                ip=address,
                zone="ab"[number % 2],
                front=self.front,
                ready=self.ready,
                control=self.control,
                directory=self.directory,
                peers=self.peers,
                peers_end=self.peers,
                seeds=seeds,
                bootstrap="true",
                store=store_ports[number % len(store_ports)],
            )
            self.find_settings(number).write_text(text, encoding="utf-8")

    def find_settings(self, number):
        """Return the settings file of a gateway."""
        return self.folder / f"front-{number + 1}.conf"

    def start(self, number):
        """Start a gateway with the command of the deploy file."""
        if number in self.processes:
            # "`bootstrap` is true only when the whole system starts for the first time."
            path = self.find_settings(number)
            text = path.read_text(encoding="utf-8")
            path.write_text(text.replace("bootstrap=true", "bootstrap=false"), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CHERRYLANE_BOOT": str(self.find_settings(number)),
        }
        log = open(self.folder / f"front-{number + 1}.log", "ab")
        self.processes[number] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def read_log(self, number):
        """Return what a gateway has written."""
        return (self.folder / f"front-{number + 1}.log").read_text(encoding="utf-8")

    async def wait_until_ready(self, numbers=None, timeout_s=15):
        """Wait until the gateways count as ready, as the platform asks them."""
        ends_at = time.monotonic() + timeout_s
        for number in numbers if numbers is not None else range(len(self.addresses)):
            while not await self.is_ready(number):
                if time.monotonic() > ends_at:
                    raise TimeoutError(f"gateway {number + 1} is not ready")
                await asyncio.sleep(0.05)

    async def is_ready(self, number):
        """Return whether a gateway answers 200 to the platform."""
        try:
            answer = await send(
                (self.addresses[number], self.ready), b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0
            )
        except OSError:
            return False
        return answer.status == 200

    def signal(self, number, name):
        """Send a signal to a gateway."""
        self.processes[number].send_signal(name)

    def stop(self):
        """End all gateways and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# --- Clients ----------------------------------------------------------------------------------


class Answer:
    """What a client gets; ``is_whole`` is False if the channel ended before the answer did."""

    def __init__(self, status=0, headers=None, body=b"", is_whole=False, problem=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_whole, self.problem = is_whole, problem

    def __str__(self):
        return f"{self.status} {self.problem} {len(self.body)} bytes"


async def send(address, data, timeout_s):
    """Send a request on a new channel and return the answer."""
    writer = None
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            answer.body = await read_body(reader, answer.headers)
            answer.is_whole = True
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.problem = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


def make_request(path, request_id, *, method="GET", key="", deadline_ms=3000, body=b"", extra=""):
    """Return the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"Attempt-Id: {request_id}"]
    lines.append(f"Deadline-Ms: {deadline_ms}")
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode() + body


def make_config(version, routes, tenants, services):
    """Return what the operator writes to config/main."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": HEADER_MS,
            "idle_timeout_ms": IDLE_MS,
        },
    }


def make_route(name, kind, service, *, timeout_ms=3000, attempts=2, **more):
    """Return a route of the host desk.example."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 125,
        "max_attempts": attempts,
        "priority": 1,
        **more,
    }


def run_case(case, folder, limit_s=115):
    """Run a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)

    async def limited():
        # A case that is terminated ends its processes as well.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        is_broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
