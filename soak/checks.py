"""The promises that a soak checks, from what callers and upstreams have seen."""

from collections import Counter

from attrs import define, field

from soak.callers import Exchange, Kind
from soak.upstreams import EVENTS, make_body

# Statuses that promise that a request was not run and never will be.
PROMISES = frozenset({408, 421, 429, 503})
# Seconds after which a host that has served a version must not have forgotten it.
REGRESS_S = 0.25
# What all hosts may repeat within a window: a share of the requests, and a slack.
RETRY_SHARE = 0.2
RETRY_SLACK = 54
WINDOW_S = 10.0
# Exit code of a daemon that stopped in order.
EXIT_STOPPED = 0


@define
class Observed:
    """Everything that a soak has seen; times are in seconds of one clock."""

    history: list[Exchange]
    runs: Counter[str]
    arrivals: list[tuple[float, str]]
    stops: list[tuple[str, int | None]] = field(factory=list)
    exits: dict[str, list[int]] = field(factory=dict)
    unserved: list[str] = field(factory=list)


def find_breaches(observed: Observed) -> list[str]:
    """Return a line for each breach of a promise."""
    breaches = []
    for exchange in observed.history:
        breaches += check_answer(exchange, observed.runs[exchange.id])
    breaches += _check_versions(observed.history)
    breaches += _check_retries(observed)
    breaches += _check_processes(observed)
    return breaches


def check_answer(exchange: Exchange, runs: int) -> list[str]:
    """Check one request: at most once, its own whole answer, and a refusal that is true."""
    answer = exchange.answer
    found = []
    if exchange.kind is Kind.UNSAFE and runs > 1:
        found.append(f"run {runs} times")
    if exchange.kind is not Kind.SAFE and answer.status in PROMISES and answer.whole and runs:
        found.append(f"answered {answer.status} and run")
    if answer.whole and answer.request_id not in ("", exchange.id):
        found.append(f"got the answer to {answer.request_id}")
    if answer.whole and 200 <= answer.status < 300:
        if not answer.signature:
            found.append("success without a signature")
        if not runs:
            found.append("success without a run")
        expected = _expect_body(exchange)
        if answer.body != expected:
            found.append(f"success with another body: {answer.body[:60]!r}")
    return [f"{exchange.id} ({exchange.kind.value} at {exchange.host}): {one}" for one in found]


def _expect_body(exchange: Exchange) -> bytes:
    if exchange.kind is not Kind.STREAM:
        return make_body(exchange.id)
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1))


def _check_versions(history: list[Exchange]) -> list[str]:
    """No run of a daemon goes back behind a version by which it has served."""
    served: dict[tuple[str, int], list[tuple[float, int]]] = {}
    breaches = []
    for exchange in sorted(history, key=lambda one: one.sent):
        run = (exchange.host, exchange.incarnation)
        if exchange.answer.status == 200 and exchange.version:
            served.setdefault(run, []).append((exchange.ended, exchange.version))
        if exchange.answer.status != 404:
            continue
        before = [
            version
            for ended, version in served.get(run, [])
            if ended + REGRESS_S < exchange.sent and version >= exchange.version
        ]
        if before:
            breaches.append(
                f"{exchange.id} at {exchange.host}: 404 for version {exchange.version} after "
                f"{max(before)} was served"
            )
    return breaches


def _check_retries(observed: Observed) -> list[str]:
    """All hosts together repeat no more than the share and the slack, in any window."""
    asked = sorted(one.sent for one in observed.history)
    seen: set[str] = set()
    repeated = []
    for at, request_id in sorted(observed.arrivals):
        if request_id in seen:
            repeated.append(at)
        seen.add(request_id)
    breaches = []
    for begin in repeated:
        within = [at for at in repeated if begin <= at <= begin + WINDOW_S]
        requests = len([at for at in asked if begin <= at <= begin + WINDOW_S])
        if len(within) > RETRY_SHARE * requests + RETRY_SLACK:
            breaches.append(f"{len(within)} repeats for {requests} requests in a window")
    return breaches[:1]


def _check_processes(observed: Observed) -> list[str]:
    breaches = [
        f"{host} stopped with exit code {code}" if code is not None else f"{host} did not stop"
        for host, code in observed.stops
        if code != EXIT_STOPPED
    ]
    for host, codes in observed.exits.items():
        breaches += [f"{host} ended by itself with exit code {code}" for code in codes]
    return breaches + [f"{host} does not serve after the last fault" for host in observed.unserved]
