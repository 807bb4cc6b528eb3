"""``python -m soak``: run soaks by seed and report every breach of a promise."""

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

EXIT_BREACHED = 1
# Seeds that `--fresh` draws are below this.
MAX_SEED = 10**9


def main() -> None:
    """Run the soaks asked for; the exit code is 1 if a promise was broken."""
    options = _parse_arguments()
    # Ends like an interrupt, so that every process that was started is ended too.
    signal(SIGTERM, default_int_handler)
    seeds = [options.seed + number for number in range(options.seeds)]
    if options.fresh:
        seeds = [Random(time()).randrange(MAX_SEED) for _ in range(options.seeds)]
    broken = 0
    for seed in seeds:
        folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
        soak = SoakOptions(seed, options.seconds, options.hosts, options.callers)
        with StreamHandler(stdout, level="INFO" if options.verbose else "ERROR").applicationbound():
            report = asyncio.run(run_soak(soak, folder))
        broken += bool(report.breaches)
        print(f"seed {seed}: {report.summary}", flush=True)
        for line in report.breaches:
            print(f"  {line}", flush=True)
        if report.breaches:
            print(f"  logs: {folder}", flush=True)
    print(f"{len(seeds)} seeds, {broken} with a promise broken")
    exit_process(EXIT_BREACHED if broken else 0)


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(prog="python -m soak", description="Soak real daemons in faults.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default 1)")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--fresh", action="store_true", help="draw other seeds than ever before")
    parser.add_argument("--seconds", type=float, default=15.0, help="length of the faults")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--verbose", action="store_true", help="show each fault")
    return parser.parse_args()


if __name__ == "__main__":
    main()
