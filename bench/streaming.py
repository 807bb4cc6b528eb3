"""Streaming through one daemon as streams grow, beside a thread for each stream."""

import sys
from json import loads
from os import sysconf
from pathlib import Path
from subprocess import PIPE, Popen
from time import perf_counter, sleep
from typing import Any

from attrs import frozen

from bench.figures import Figure, Target
from bench.stream_load import RAMP_S, Summary
from standins.example import UNION_KEY
from standins.fleet import ROOT, EngineSpec, Fleet, HostSpec, open_fleet

ENGINES = 4
MODEL = "drafting-8b"
STREAMS = (100, 614)
BASELINE_STREAMS = (100,)
MEASURED_S = 12.0
FIRST_TOKEN = Target(0.72)
TOKEN_GAP = Target(0.029)
ENGINE_OPTIONS = ("--token-interval-s", "0.029", "--batch-slowdown", "0")
SETTLE_S = 1.0
CLOCK_TICKS = sysconf("SC_CLK_TCK")


@frozen
class Run:
    """What one load through one process gave."""

    streams: int
    summary: Summary
    cpu_s: float
    wall_s: float

    @property
    def cpu_per_event_us(self) -> float:
        """Processor time for each event that was relayed while it was watched."""
        events = self.summary.events * self.wall_s / MEASURED_S
        return self.cpu_s / events * 1e6 if events else 0.0


def measure_streaming() -> list[Figure]:
    """Run the loads one after the other."""
    with open_fleet() as fleet:
        _start(fleet)
        daemon = fleet.daemons["hsinchu-1"].process.pid
        port = int(fleet.get_host_url("hsinchu-1").rsplit(":", 1)[1])
        baseline = _run_baseline(fleet)
        runs = [_run_load([port, port], daemon, streams) for streams in STREAMS]
        engine_ports = [engine.port for engine in fleet.engines.values()]
        direct = _run_load(engine_ports, daemon, STREAMS[-1])
    return _make_figures(runs, baseline, direct)


def _start(fleet: Fleet) -> None:
    fleet.start_platform()
    for number in range(ENGINES):
        fleet.start_engine(
            EngineSpec(
                f"drafting-{number}",
                "drafting-llm",
                "tw-north",
                "hsinchu-a",
                MODEL,
                (*ENGINE_OPTIONS,),
            )
        )
    documents = [str(ROOT / "examples" / name) for name in ("base.yaml", "tw-north.yaml")]
    fleet.run_cli("apply", *documents)
    changes: dict[str, dict[str, Any]] = {"callers": {"threads": 128}, "log": {"level": "WARNING"}}
    fleet.start_daemon(HostSpec("hsinchu-1", "tw-north", "hsinchu-a", changes))
    fleet.wait_until_serving()


def _run_baseline(fleet: Fleet) -> dict[int, Run]:
    ports = [str(engine.port) for engine in fleet.engines.values()]
    command = [sys.executable, "-m", "bench.thread_relay", *ports]
    process = Popen(command, stdout=PIPE, text=True, cwd=ROOT)
    try:
        assert process.stdout is not None
        port = int(process.stdout.readline())
        return {n: _run_load([port, port], process.pid, n) for n in BASELINE_STREAMS}
    finally:
        process.kill()
        process.wait()


def _run_load(ports: list[int], pid: int, streams: int) -> Run:
    """Load ``ports`` with a client process each, and watch the processor time of ``pid``."""
    command = [sys.executable, "-m", "bench.stream_load"]
    command += ["--measured-s", str(MEASURED_S), "--key", UNION_KEY, "--model", MODEL]
    shares = [streams // len(ports) + (n < streams % len(ports)) for n in range(len(ports))]
    loads_running = [
        Popen(
            [*command, "--port", str(port), "--streams", str(share), "--name", f"{streams}-{n}"],
            stdout=PIPE,
            text=True,
            cwd=ROOT,
        )
        for n, (port, share) in enumerate(zip(ports, shares, strict=True))
    ]
    sleep(RAMP_S + SETTLE_S)
    began, cpu = perf_counter(), _cpu_seconds(pid)
    sleep(MEASURED_S - 2 * SETTLE_S)
    wall_s, cpu_s = perf_counter() - began, _cpu_seconds(pid) - cpu
    summaries = [Summary(**loads(process.communicate()[0])) for process in loads_running]
    return Run(streams, _merge(summaries), cpu_s, wall_s)


def _merge(summaries: list[Summary]) -> Summary:
    return Summary(
        first_95_s=max(summary.first_95_s for summary in summaries),
        gap_95_s=max(summary.gap_95_s for summary in summaries),
        events=sum(summary.events for summary in summaries),
        whole=sum(summary.whole for summary in summaries),
        failures=sum(summary.failures for summary in summaries),
    )


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _make_figures(runs: list[Run], baseline: dict[int, Run], direct: Run) -> list[Figure]:
    last = runs[-1]
    figures = [
        Figure(
            f"streaming, {last.streams} streams: gap between events, 95th, beside no router",
            last.summary.gap_95_s,
            "s",
            "straight from engines",
            direct.summary.gap_95_s,
        )
    ]
    for run in runs:
        name = f"streaming, {run.streams} streams"
        other = baseline.get(run.streams)
        nothing = float("nan")
        way = "a thread each" if other else ""
        figures += [
            Figure(
                f"{name}: processor time an event",
                run.cpu_per_event_us,
                "us",
                way,
                other.cpu_per_event_us if other else nothing,
            ),
            Figure(
                f"{name}: first token, 95th",
                run.summary.first_95_s,
                "s",
                way,
                other.summary.first_95_s if other else nothing,
                FIRST_TOKEN,
            ),
            Figure(
                f"{name}: gap between events, 95th",
                run.summary.gap_95_s,
                "s",
                way,
                other.summary.gap_95_s if other else nothing,
                TOKEN_GAP,
            ),
            Figure(f"{name}: events a second and core", 1e6 / run.cpu_per_event_us, "1/s"),
            Figure(f"{name}: streams cut or refused", run.summary.failures, "streams"),
        ]
    return figures
