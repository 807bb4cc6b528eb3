"""Runs scenarios on daemons and stand-ins as separate processes."""

from concurrent.futures import Future, ThreadPoolExecutor
from json import dumps, loads
from typing import Any

from attrs import define, evolve, field
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError
from yaml import safe_dump, safe_load

from standins.engine import make_completion_words
from standins.example import HOSTS, UNION_KEY
from standins.fleet import ROOT, EngineSpec, Fleet, PlainServiceSpec, wait_until
from standins.registration import RUNNERS_PATH
from tests.scenarios.history import Call, History, find_violations
from tests.scenarios.language import (
    Action,
    ApplyAccounts,
    Command,
    Expectation,
    ExpectExit,
    ExpectGeneration,
    ExpectNoNewWork,
    ExpectResult,
    LoadKind,
    PerformAction,
    Send,
    SetAddressLifetime,
    SetPlatform,
    StartEngine,
    StartHosts,
    StartPlainService,
    WaitCondition,
    WaitUntil,
)

MODEL = "drafting-8b"
CALL_TIMEOUT_S = 60.0
TOKEN_INTERVAL_S = "0.02"
FILING_DELAY_S = "0.5"
AUTHORIZED = {"Authorization": f"Bearer {UNION_KEY}", "Content-Type": "application/json"}


@define
class Load:
    """A load that was started."""

    calls: list["Future[Call]"]

    def finish(self) -> list[Call]:
        """Wait for all calls and return them."""
        return [call.result(CALL_TIMEOUT_S) for call in self.calls]


