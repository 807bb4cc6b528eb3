"""The processes of a soak: the simulated store, and a daemon on each of several addresses."""

import asyncio
import sys
from json import loads
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen
from typing import Any

from attrs import define, field
from urllib3.exceptions import HTTPError

from cherrylane.errors import ConflictError, ObjectNotFoundError, PlatformError
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.schema import PlatformSettings
from soak.upstreams import SoakUpstream
from standins.fleet import ROOT, Fleet
from standins.links import Link, find_free_ports

# Interval at which new versions of the configuration are written.
VERSION_INTERVAL_S = 0.7
# Number of past versions whose routes a configuration still contains.
VERSION_ROUTES_KEPT = 40
# Time-out of the calls by which the simulated operator writes to the store.
OPERATOR_TIMEOUT_S = 2.0
STOP_GRACE_S = 4
# Seconds after which the operator and the upstreams write again what a restored store has lost.
REWRITE_DELAY_S = 0.2
SERVICES = ("desk", "filing")
BOOT_FILE = """\
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
    """A daemon; ``incarnation`` counts its starts.

    ``exits`` are the exit codes with which it ended without having been stopped or killed.
    """

    name: str
    address: str
    callers_port: int
    directory_port: int
    settings: Path
    log: Path
    store_link: Link
    process: Popen[bytes] | None = None
    incarnation: int = 0
    exits: list[int] = field(factory=list)
    end_expected: bool = False

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.end_expected = False
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
        """Send a signal; does nothing if the process has ended."""
        if self.process is not None:
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(SIGCONT)

    def reload(self) -> None:
        """Make the process reload its settings, with SIGHUP."""
        self.signal(SIGHUP)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it."""
        self.end_expected = True
        self.signal(SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def stop(self) -> int | None:
        """Stop the process with SIGTERM and return its exit code.

        A process that does not stop in time is killed, and None is returned.
        """
        self.end_expected = True
        self.thaw()
        self.signal(SIGTERM)
        assert self.process is not None
        for _ in range(STOP_GRACE_S * 20):
            if (code := self.process.poll()) is not None:
                return code
            await asyncio.sleep(0.05)
        self.kill()
        return None

    def record_unexpected_end(self) -> None:
        """Record the exit code if the process ended without having been stopped or killed."""
        code = self.process.poll() if self.process is not None else None
        if code is not None and not self.end_expected:
            self.exits.append(code)
            self.end_expected = True


@define
class SoakFleet:
    """All processes and upstreams of a soak.

    ``acknowledged_version`` is the last configuration version whose write the store has confirmed.
    """

    work_dir: Path
    hosts: list[SoakHost] = field(factory=list)
    upstreams: list[SoakUpstream] = field(factory=list)
    upstream_links: list[Link] = field(factory=list)
    acknowledged_version: int = 0
    _registrations: dict[str, dict[str, object]] = field(factory=dict)
    _platform_fleet: Fleet = field(init=False)
    _operator_client: AsyncPlatformClient = field(init=False)

    async def start(self, hosts: int, upstreams: list[SoakUpstream]) -> None:
        """Start the store, register the upstreams, write the first configuration, start hosts."""
        self._platform_fleet = Fleet(self.work_dir)
        await asyncio.to_thread(self._platform_fleet.start_platform)
        settings = PlatformSettings(
            url=self._platform_fleet.platform_url, timeout_s=OPERATOR_TIMEOUT_S
        )
        self._operator_client = AsyncPlatformClient(settings)
        self.upstreams = upstreams
        for index, upstream in enumerate(upstreams):
            await self._register(upstream, SERVICES[index % len(SERVICES)])
        await self.write_configuration()
        ports = find_free_ports(4)
        for number in range(1, hosts + 1):
            self.hosts.append(await self._make_host(number, ports))
            self.hosts[-1].start()

    async def _register(self, upstream: SoakUpstream, service: str) -> None:
        if not upstream.link_port:
            link = await Link(upstream.scripted.port).open()
            self.upstream_links.append(link)
            upstream.link_port = link.port
        registration = upstream.scripted.make_entry(
            service, address=f"127.0.0.1:{upstream.link_port}", slots=64, version=upstream.software
        )
        self._registrations[upstream.name] = registration
        await self._operator_client.create(
            PlatformObject(Kind.UPSTREAMS, upstream.name, registration)
        )

    async def release(self, upstream: SoakUpstream, service: str) -> None:
        """Let another upstream join a service, as soon as the store takes its registration."""
        self.upstreams.append(upstream)
        while True:
            try:
                await self._register(upstream, service)
                return
            except ConflictError:
                return  # The write before was executed, and only its answer was lost.
            except PlatformError:
                await asyncio.sleep(REWRITE_DELAY_S)

    async def write_odd_entry(self, name: str, spec: bytes) -> None:
        """Leave an entry among those of the upstreams, as another writer may."""
        write = self._platform_fleet.write_raw
        while True:
            try:
                await asyncio.to_thread(write, Kind.UPSTREAMS.value, name, spec)
                return
            except (HTTPError, OSError):
                await asyncio.sleep(REWRITE_DELAY_S)

    async def drain(self, upstream: SoakUpstream) -> None:
        """Let an upstream's registration say that it leaves."""
        self._registrations[upstream.name]["state"] = "draining"
        await self._write_again()

    async def rejoin(self, upstream: SoakUpstream) -> None:
        """Bring an upstream that was leaving back, under a new incarnation."""
        upstream.incarnation += 1
        upstream.scripted.reported_incarnation = upstream.incarnation
        self._registrations[upstream.name]["born"] = upstream.incarnation
        upstream.is_leaving = False
        upstream.rejoined_at.append(asyncio.get_running_loop().time())
        await self._write_again()

    async def restore_store(self, writes: int) -> None:
        """Bring the store back without its last writes; the operator and upstreams write again."""
        url = f"{self._platform_fleet.platform_url}/restore"
        await asyncio.to_thread(self._platform_fleet.request, "POST", url, {"writes": writes})
        await asyncio.sleep(REWRITE_DELAY_S)
        await self._write_again()

    async def _write_again(self) -> None:
        """Write the newest configuration and all registrations, until the store takes them."""
        config = PlatformObject(Kind.CONFIG, "main", make_document(self.acknowledged_version))
        entries = [
            PlatformObject(Kind.UPSTREAMS, name, registration)
            for name, registration in self._registrations.items()
        ]
        for item in [config, *entries]:
            while True:
                try:
                    await self._write(item)
                    break
                except PlatformError:
                    await asyncio.sleep(REWRITE_DELAY_S)

    async def _write(self, item: PlatformObject) -> None:
        try:
            await self._operator_client.update(item)
        except ObjectNotFoundError:
            await self._operator_client.create(item)

    async def _make_host(self, number: int, ports: list[int]) -> SoakHost:
        port = int(self._platform_fleet.platform_url.rpartition(":")[2])
        store_link = await Link(port).open()
        address, name = f"127.0.1.{number}", f"host-{number}"
        settings = self.work_dir / f"{name}.conf"
        callers, readiness, directory, peers = ports
        settings.write_text(
            BOOT_FILE.format(
                name=name,
                address=address,
                zone="ab"[number % 2],
                callers=callers,
                readiness=readiness,
                directory=directory,
                peers=peers,
                store=store_link.port,
                grace=STOP_GRACE_S,
            ),
            encoding="utf-8",
        )
        log = self.work_dir / f"{name}.log"
        return SoakHost(name, address, callers, directory, settings, log, store_link)

    async def write_configuration(self) -> None:
        """Write the next configuration version, which adds a route."""
        version = self.acknowledged_version + 1
        document = make_document(version)
        config = PlatformObject(Kind.CONFIG, "main", document)
        await self._write(config)
        self.acknowledged_version = version

    def set_store_faults(self, **faults: Any) -> None:
        """Replace the faults that the simulated store injects; no arguments clear them."""
        self._platform_fleet.set_faults(**faults)

    def compact_store(self) -> None:
        """Make the store discard its change history."""
        self._platform_fleet.http.request("POST", f"{self._platform_fleet.platform_url}/compact")

    async def resolve(self, host: SoakHost) -> list[str]:
        """Return the addresses that a host's directory service resolves.

        The list is empty if the status is not 200. Raises OSError or IncompleteReadError if the
        host cannot be reached or closes the connection early.
        """
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
        """Stop all processes."""
        for host in self.hosts:
            host.kill()
        self._platform_fleet.stop()


def make_document(version: int) -> dict[str, Any]:
    """Return a configuration with a route for each kind and one for each recent version."""
    services = {"safe": "desk", "stream": "desk", "unsafe": "filing"}
    routes = [_make_route(f"/{kind}/", kind, service) for kind, service in services.items()]
    first = max(1, version - VERSION_ROUTES_KEPT)
    routes += [
        _make_route(f"/long/{kind}/", kind, service, timeout_ms=9000)
        for kind, service in services.items()
    ]
    routes += [_make_route(f"/v{added}/", "safe", "desk") for added in range(first, version + 1)]
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


def _make_route(prefix: str, kind: str, service: str, timeout_ms: int = 3000) -> dict[str, Any]:
    return {
        "name": prefix.strip("/"),
        "host": "soak.example",
        "path_prefix": prefix,
        "kind": "streaming" if kind == "stream" else kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": timeout_ms // 6,
        "gap_aim_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        "resumable": kind == "stream",
    }


def decode_addresses(body: bytes) -> list[str]:
    """Return the IP addresses in a response of the directory service."""
    return [str(address).rpartition(":")[0] for address in loads(body)["addresses"]]
