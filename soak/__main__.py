"""``python -m soak``: runs seeded fault-injection tests and reports violated guarantees."""

import asyncio
from argparse import ArgumentParser, Namespace
from pathlib import Path
from random import Random
from signal import SIGTERM, default_int_handler, signal
from sys import exit as exit_process
from sys import stdout
from tempfile import mkdtemp
from time import time

from logbook import StreamHandler

from soak.runs import SoakOptions, run_soak

EXIT_VIOLATIONS = 1
# Seeds that `--fresh` draws are below this number.
MAX_SEED = 10**9


def main() -> None:
    """Run the soak once per seed; exit with 1 if a guarantee was violated."""
    options = _parse_arguments()
    # SIGTERM raises KeyboardInterrupt like SIGINT, so that the cleanup stops all child processes.
    signal(SIGTERM, default_int_handler)
    seeds = [options.seed + number for number in range(options.seeds)]
    if options.fresh:
        seeds = [Random(time()).randrange(MAX_SEED) for _ in range(options.seeds)]
    failed = 0
    for seed in seeds:
        work_dir = Path(mkdtemp(prefix=f"soak-{seed}-"))
        soak = SoakOptions(seed, options.seconds, options.hosts, options.callers)
        with StreamHandler(stdout, level="INFO" if options.verbose else "ERROR").applicationbound():
            report = asyncio.run(run_soak(soak, work_dir))
        failed += bool(report.violations)
        print(f"seed {seed}: {report.summary}", flush=True)
        for line in report.violations:
            print(f"  {line}", flush=True)
        if report.violations:
            print(f"  logs: {work_dir}", flush=True)
    print(f"{len(seeds)} seeds, {failed} with violations")
    exit_process(EXIT_VIOLATIONS if failed else 0)


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(
        prog="python -m soak", description="Test real daemons under injected faults."
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed (default 1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--fresh", action="store_true", help="draw random seeds instead")
    parser.add_argument("--seconds", type=float, default=15.0, help="duration of fault injection")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--verbose", action="store_true", help="log each fault")
    return parser.parse_args()


if __name__ == "__main__":
    main()
