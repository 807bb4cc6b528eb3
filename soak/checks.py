"""The guarantees that a soak checks, on what callers and upstreams have recorded."""

from collections import Counter

from attrs import define, field

from soak.callers import Exchange, RequestKind
from soak.upstreams import EVENT_COUNT, make_response_body

# Statuses that guarantee that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Requests sent more than this after a daemon has served a version must not get 404 for it.
REGRESSION_GRACE_S = 0.25
# Retry budget of all hosts together within a window: a share of the requests, plus a slack.
RETRY_SHARE = 0.2
RETRY_SLACK = 54
WINDOW_S = 10.0
# Exit code of a daemon after an orderly shutdown.
EXIT_CLEAN = 0


@define
class Observations:
    """Everything that was recorded during a soak; times are in seconds of one clock.

    ``executions`` counts by request, ``arrivals`` are the time and request id of each request that
    reached the upstream that it names. ``stops`` are the exit codes of planned stops, None if the
    daemon did not stop in time; ``exits`` are the exit codes of daemons that ended unexpectedly, by
    host. ``unrecovered`` are the hosts that did not serve again after the last fault.
    """

    history: list[Exchange]
    executions: Counter[str]
    arrivals: list[tuple[float, str]]
    stops: list[tuple[str, int | None]] = field(factory=list)
    exits: dict[str, list[int]] = field(factory=dict)
    unrecovered: list[str] = field(factory=list)


def find_violations(observed: Observations) -> list[str]:
    """Return a description of each violation of a guarantee."""
    violations = []
    for exchange in observed.history:
        violations += check_response(exchange, observed.executions[exchange.id])
    violations += _check_versions(observed.history)
    violations += _check_retries(observed)
    violations += _check_processes(observed)
    return violations


def check_response(exchange: Exchange, executions: int) -> list[str]:
    """Check a request for at-most-once execution, its own complete response and true refusals.

    Only requests on unsafe routes must not be executed twice. Returns a description of each
    violation.
    """
    response = exchange.response
    found = []
    if exchange.kind is RequestKind.UNSAFE and executions > 1:
        found.append(f"executed {executions} times")
    if (
        exchange.kind is not RequestKind.SAFE
        and response.status in NOT_EXECUTED_STATUSES
        and response.complete
        and executions
    ):
        found.append(f"answered {response.status} but was executed")
    if response.complete and response.request_id not in ("", exchange.id):
        found.append(f"got the response to {response.request_id}")
    if response.complete and 200 <= response.status < 300:
        if not response.signature:
            found.append("success without a signature")
        if not executions:
            found.append("success without an execution")
        expected = _make_expected_body(exchange)
        if response.body != expected:
            found.append(f"success with an unexpected body: {response.body[:60]!r}")
    return [f"{exchange.id} ({exchange.kind.value} at {exchange.host}): {text}" for text in found]


def _make_expected_body(exchange: Exchange) -> bytes:
    if exchange.kind is not RequestKind.STREAM:
        return make_response_body(exchange.id)
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENT_COUNT + 1))


def _check_versions(history: list[Exchange]) -> list[str]:
    """Check that no daemon process reverts to a version older than one that it has served."""
    served: dict[tuple[str, int], list[tuple[float, int]]] = {}
    violations = []
    for exchange in sorted(history, key=lambda item: item.sent):
        process = (exchange.host, exchange.incarnation)
        if exchange.response.status == 200 and exchange.version:
            served.setdefault(process, []).append((exchange.ended, exchange.version))
        if exchange.response.status != 404:
            continue
        earlier = [
            version
            for ended, version in served.get(process, [])
            if ended + REGRESSION_GRACE_S < exchange.sent and version >= exchange.version
        ]
        if earlier:
            violations.append(
                f"{exchange.id} at {exchange.host}: 404 for version {exchange.version} after "
                f"version {max(earlier)} was served"
            )
    return violations


def _check_retries(observed: Observations) -> list[str]:
    """Check that all hosts together stay within the retry budget in every window."""
    sent_times = sorted(exchange.sent for exchange in observed.history)
    seen: set[str] = set()
    retries = []
    for at, request_id in sorted(observed.arrivals):
        if request_id in seen:
            retries.append(at)
        seen.add(request_id)
    violations = []
    for start in retries:
        within = [at for at in retries if start <= at <= start + WINDOW_S]
        requests = len([at for at in sent_times if start <= at <= start + WINDOW_S])
        if len(within) > RETRY_SHARE * requests + RETRY_SLACK:
            violations.append(f"{len(within)} retries for {requests} requests within {WINDOW_S} s")
    return violations[:1]


def _check_processes(observed: Observations) -> list[str]:
    violations = [
        f"{host} stopped with exit code {code}" if code is not None else f"{host} did not stop"
        for host, code in observed.stops
        if code != EXIT_CLEAN
    ]
    for host, codes in observed.exits.items():
        violations += [f"{host} ended unexpectedly with exit code {code}" for code in codes]
    return violations + [
        f"{host} does not serve requests after the last fault" for host in observed.unrecovered
    ]
