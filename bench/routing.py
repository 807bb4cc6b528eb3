"""Cache reuse under churn, load-bound violations and skew of each strategy on the same traces."""

from bench.figures import Figure, Target
from bench.replay import MakeStrategy, Outcome, Replay
from bench.strategies import (
    BoundedHash,
    LeastLoad,
    Oracle,
    PlainHash,
    PoolHomes,
    RandomChoice,
    RoundRobin,
)
from bench.trace import Trace, make_trace
from bench.workloads import HUNDRED, SMALL_FLEETS, TEN_THOUSAND, THOUSAND

MULTIPLES = (1.25, 1.5)
ORACLE_REUSE_TARGET = Target(0.97, at_least=True)
PLAIN_HASH_REUSE_TARGET = Target(1.0, at_least=True)
SKEW_TARGET = Target(1.0)
VIOLATIONS_TARGET = Target(0.0)
SMALL_FLEET_STRATEGIES: tuple[MakeStrategy, ...] = (
    RandomChoice,
    RoundRobin,
    LeastLoad,
    PlainHash,
    BoundedHash,
    PoolHomes,
    Oracle,
)
HUNDRED_ENGINES_STRATEGIES: tuple[MakeStrategy, ...] = (
    LeastLoad,
    PlainHash,
    BoundedHash,
    PoolHomes,
    Oracle,
)
LARGE_FLEET_STRATEGIES: tuple[MakeStrategy, ...] = (PlainHash, BoundedHash, PoolHomes)


def measure_routing() -> list[Figure]:
    """Measure fleets of the present sizes with every baseline."""
    figures: list[Figure] = []
    for workload in SMALL_FLEETS:
        trace = make_trace(workload)
        for multiple in MULTIPLES:
            figures += _compare(trace, multiple, SMALL_FLEET_STRATEGIES)
    return figures


def measure_large() -> list[Figure]:
    """Measure 100, 1,000 and 10,000 engines.

    Strategies that scan every engine are left out above 100 engines.
    """
    figures: list[Figure] = []
    for workload, strategies in (
        (HUNDRED, HUNDRED_ENGINES_STRATEGIES),
        (THOUSAND, LARGE_FLEET_STRATEGIES),
        (TEN_THOUSAND, LARGE_FLEET_STRATEGIES),
    ):
        trace = make_trace(workload)
        multiples = MULTIPLES if workload is HUNDRED else MULTIPLES[:1]
        for multiple in multiples:
            figures += _compare(trace, multiple, strategies)
    return figures


def _compare(trace: Trace, multiple: float, strategies: tuple[MakeStrategy, ...]) -> list[Figure]:
    outcomes = {
        outcome.strategy: outcome
        for outcome in (Replay(trace, strategy, multiple).run() for strategy in strategies)
    }
    prefix = f"{trace.workload.name}, x{multiple:g}"
    home = outcomes.pop("home")
    figures = [
        _make_baseline_figures(f"{prefix}: {strategy}", outcome)
        for strategy, outcome in outcomes.items()
    ]
    listing = [figure for group in figures for figure in group]
    return [*listing, *_make_home_figures(prefix, home, outcomes)]


def _make_baseline_figures(name: str, outcome: Outcome) -> list[Figure]:
    return [
        Figure(f"{name}: reuse", outcome.reuse, "share"),
        Figure(f"{name}: over the bound", outcome.violations, "admissions"),
        Figure(f"{name}: skew", outcome.skew, "max/mean"),
    ]


def _make_home_figures(prefix: str, home: Outcome, others: dict[str, Outcome]) -> list[Figure]:
    plain = others["plain hash"]
    figures = [
        Figure(
            f"{prefix}: home: reuse",
            home.reuse,
            "share",
            plain.strategy,
            plain.reuse,
            PLAIN_HASH_REUSE_TARGET,
            target_on_ratio=True,
        ),
        Figure(
            f"{prefix}: home: over the bound, true caches",
            home.violations,
            "admissions",
            plain.strategy,
            plain.violations,
            VIOLATIONS_TARGET,
        ),
        Figure(f"{prefix}: home: highest load, true caches", home.highest_ratio, "x mean"),
        Figure(f"{prefix}: home: requests without an engine", home.unplaced, "requests"),
    ]
    oracle = others.get("oracle")
    if oracle is not None:
        figures.append(
            Figure(
                f"{prefix}: home: over the bound, work counted",
                home.counted_violations,
                "admissions",
                plain.strategy,
                plain.violations,
                VIOLATIONS_TARGET,
            )
        )
        figures.append(
            Figure(
                f"{prefix}: home: reuse beside the oracle",
                home.reuse,
                "share",
                oracle.strategy,
                oracle.reuse,
                ORACLE_REUSE_TARGET,
                target_on_ratio=True,
            )
        )
    least = others.get("least load", others["bounded hash, lagged"])
    figures.append(
        Figure(
            f"{prefix}: home: skew",
            home.skew,
            "max/mean",
            least.strategy,
            least.skew,
            SKEW_TARGET,
            target_on_ratio=True,
        )
    )
    return figures
