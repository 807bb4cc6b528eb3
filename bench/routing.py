"""Cache reuse through churn, the load bound and skew, for each way over the same traces."""

from bench.figures import Figure, Target
from bench.replay import MakeWay, Outcome, Replay
from bench.trace import Trace, make_trace
from bench.ways import BoundedHash, Homes, LeastLoad, Oracle, PlainHash, RandomWay, RoundRobin
from bench.workloads import HUNDRED, SMALL, TEN_THOUSAND, THOUSAND

MULTIPLES = (1.25, 1.5)
REUSE_OF_ORACLE = Target(0.97, at_least=True)
REUSE_OF_PLAIN = Target(1.0, at_least=True)
NO_WORSE = Target(1.0)
NONE = Target(0.0)
SMALL_WAYS: tuple[MakeWay, ...] = (
    RandomWay,
    RoundRobin,
    LeastLoad,
    PlainHash,
    BoundedHash,
    Homes,
    Oracle,
)
HUNDRED_WAYS: tuple[MakeWay, ...] = (LeastLoad, PlainHash, BoundedHash, Homes, Oracle)
LARGE_WAYS: tuple[MakeWay, ...] = (PlainHash, BoundedHash, Homes)


def measure_routing() -> list[Figure]:
    """The sizes of today, with every baseline."""
    figures: list[Figure] = []
    for workload in SMALL:
        trace = make_trace(workload)
        for multiple in MULTIPLES:
            figures += _compare(trace, multiple, SMALL_WAYS)
    return figures


def measure_large() -> list[Figure]:
    """100, 1,000 and 10,000 engines; ways that look at every engine are left out above 100."""
    figures: list[Figure] = []
    for workload, ways in (
        (HUNDRED, HUNDRED_WAYS),
        (THOUSAND, LARGE_WAYS),
        (TEN_THOUSAND, LARGE_WAYS),
    ):
        trace = make_trace(workload)
        multiples = MULTIPLES if workload is HUNDRED else MULTIPLES[:1]
        for multiple in multiples:
            figures += _compare(trace, multiple, ways)
    return figures


def _compare(trace: Trace, multiple: float, ways: tuple[MakeWay, ...]) -> list[Figure]:
    outcomes = {
        outcome.way: outcome for outcome in (Replay(trace, way, multiple).run() for way in ways)
    }
    prefix = f"{trace.workload.name}, x{multiple:g}"
    home = outcomes.pop("home")
    figures = [_show(f"{prefix}: {way}", outcome) for way, outcome in outcomes.items()]
    listing = [figure for group in figures for figure in group]
    return [*listing, *_judge(prefix, home, outcomes)]


def _show(name: str, outcome: Outcome) -> list[Figure]:
    return [
        Figure(f"{name}: reuse", outcome.reuse, "share"),
        Figure(f"{name}: over the bound", outcome.violations, "admissions"),
        Figure(f"{name}: skew", outcome.skew, "max/mean"),
    ]


def _judge(prefix: str, home: Outcome, others: dict[str, Outcome]) -> list[Figure]:
    plain = others["plain hash"]
    figures = [
        Figure(
            f"{prefix}: home: reuse",
            home.reuse,
            "share",
            plain.way,
            plain.reuse,
            REUSE_OF_PLAIN,
            target_on_ratio=True,
        ),
        Figure(
            f"{prefix}: home: over the bound, true caches",
            home.violations,
            "admissions",
            plain.way,
            plain.violations,
            NONE,
        ),
        Figure(f"{prefix}: home: highest load, true caches", home.highest, "x mean"),
        Figure(f"{prefix}: home: requests without an engine", home.lost, "requests"),
    ]
    oracle = others.get("oracle")
    if oracle is not None:
        figures.append(
            Figure(
                f"{prefix}: home: over the bound, work counted",
                home.counted_violations,
                "admissions",
                plain.way,
                plain.violations,
                NONE,
            )
        )
        figures.append(
            Figure(
                f"{prefix}: home: reuse beside the oracle",
                home.reuse,
                "share",
                oracle.way,
                oracle.reuse,
                REUSE_OF_ORACLE,
                target_on_ratio=True,
            )
        )
    least = others.get("least load", others["bounded hash, lagged"])
    figures.append(
        Figure(
            f"{prefix}: home: skew",
            home.skew,
            "max/mean",
            least.way,
            least.skew,
            NO_WORSE,
            target_on_ratio=True,
        )
    )
    return figures
