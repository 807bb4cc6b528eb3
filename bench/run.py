"""Entry point of ``make bench``: runs the benchmarks and writes their figures.

Inputs are deterministic (seeded traces). Durations depend on the machine and are therefore
compared with a baseline that is measured in the same run.
"""

from argparse import ArgumentParser
from time import perf_counter

from bench.control import measure_control
from bench.decision import measure_decision
from bench.fairness import measure_fairness
from bench.figures import RESULTS, Benchmark, Figure, write_results
from bench.gateway import measure_gateway
from bench.limits import measure_limits
from bench.overload import measure_overload
from bench.path import measure_path
from bench.routing import measure_large, measure_routing
from bench.streaming import measure_streaming

BENCHMARKS: dict[str, Benchmark] = {
    "routing": measure_routing,
    "large": measure_large,
    "decision": measure_decision,
    "fairness": measure_fairness,
    "control": measure_control,
    "path": measure_path,
    "gateway": measure_gateway,
    "limits": measure_limits,
    "overload": measure_overload,
    "streaming": measure_streaming,
}


def main() -> None:
    """Run all benchmarks, or only the one given by ``--only``."""
    parser = ArgumentParser(description="measure cherrylane against its baselines")
    parser.add_argument("--only", choices=list(BENCHMARKS))
    only = parser.parse_args().only
    figures: list[Figure] = []
    for name, benchmark in BENCHMARKS.items():
        if only not in (None, name):
            continue
        started = perf_counter()
        print(f"# {name}", flush=True)
        measured = benchmark()
        figures += measured
        for figure in measured:
            print(figure.to_line(), flush=True)
        print(f"# {name} took {perf_counter() - started:.1f} s", flush=True)
    write_results(figures)
    unmet = [figure.name for figure in figures if figure.met is False]
    print(f"# {len(figures)} figures in {RESULTS.name}; targets not met: {unmet or 'none'}")


if __name__ == "__main__":
    main()
