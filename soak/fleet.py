"""The processes of the soak: the store's stand-in, and one daemon on each loopback address."""

import asyncio
import sys
from json import loads
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import Popen
from typing import Any

from attrs import define, field

from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.schema import PlatformSettings
from soak.proxy import Link
from soak.upstreams import SoakUpstream
from standins.fleet import ROOT, Fleet

# Seconds between two versions of the configuration.
VERSION_INTERVAL_S = 0.7
# Routes of past versions that a configuration still has.
VERSIONS_KEPT = 40
# Seconds that the store may take for a call of the operator.
OPERATOR_TIMEOUT_S = 2.0
GRACE_S = 4
SERVICES = ("desk", "filing")
BOOT = """\
node={name}
ip={address}
zone={zone}
region=soak
zones.a=soak
zones.b=soak
listen.front={address}:{callers}
listen.ready={address}:{readiness}
listen.directory={address}:{directory}
port_range={peers},{peers}
seeds=127.0.1.1:{peers},127.0.1.2:{peers},127.0.1.3:{peers}
bootstrap=true
limits.memory_mb=300
limits.max_fds=1000
bounds.config_apply_ms=2000
bounds.drain_ms=2000
bounds.grace_s={grace}
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
platform.address=127.0.0.1:{store}
"""


@define
class SoakHost:
    """One daemon; ``incarnation`` counts its starts, ``exits`` holds ends that nobody asked for."""

    name: str
    address: str
    callers_port: int
    directory_port: int
    settings: Path
    log: Path
    store: Link
    process: Popen[bytes] | None = None
    incarnation: int = 0
    exits: list[int] = field(factory=list)
    expects_end: bool = False

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.expects_end = False
        command = [sys.executable, "-m", "cherrylane.gateway", "--metrics-port", "0"]
        with self.log.open("ab") as stream:
            self.process = Popen(
                [*command, "--settings", str(self.settings)],
                stdout=stream,
                stderr=stream,
                cwd=ROOT,
                env={**environ, "PYTHONUNBUFFERED": "1"},
            )

    def signal(self, number: int) -> None:
        """Send a signal; one to a process that has ended does nothing."""
        if self.process is not None:
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.signal(SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(SIGCONT)

    def reload(self) -> None:
        """Tell the process that its settings may have changed."""
        self.signal(SIGHUP)

    def kill(self) -> None:
        """End the process at once."""
        self.expects_end = True
        self.signal(SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def stop(self) -> int | None:
        """Ask the process to stop; returns its exit code, or None if it did not stop in time."""
        self.expects_end = True
        self.thaw()
        self.signal(SIGTERM)
        assert self.process is not None
        for _ in range(GRACE_S * 20):
            if (code := self.process.poll()) is not None:
                return code
            await asyncio.sleep(0.05)
        self.kill()
        return None

    def note_end(self) -> None:
        """Record an end that nobody asked for."""
        code = self.process.poll() if self.process is not None else None
        if code is not None and not self.expects_end:
            self.exits.append(code)
            self.expects_end = True


@define
class SoakFleet:
    """Everything that runs."""

    folder: Path
    hosts: list[SoakHost] = field(factory=list)
    upstreams: list[SoakUpstream] = field(factory=list)
    links: list[Link] = field(factory=list)
    acknowledged_version: int = 0
    _base: Fleet = field(init=False)
    _operator: AsyncPlatformClient = field(init=False)

    async def start(self, hosts: int, upstreams: list[SoakUpstream]) -> None:
        """Start the store, list the upstreams, write a first configuration, start the hosts."""
        self._base = Fleet(self.folder)
        await asyncio.to_thread(self._base.start_platform)
        settings = PlatformSettings(url=self._base.platform_url, timeout_s=OPERATOR_TIMEOUT_S)
        self._operator = AsyncPlatformClient(settings)
        self.upstreams = upstreams
        for place, upstream in enumerate(upstreams):
            await self._list(upstream, SERVICES[place % len(SERVICES)])
        await self.write_configuration()
        ports = find_free_ports(4)
        for number in range(1, hosts + 1):
            self.hosts.append(await self._make_host(number, ports))
            self.hosts[-1].start()

    async def _list(self, upstream: SoakUpstream, service: str) -> None:
        link = await Link(upstream.scripted.port).open()
        self.links.append(link)
        entry = upstream.scripted.make_entry(service, address=f"127.0.0.1:{link.port}", slots=64)
        await self._operator.create(PlatformObject(Kind.UPSTREAMS, upstream.name, entry))

    async def _make_host(self, number: int, ports: list[int]) -> SoakHost:
        port = int(self._base.platform_url.rpartition(":")[2])
        store = await Link(port).open()
        address, name = f"127.0.1.{number}", f"host-{number}"
        settings = self.folder / f"{name}.conf"
        callers, readiness, directory, peers = ports
        settings.write_text(
            BOOT.format(
                name=name,
                address=address,
                zone="ab"[number % 2],
                callers=callers,
                readiness=readiness,
                directory=directory,
                peers=peers,
                store=store.port,
                grace=GRACE_S,
            ),
            encoding="utf-8",
        )
        log = self.folder / f"{name}.log"
        return SoakHost(name, address, callers, directory, settings, log, store)

    async def write_configuration(self) -> None:
        """Write the next version, which has a route more than the one before."""
        version = self.acknowledged_version + 1
        document = make_document(version)
        new = PlatformObject(Kind.CONFIG, "main", document)
        if version == 1:
            await self._operator.create(new)
        else:
            await self._operator.update(new)
        self.acknowledged_version = version

    def set_store_faults(self, **faults: Any) -> None:
        """Let the store's stand-in misbehave, or behave again without arguments."""
        self._base.set_faults(**faults)

    def compact_store(self) -> None:
        """Let the store forget its history."""
        self._base.http.request("POST", f"{self._base.platform_url}/compact")

    async def resolve(self, host: SoakHost) -> list[str]:
        """Ask a host's directory for addresses."""
        reader, writer = await asyncio.open_connection(host.address, host.directory_port)
        try:
            writer.write(b"GET /resolve?name=soak.example HTTP/1.1\r\nHost: soak.example\r\n\r\n")
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            if " 200 " not in head.split("\r\n")[0]:
                return []
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            return decode_addresses(await reader.readexactly(length))
        finally:
            writer.close()

    def stop(self) -> None:
        """End every process that was started."""
        for host in self.hosts:
            host.kill()
        self._base.stop()


def make_document(version: int) -> dict[str, Any]:
    """Return a configuration with a route for each kind and for each of the last versions."""
    names = {"safe": "desk", "stream": "desk", "unsafe": "filing"}
    routes = [_make_route(f"/{path}/", path, service) for path, service in names.items()]
    first = max(1, version - VERSIONS_KEPT)
    routes += [_make_route(f"/v{one}/", "safe", "desk") for one in range(first, version + 1)]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_connections": 500} for name in SERVICES],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def _make_route(prefix: str, kind: str, service: str) -> dict[str, Any]:
    return {
        "name": prefix.strip("/"),
        "host": "soak.example",
        "path_prefix": prefix,
        "kind": "streaming" if kind == "stream" else kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "gap_aim_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        "resumable": kind == "stream",
    }


def find_free_ports(number: int) -> list[int]:
    """Return ports that nothing listens on, over TCP and UDP."""
    found: list[int] = []
    held = []
    while len(found) < number:
        stream, datagram = socket(AF_INET, SOCK_STREAM), socket(AF_INET, SOCK_DGRAM)
        held += [stream, datagram]
        stream.bind(("127.0.0.1", 0))
        port = stream.getsockname()[1]
        try:
            datagram.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    for one in held:
        one.close()
    return found


def decode_addresses(body: bytes) -> list[str]:
    """Return the IP addresses in an answer of the directory."""
    return [str(one).rpartition(":")[0] for one in loads(body)["addresses"]]