@define
class ScenarioRunner:
    """Executes commands in sequence; loads run concurrently in the background."""

    fleet: Fleet
    pool: ThreadPoolExecutor = field(factory=lambda: ThreadPoolExecutor(64))
    http: PoolManager = field(factory=lambda: PoolManager(maxsize=64, retries=False))
    loads: dict[str, Load] = field(factory=dict)
    urls: dict[str, str] = field(factory=dict)
    call_count: int = 0
    host_overrides: dict[str, dict[str, Any]] = field(factory=dict)

    def run(self, commands: list[Command]) -> None:
        """Start the platform, apply the example documents and execute all commands."""
        self.fleet.start_platform()
        documents = [str(ROOT / "examples" / name) for name in ("base.yaml", "tw-north.yaml")]
        self.fleet.run_cli("apply", *documents)
        for command in commands:
            self.execute(command)

    def execute(self, command: Command) -> None:
        """Execute a command; raises AssertionError if an expectation is not met."""
        match command:
            case SetAddressLifetime(seconds=seconds):
                self.host_overrides = {"callers": {"address_lifetime_s": float(seconds)}}
            case StartHosts() | StartEngine() | StartPlainService():
                self._start(command)
            case Send():
                self._send(command)
            case PerformAction():
                self._perform_action(command)
            case SetPlatform(down=down):
                self.fleet.set_faults(down=down)
            case ApplyAccounts(count=count):
                self._apply_accounts(count)
            case WaitUntil():
                self._wait_until(command)
            case _:
                self._expect(command)

    def _start(self, command: StartHosts | StartEngine | StartPlainService) -> None:
        match command:
            case StartHosts(names=names):
                for name in names:
                    spec = next(host for host in HOSTS if host.name == name)
                    self.fleet.start_daemon(evolve(spec, overrides=self.host_overrides))
                self.fleet.wait_until_serving()
                self.urls.update({name: self.fleet.get_host_url(name) for name in names})
            case StartEngine(name=name):
                options = ("--token-interval-s", TOKEN_INTERVAL_S)
                engine = EngineSpec(name, "drafting-llm", "tw-north", "hsinchu-a", MODEL, options)
                self.fleet.start_engine(engine)
            case StartPlainService(name=name):
                delay = ("--delay-s", FILING_DELAY_S)
                service = PlainServiceSpec(name, "case-service", "tw-north", "hsinchu-a", delay)
                self.fleet.start_plain_service(service)

    def _send(self, command: Send) -> None:
        calls: list[Future[Call]] = []
        for _ in range(command.count):
            self.call_count += 1
            call = Call(self.call_count, f"{command.load}-{self.call_count}")
            send = self._send_filing if command.kind is LoadKind.FILINGS else self._send_chat
            calls.append(self.pool.submit(send, call, command))
        self.loads[command.load] = Load(calls)

    def _send_chat(self, call: Call, command: Send) -> Call:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"{call.key} " * 40}],
            "max_tokens": command.tokens,
            "stream": command.kind is LoadKind.STREAMS,
        }
        call = evolve(call, key="", expected="".join(make_completion_words(body)))
        try:
            status, data = self._post(command.host, "/v1/chat/completions", body, {})
        except (HTTPError, OSError):
            return call
        if status != 200:
            return evolve(call, status=status, execution=loads(data)["error"]["execution"])
        if command.kind is LoadKind.STREAMS:
            return _read_stream(call, data)
        text = loads(data)["choices"][0]["message"]["content"]
        return evolve(call, status=status, text=text)

    def _send_filing(self, call: Call, command: Send) -> Call:
        headers = {"Idempotency-Key": call.key}
        call = evolve(call, expected=call.key)
        try:
            status, data = self._post(
                command.host, "/case-service/filings", {"key": call.key}, headers
            )
        except (HTTPError, OSError):
            return call
        response = loads(data)
        if status != 201:
            return evolve(call, status=status, execution=response["error"]["execution"])
        return evolve(call, status=status, text=response["key"])

    def _post(
        self, host: str, path: str, body: dict[str, Any], headers: dict[str, str]
    ) -> tuple[int, bytes]:
        response = self.http.request(
            "POST",
            self.urls[host] + path,
            body=dumps(body).encode(),
            headers={**AUTHORIZED, **headers},
            timeout=Timeout(total=CALL_TIMEOUT_S),
        )
        return response.status, response.data

    def _perform_action(self, command: PerformAction) -> None:
        managed = next(m for m in self.fleet.list_processes() if m.name == command.name)
        match command.action:
            case Action.KILL:
                managed.kill()
            case Action.FREEZE:
                managed.freeze()
            case Action.THAW:
                managed.thaw()
            case Action.STOP:
                managed.terminate(CALL_TIMEOUT_S)
            case Action.DRAIN:
                managed.process.terminate()
            case Action.LEAVE:
                self._mark_leaving(command.name)

    def _mark_leaving(self, engine: str) -> None:
        url = f"{self.fleet.platform_url}{RUNNERS_PATH}/{engine}"
        registration = self.fleet.request("GET", url)
        assert registration is not None
        registration["spec"]["state"] = "leaving"
        self.fleet.request("PUT", url, registration)

    def _apply_accounts(self, count: int) -> None:
        overlay = safe_load((ROOT / "examples" / "tw-north.yaml").read_text(encoding="utf-8"))
        overlay["accounts"] += [
            {"name": f"account-{number}", "key_sha256": f"{number:064x}"} for number in range(count)
        ]
        path = self.fleet.directory / "overlay.yaml"
        path.write_text(safe_dump(overlay), encoding="utf-8")
        self.fleet.run_cli("apply", str(path))

    def _wait_until(self, command: WaitUntil) -> None:
        match command.condition:
            case WaitCondition.SERVES:
                wait_until(lambda: self._is_serving(command.name), f"{command.name} to serve")
            case WaitCondition.DRAINS:
                wait_until(lambda: self._is_draining(command.name), f"{command.name} to drain")
            case WaitCondition.LEAVES:
                wait_until(
                    lambda: self.fleet.get_host_record(command.name) is None,
                    f"{command.name} to leave the roster",
                )
            case WaitCondition.RUNS:
                wait_until(
                    lambda: self._is_running(command.name),
                    f"all pending calls of load {command.name} to reach an engine",
                )

    def _is_serving(self, name: str) -> bool:
        status = self.fleet.get_host_status(name)
        return status is not None and bool(status["serving"]) and bool(status["lease_held"])

    def _is_draining(self, name: str) -> bool:
        record = self.fleet.get_host_record(name)
        return record is not None and bool(record["draining"])

    def _is_running(self, load: str) -> bool:
        """Return whether all pending calls of a load have reached an engine."""
        pending = sum(1 for call in self.loads[load].calls if not call.done())
        running = sum(self.fleet.get_engine_counts(name)["running"] for name in self.fleet.engines)
        return running >= pending

    def _expect(self, command: Command) -> None:
        match command:
            case ExpectResult(load=load, expectation=expectation):
                self._check_load(load, expectation)
            case ExpectExit(name=name, code=code):
                exit_code = next(
                    m for m in self.fleet.list_processes() if m.name == name
                ).process.poll()
                assert exit_code == code, f"{name} exited with {exit_code}, expected {code}"
            case ExpectNoNewWork(engine=engine, load=load):
                self._check_no_new_work(engine, load)
            case ExpectGeneration(number=number):
                self.fleet.wait_until_serving(number)
            case _:
                raise AssertionError(f"unknown expectation: {command}")

    def _check_load(self, load: str, expectation: Expectation) -> None:
        calls = self.loads[load].finish()
        history = History(calls, self._read_executions())
        violations = find_violations(history)
        assert not violations, violations
        match expectation:
            case Expectation.WHOLE:
                unexpected = [call for call in calls if not call.is_complete]
            case Expectation.ANSWERED:
                unexpected = [call for call in calls if not call.is_answered]
            case Expectation.REFUSED:
                unexpected = [call for call in calls if call.execution != "not_run"]
            case Expectation.TRUTHFUL:
                unexpected = []
        assert not unexpected, unexpected

    def _read_executions(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for managed in self.fleet.plain_services.values():
            counts.update(
                self.fleet.request("GET", f"http://127.0.0.1:{managed.port}/executions") or {}
            )
        return counts

    def _check_no_new_work(self, engine: str, load: str) -> None:
        before = self.fleet.get_engine_counts(engine)
        self.loads[load].finish()
        after = self.fleet.get_engine_counts(engine)
        started = after["served"] + after["cancelled"] + after["running"]
        assert started == before["served"] + before["cancelled"] + before["running"], (
            before,
            after,
        )


def _read_stream(call: Call, data: bytes) -> Call:
    parts: list[str] = []
    for line in data.decode().splitlines():
        if not line.startswith("data: ") or line == "data: [DONE]":
            continue
        event = loads(line.removeprefix("data: "))
        if "error" in event:
            return evolve(call, status=200, execution=event["error"]["execution"])
        parts.append(event["choices"][0]["delta"].get("content", ""))
    complete = data.rstrip().endswith(b"data: [DONE]")
    return evolve(call, status=200, text="".join(parts) if complete else "cut")
