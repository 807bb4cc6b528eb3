"""Plots cache reuse and load skew by load multiple; run with ``python -m bench.plots``."""

from pathlib import Path

import matplotlib
from matplotlib import pyplot

from bench.replay import MakeStrategy, Outcome, Replay
from bench.strategies import BoundedHash, Oracle, PlainHash, PoolHomes
from bench.trace import Workload, make_trace
from bench.workloads import ALTAMAHA, HSINCHU

MULTIPLES = (1.1, 1.25, 1.5, 1.75, 2.0, 3.0)
STRATEGIES: tuple[MakeStrategy, ...] = (PlainHash, BoundedHash, PoolHomes, Oracle)
PLOT = Path(__file__).parent.parent / "docs" / "reuse-by-multiple.png"


def main() -> None:
    """Replay both firms' workloads at each multiple, print the values and write the plot."""
    matplotlib.use("Agg")
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7), sharex=True)
    for column, workload in enumerate((HSINCHU, ALTAMAHA)):
        for strategy in STRATEGIES:
            outcomes = _replay(workload, strategy)
            name = outcomes[0].strategy
            axes[0][column].plot(MULTIPLES, [item.reuse for item in outcomes], "o-", label=name)
            axes[1][column].plot(MULTIPLES, [item.skew for item in outcomes], "o-", label=name)
            for multiple, item in zip(MULTIPLES, outcomes, strict=True):
                values = f"reuse {item.reuse:.3f}, skew {item.skew:.3f}"
                print(f"{workload.name}, x{multiple:g}: {name}: {values}")
        axes[0][column].set_title(f"{workload.name}: {workload.engines} engines")
        axes[1][column].set_xlabel("load multiple")
    axes[0][0].set_ylabel("cache reuse (share of returning requests)")
    axes[1][0].set_ylabel("skew (highest load over mean)")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(PLOT, dpi=80)


def _replay(workload: Workload, strategy: MakeStrategy) -> list[Outcome]:
    trace = make_trace(workload)
    return [Replay(trace, strategy, multiple).run() for multiple in MULTIPLES]


if __name__ == "__main__":
    main()
