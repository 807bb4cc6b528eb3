"""A fleet of separate processes on one machine: stand-ins and daemons, for trials and tests."""

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

from attrs import define, field, frozen
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError
from yaml import safe_dump

ROOT = Path(__file__).parent.parent
WAIT_S = 30.0
POLL_S = 0.05
STOP_S = 15.0
PEER_KEY = "example-peer-key-0001"
HTTP_TIMEOUT_S = 5.0


@frozen
class EngineSpec:
    """An engine to start."""

    name: str
    service: str
    site: str
    zone: str
    model: str
    options: tuple[str, ...] = ()


@frozen
class PlainServiceSpec:
    """A plain service to start."""

    name: str
    service: str
    site: str
    zone: str
    options: tuple[str, ...] = ()


@frozen
class HostSpec:
    """A daemon to start; ``changes`` are settings by section that replace the defaults."""

    name: str
    site: str
    zone: str
    changes: dict[str, dict[str, Any]] = field(factory=dict)


@frozen
class CommandResult:
    """How a command ended, and what it printed."""

    code: int
    text: str


@define
class Member:
    """One started process."""

    name: str
    process: Popen[str]
    port: int = 0
    log: Path | None = None

    def is_running(self) -> bool:
        """Say whether the process has not ended."""
        return self.process.poll() is None

    def kill(self) -> None:
        """End the process at once."""
        self.process.send_signal(SIGKILL)
        self.process.wait()

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.process.send_signal(SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.process.send_signal(SIGCONT)

    def terminate(self, timeout_s: float = STOP_S) -> int:
        """Ask the process to stop and return its exit code."""
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
    """The processes of one trial; every one of them is ended by :meth:`stop`."""

    directory: Path
    platform: Member | None = None
    engines: dict[str, Member] = field(factory=dict)
    plain_services: dict[str, Member] = field(factory=dict)
    daemons: dict[str, Member] = field(factory=dict)
    http: PoolManager = field(factory=lambda: PoolManager(retries=False, maxsize=16))

    @property
    def platform_url(self) -> str:
        """Where the platform's stand-in listens."""
        assert self.platform is not None
        return f"http://127.0.0.1:{self.platform.port}"

    def start_platform(self, port: int = 0) -> None:
        """Start the platform's stand-in."""
        self.platform = self._start_standin("platform", "standins.platform", "--port", str(port))

    def start_engine(self, spec: EngineSpec) -> None:
        """Start an engine and list it at the platform."""
        member = self._start_standin(
            spec.name,
            "standins.engine",
            *_common(spec),
            "--model",
            spec.model,
            *self._listing(spec),
        )
        self.engines[spec.name] = member

    def start_plain_service(self, spec: PlainServiceSpec) -> None:
        """Start a plain service and list it at the platform."""
        member = self._start_standin(
            spec.name, "standins.plain_service", *_common(spec), *self._listing(spec)
        )
        self.plain_services[spec.name] = member

    def start_daemon(self, spec: HostSpec) -> None:
        """Start a daemon; it is not serving yet when this returns."""
        path = self.directory / f"{spec.name}.yaml"
        path.write_text(safe_dump(self._settings(spec)), encoding="utf-8")
        log = self.directory / f"{spec.name}.log"
        with log.open("a", encoding="utf-8") as stream:
            process = Popen(
                [sys.executable, "-m", "cherrylane.daemon.main", "--settings", str(path)],
                stderr=stream,
                stdout=stream,
                text=True,
                cwd=ROOT,
            )
        self.daemons[spec.name] = Member(spec.name, process, log=log)

    def run_cli(self, *arguments: str) -> str:
        """Run the operators' tool and return what it printed; raises when it fails."""
        result = self.try_cli(*arguments)
        if result.code != 0:
            raise RuntimeError(f"cherrylane {' '.join(arguments)}: {result.text}")
        return result.text

    def try_cli(self, *arguments: str, platform: str = "") -> CommandResult:
        """Run the operators' tool and return how it ended."""
        command = [sys.executable, "-m", "cherrylane.cli.main"]
        command += ["--platform", platform or self.platform_url, *arguments]
        done = run(command, stdout=PIPE, stderr=STDOUT, text=True, cwd=ROOT)
        return CommandResult(done.returncode, done.stdout)

    def record_of(self, name: str) -> dict[str, Any] | None:
        """Return the roster entry of a host, None while it has not joined."""
        url = f"{self.platform_url}/objects/hosts/{name}"
        answer = self.request("GET", url)
        return None if answer is None or "spec" not in answer else answer["spec"]

    def get_host_url(self, name: str) -> str:
        """Return the URL at which a host serves callers."""
        record = self.record_of(name)
        assert record is not None, f"{name} is not in the roster"
        return f"http://{record['callers']['address']}:{record['callers']['port']}"

    def status_of(self, name: str) -> dict[str, Any] | None:
        """Return a host's status, None when it does not answer."""
        record = self.record_of(name)
        if record is None:
            return None
        return self.request(
            "GET", f"http://{record['operators']['address']}:{record['operators']['port']}/status"
        )

    def loads_of(self, service: str) -> dict[str, float]:
        """Return the load of each engine of ``service`` as its homes count it."""
        loads: dict[str, float] = {}
        for name in self.daemons:
            status = self.status_of(name)
            if status is not None:
                loads.update(status["loads"].get(service, {}))
        return loads

    def engine_counts(self, name: str) -> dict[str, int]:
        """Return what an engine says it has done, without lag."""
        counts = self.request("GET", f"http://127.0.0.1:{self.engines[name].port}/counts")
        return {} if counts is None else counts

    def wait_until_serving(self, generation: int = 1) -> None:
        """Wait until every running daemon serves by ``generation`` and sees the same hosts."""
        running = sorted(name for name, member in self.daemons.items() if member.is_running())

        def is_ready() -> bool:
            for name in running:
                status = self.status_of(name)
                if status is None or not status["serving"] or not status["lease_held"]:
                    return False
                if status["generation"] < generation or status["hosts"] != running:
                    return False
            return True

        wait_until(is_ready, f"{running} to serve")

    def set_faults(self, **faults: Any) -> None:
        """Set what the platform's stand-in does wrong."""
        self.request("POST", f"{self.platform_url}/faults", faults)

    def request(
        self, method: str, url: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any] | None:
        """Send one JSON request to a stand-in or an operators' side; None without an answer."""
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

    def members(self) -> list[Member]:
        """Return every process, daemons first."""
        standins = [*self.engines.values(), *self.plain_services.values()]
        platform = [] if self.platform is None else [self.platform]
        return [*self.daemons.values(), *standins, *platform]

    def stop(self) -> None:
        """End every process."""
        for group in (self.daemons, self.engines, self.plain_services):
            for member in group.values():
                if member.is_running():
                    member.process.send_signal(SIGCONT)
                    member.process.send_signal(SIGTERM)
            for member in group.values():
                member.terminate()
        if self.platform is not None:
            self.platform.terminate()

    def _listing(self, spec: EngineSpec | PlainServiceSpec) -> list[str]:
        return ["--platform", self.platform_url, *spec.options]

    def _start_standin(self, name: str, module: str, *arguments: str) -> Member:
        log = self.directory / f"{name}.log"
        with log.open("a", encoding="utf-8") as stream:
            process = Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=PIPE,
                stderr=stream,
                text=True,
                cwd=ROOT,
                env={**environ, "PYTHONUNBUFFERED": "1"},
            )
        assert process.stdout is not None
        line = process.stdout.readline().split()
        if len(line) != 3 or line[0] != "listening":
            process.kill()
            raise RuntimeError(f"{name} did not start; see {log}")
        return Member(name, process, port=int(line[2]), log=log)

    def _settings(self, spec: HostSpec) -> dict[str, Any]:
        listen = {"address": "127.0.0.1", "port": 0}
        settings: dict[str, dict[str, Any]] = {
            "host": {"name": spec.name, "site": spec.site, "zone": spec.zone},
            "callers": {"listen": dict(listen), "address_lifetime_s": 1.0},
            "operators": {"listen": dict(listen)},
            "peers": {"listen": dict(listen), "shared_key": PEER_KEY},
            "platform": {"url": self.platform_url},
            "log": {"format": "json"},
        }
        for section, values in spec.changes.items():
            settings.setdefault(section, {}).update(values)
        return settings


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = WAIT_S) -> None:
    """Wait until ``condition`` holds; raises TimeoutError that names ``what``."""
    deadline = monotonic() + timeout_s
    while not condition():
        if monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_s} s in vain for {what}")
        sleep(POLL_S)


@contextmanager
def open_fleet() -> Iterator[Fleet]:
    """Yield an empty fleet whose files go to a directory of its own, and stop it at the end."""
    with TemporaryDirectory(prefix="cherrylane-") as directory:
        fleet = Fleet(Path(directory))
        try:
            yield fleet
        finally:
            fleet.stop()


def _common(spec: EngineSpec | PlainServiceSpec) -> list[str]:
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
