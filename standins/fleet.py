"""Runs stand-ins and daemons as separate processes on one machine, for local runs and tests."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from json import dumps, loads
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from subprocess import PIPE, STDOUT, Popen, TimeoutExpired, run
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any
from urllib.parse import quote

from attrs import define, field, frozen
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError
from yaml import safe_dump

ROOT = Path(__file__).parent.parent
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
PEER_KEY = "example-peer-key-0001"
HTTP_TIMEOUT_S = 5.0


@frozen
class EngineSpec:
    """Describes an engine to start; ``options`` are extra command-line arguments."""

    name: str
    service: str
    site: str
    zone: str
    model: str
    options: tuple[str, ...] = ()


@frozen
class PlainServiceSpec:
    """Describes a plain service to start; ``options`` are extra command-line arguments."""

    name: str
    service: str
    site: str
    zone: str
    options: tuple[str, ...] = ()


@frozen
class HostSpec:
    """Describes a daemon to start; ``overrides`` replace default settings, by section."""

    name: str
    site: str
    zone: str
    overrides: dict[str, dict[str, Any]] = field(factory=dict)


@frozen
class CommandResult:
    """Exit code and combined output of a command."""

    code: int
    text: str


@define
class ManagedProcess:
    """A child process of the fleet."""

    name: str
    process: Popen[str]
    port: int = 0
    log: Path | None = None

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for it."""
        self.process.send_signal(SIGKILL)
        self.process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.process.send_signal(SIGCONT)

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code.

        A suspended process is resumed first. A process that is still running after ``timeout_s``
        is killed, and ``-SIGKILL`` is returned.
        """
        if self.is_running():
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except TimeoutExpired:
            self.kill()
            return -SIGKILL


@define
class Fleet:
    """The processes of one run; :meth:`stop` ends all of them.

    Each process is in a process group of its own, so that Ctrl-C reaches only the one that runs the
    fleet, which stops the others in order: daemons deregister while the platform still responds.
    """

    directory: Path
    platform: ManagedProcess | None = None
    engines: dict[str, ManagedProcess] = field(factory=dict)
    plain_services: dict[str, ManagedProcess] = field(factory=dict)
    daemons: dict[str, ManagedProcess] = field(factory=dict)
    http: PoolManager = field(factory=lambda: PoolManager(retries=False, maxsize=16))

    @property
    def platform_url(self) -> str:
        """Base URL of the simulated platform."""
        assert self.platform is not None
        return f"http://127.0.0.1:{self.platform.port}"

    def start_platform(self, port: int = 0) -> None:
        """Start the simulated platform; port 0 picks a free port."""
        self.platform = self._start_standin("platform", "standins.platform", "--port", str(port))

    def write_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Store bytes as the spec of an object, as a writer may that is not of this project."""
        url = f"{self.platform_url}/raw/{kind}/{quote(name, safe='')}"
        response = self.http.request("PUT", url, body=spec, timeout=Timeout(HTTP_TIMEOUT_S))
        if response.status != 200:
            raise OSError(f"the platform answered a raw write with {response.status}")

    def start_engine(self, spec: EngineSpec) -> None:
        """Start an engine, which registers itself with the platform."""
        managed = self._start_standin(
            spec.name,
            "standins.engine",
            *_make_identity_arguments(spec),
            "--model",
            spec.model,
            *self._make_registration_arguments(spec),
        )
        self.engines[spec.name] = managed

    def start_plain_service(self, spec: PlainServiceSpec) -> None:
        """Start a plain service, which registers itself with the platform."""
        managed = self._start_standin(
            spec.name,
            "standins.plain_service",
            *_make_identity_arguments(spec),
            *self._make_registration_arguments(spec),
        )
        self.plain_services[spec.name] = managed

    def start_daemon(self, spec: HostSpec) -> None:
        """Start a daemon without waiting until it serves requests."""
        path = self.directory / f"{spec.name}.yaml"
        path.write_text(safe_dump(self._make_settings(spec)), encoding="utf-8")
        log = self.directory / f"{spec.name}.log"
        with log.open("a", encoding="utf-8") as stream:
            process = Popen(
                [sys.executable, "-m", "cherrylane.daemon.main", "--settings", str(path)],
                stderr=stream,
                stdout=stream,
                text=True,
                cwd=ROOT,
                process_group=0,
            )
        self.daemons[spec.name] = ManagedProcess(spec.name, process, log=log)

    def run_cli(self, *arguments: str) -> str:
        """Run the ``cherrylane`` command and return its output; raises RuntimeError if it fails."""
        result = self.try_cli(*arguments)
        if result.code != 0:
            raise RuntimeError(
                f"cherrylane {' '.join(arguments)} failed with exit code {result.code}: "
                f"{result.text}"
            )
        return result.text

    def try_cli(self, *arguments: str, platform: str = "") -> CommandResult:
        """Run the ``cherrylane`` command and return its result, also when it fails."""
        command = [sys.executable, "-m", "cherrylane.cli.main"]
        command += ["--platform", platform or self.platform_url, *arguments]
        completed = run(command, stdout=PIPE, stderr=STDOUT, text=True, cwd=ROOT)
        return CommandResult(completed.returncode, completed.stdout)

    def get_host_record(self, name: str) -> dict[str, Any] | None:
        """Return a host's roster record.

        Returns None if the host is not in the roster or the platform does not respond.
        """
        url = f"{self.platform_url}/objects/hosts/{name}"
        host_object = self.request("GET", url)
        return None if host_object is None or "spec" not in host_object else host_object["spec"]

    def get_host_url(self, name: str) -> str:
        """Return the URL of a host's listener for callers."""
        record = self.get_host_record(name)
        assert record is not None, f"host {name} is not in the roster"
        return f"http://{record['callers']['address']}:{record['callers']['port']}"

    def get_host_status(self, name: str) -> dict[str, Any] | None:
        """Return a host's ``/status``, or None if the host is unknown or does not respond."""
        record = self.get_host_record(name)
        if record is None:
            return None
        return self.request(
            "GET", f"http://{record['operators']['address']}:{record['operators']['port']}/status"
        )

    def get_engine_loads(self, service: str) -> dict[str, float]:
        """Return the load of each engine of ``service`` as its home hosts account for it."""
        loads: dict[str, float] = {}
        for name in self.daemons:
            status = self.get_host_status(name)
            if status is not None:
                loads.update(status["loads"].get(service, {}))
        return loads

    def get_engine_counts(self, name: str) -> dict[str, int]:
        """Return an engine's undelayed request counters; empty if it does not respond."""
        counts = self.request("GET", f"http://127.0.0.1:{self.engines[name].port}/counts")
        return {} if counts is None else counts

    def wait_until_serving(self, generation: int = 1) -> None:
        """Wait until the running daemons serve ``generation`` or later and agree on the hosts.

        Raises TimeoutError if that takes too long.
        """
        running = sorted(name for name, managed in self.daemons.items() if managed.is_running())

        def is_ready() -> bool:
            for name in running:
                status = self.get_host_status(name)
                if status is None or not status["serving"] or not status["lease_held"]:
                    return False
                if status["generation"] < generation or status["hosts"] != running:
                    return False
            return True

        wait_until(is_ready, f"hosts {running} to serve generation {generation}")

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults that the simulated platform injects; no arguments clear them."""
        self.request("POST", f"{self.platform_url}/faults", faults)

    def request(
        self, method: str, url: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any] | None:
        """Send a JSON request and return the JSON response, or None if there is none."""
        try:
            response = self.http.request(
                method,
                url,
                body=None if body is None else dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=Timeout(total=HTTP_TIMEOUT_S),
            )
            return dict(loads(response.data))
        except (HTTPError, OSError, ValueError):
            return None

    def list_processes(self) -> list[ManagedProcess]:
        """Return all processes, daemons first."""
        standins = [*self.engines.values(), *self.plain_services.values()]
        platform = [] if self.platform is None else [self.platform]
        return [*self.daemons.values(), *standins, *platform]

    def stop(self, report: Callable[[str], None] = lambda text: None) -> None:
        """Stop all processes, the platform last; ``report`` gets what is waited for."""
        for kind, group in (
            ("daemons", list(self.daemons.values())),
            ("engines and services", [*self.engines.values(), *self.plain_services.values()]),
            ("platform", [] if self.platform is None else [self.platform]),
        ):
            running = [managed for managed in group if managed.is_running()]
            if not running:
                continue
            report(f"waiting for {kind}: {', '.join(managed.name for managed in running)}")
            for managed in running:
                managed.process.send_signal(SIGCONT)
                managed.process.send_signal(SIGTERM)
            for managed in running:
                managed.terminate()

    def kill(self) -> None:
        """Kill all processes that are still running."""
        for managed in self.list_processes():
            if managed.is_running():
                managed.process.send_signal(SIGKILL)

    def _make_registration_arguments(self, spec: EngineSpec | PlainServiceSpec) -> list[str]:
        return ["--platform", self.platform_url, *spec.options]

    def _start_standin(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        log = self.directory / f"{name}.log"
        with log.open("a", encoding="utf-8") as stream:
            process = Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=PIPE,
                stderr=stream,
                text=True,
                cwd=ROOT,
                env={**environ, "PYTHONUNBUFFERED": "1"},
                process_group=0,
            )
        assert process.stdout is not None
        line = process.stdout.readline().split()
        if len(line) != 3 or line[0] != "listening":
            process.kill()
            raise RuntimeError(f"{name} did not report its port; its log is {log}")
        return ManagedProcess(name, process, port=int(line[2]), log=log)

    def _make_settings(self, spec: HostSpec) -> dict[str, Any]:
        listen = {"address": "127.0.0.1", "port": 0}
        settings: dict[str, dict[str, Any]] = {
            "host": {"name": spec.name, "site": spec.site, "zone": spec.zone},
            "callers": {"listen": dict(listen), "address_lifetime_s": 1.0},
            "operators": {"listen": dict(listen)},
            "peers": {"listen": dict(listen), "shared_key": PEER_KEY},
            "platform": {"url": self.platform_url},
            "log": {"format": "json"},
        }
        for section, values in spec.overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Poll until ``condition`` holds; raises TimeoutError with ``description``."""
    deadline = monotonic() + timeout_s
    while not condition():
        if monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout_s} s waiting for {description}")
        sleep(POLL_INTERVAL_S)


@contextmanager
def open_fleet() -> Iterator[Fleet]:
    """Yield an empty fleet that uses a temporary directory, and stop it on exit."""
    with TemporaryDirectory(prefix="cherrylane-") as directory:
        fleet = Fleet(Path(directory))
        try:
            yield fleet
        finally:
            fleet.stop()


def _make_identity_arguments(spec: EngineSpec | PlainServiceSpec) -> list[str]:
    return [
        "--name",
        spec.name,
        "--service",
        spec.service,
        "--site",
        spec.site,
        "--zone",
        spec.zone,
    ]
