"""Streaming through one daemon by number of streams, compared with one thread per stream."""

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
FIRST_TOKEN_TARGET = Target(0.72)
TOKEN_GAP_TARGET = Target(0.029)
ENGINE_OPTIONS = ("--token-interval-s", "0.029", "--batch-slowdown", "0")
SETTLE_S = 1.0
CLOCK_TICKS = sysconf("SC_CLK_TCK")


@frozen
class LoadResult:
    """Result of one load, with the processor time of the process under test."""

    streams: int
    summary: Summary
    cpu_s: float
    wall_s: float

    @property
    def cpu_per_event_us(self) -> float:
        """Processor microseconds per event that was relayed while the process was observed."""
        events = self.summary.events * self.wall_s / MEASURED_S
        return self.cpu_s / events * 1e6 if events else 0.0


def measure_streaming() -> list[Figure]:
    """Run the loads one after another: thread per stream, daemon, and engines without a router."""
    with open_fleet() as fleet:
        _start_fleet(fleet)
        daemon = fleet.daemons["hsinchu-1"].process.pid
        port = int(fleet.get_host_url("hsinchu-1").rsplit(":", 1)[1])
        baseline = _run_baseline(fleet)
        results = [_run_load([port, port], daemon, streams) for streams in STREAMS]
        engine_ports = [engine.port for engine in fleet.engines.values()]
        direct = _run_load(engine_ports, daemon, STREAMS[-1])
    return _make_figures(results, baseline, direct)


def _start_fleet(fleet: Fleet) -> None:
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
    overrides: dict[str, dict[str, Any]] = {
        "callers": {"threads": 128},
        "log": {"level": "WARNING"},
    }
    fleet.start_daemon(HostSpec("hsinchu-1", "tw-north", "hsinchu-a", overrides))
    fleet.wait_until_serving()


def _run_baseline(fleet: Fleet) -> dict[int, LoadResult]:
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


def _run_load(ports: list[int], pid: int, streams: int) -> LoadResult:
    """Load each port from its own client process, and measure the processor time of ``pid``."""
    command = [sys.executable, "-m", "bench.stream_load"]
    command += ["--measured-s", str(MEASURED_S), "--key", UNION_KEY, "--model", MODEL]
    shares = [streams // len(ports) + (n < streams % len(ports)) for n in range(len(ports))]
    clients = [
        Popen(
            [*command, "--port", str(port), "--streams", str(share), "--name", f"{streams}-{n}"],
            stdout=PIPE,
            text=True,
            cwd=ROOT,
        )
        for n, (port, share) in enumerate(zip(ports, shares, strict=True))
    ]
    sleep(RAMP_S + SETTLE_S)
    started, cpu_before = perf_counter(), _cpu_seconds(pid)
    sleep(MEASURED_S - 2 * SETTLE_S)
    wall_s, cpu_s = perf_counter() - started, _cpu_seconds(pid) - cpu_before
    summaries = [Summary(**loads(process.communicate()[0])) for process in clients]
    return LoadResult(streams, _merge(summaries), cpu_s, wall_s)


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


def _make_figures(
    results: list[LoadResult], baseline: dict[int, LoadResult], direct: LoadResult
) -> list[Figure]:
    largest = results[-1]
    figures = [
        Figure(
            f"streaming, {largest.streams} streams: gap between events, 95th, beside no router",
            largest.summary.gap_95_s,
            "s",
            "straight from engines",
            direct.summary.gap_95_s,
        )
    ]
    for result in results:
        name = f"streaming, {result.streams} streams"
        thread_relay = baseline.get(result.streams)
        no_baseline = float("nan")
        baseline_label = "a thread each" if thread_relay else ""
        figures += [
            Figure(
                f"{name}: processor time an event",
                result.cpu_per_event_us,
                "us",
                baseline_label,
                thread_relay.cpu_per_event_us if thread_relay else no_baseline,
            ),
            Figure(
                f"{name}: first token, 95th",
                result.summary.first_95_s,
                "s",
                baseline_label,
                thread_relay.summary.first_95_s if thread_relay else no_baseline,
                FIRST_TOKEN_TARGET,
            ),
            Figure(
                f"{name}: gap between events, 95th",
                result.summary.gap_95_s,
                "s",
                baseline_label,
                thread_relay.summary.gap_95_s if thread_relay else no_baseline,
                TOKEN_GAP_TARGET,
            ),
            Figure(f"{name}: events a second and core", 1e6 / result.cpu_per_event_us, "1/s"),
            Figure(f"{name}: streams cut or refused", result.summary.failures, "streams"),
        ]
    return figures
