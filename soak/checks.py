"""The guarantees that a soak checks, on what callers and upstreams have recorded."""

from collections import Counter
from math import inf

from attrs import define, field

from soak.callers import Ending, Exchange, RequestKind
from soak.disturbances import Disturbance
from soak.fleet import STOP_GRACE_S
from soak.limits import check_limits
from soak.silences import Silence
from soak.streams import check_streams
from soak.upstreams import (
    EVENT_COUNT,
    LARGE_EVENT_BYTES,
    SOFTWARE,
    SoakUpstream,
    make_event,
    make_response_body,
)

# Statuses that guarantee that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Requests sent more than this after a daemon has served a version must not get 404 for it.
REGRESSION_GRACE_S = 0.25
# Retry budget of all hosts together within a window: a share of the requests, plus a slack.
RETRY_SHARE = 0.2
RETRY_SLACK = 54
WINDOW_S = 10.0
# Seconds after a process has passed on that an upstream leaves; it sends nothing there later.
DRAIN_S = 2.0
# Seconds after a refusal in which requests may be on their way, and how many may arrive later.
BACKOFF_SLACK_S = 0.5
MAX_DURING_BACKOFF = 2
# Seconds for which a request may cross the end of a host.
CROSSING_S = 0.25
# Seconds after SIGTERM in which a host finishes what it has accepted: five sixths of its grace.
FINISHING_S = STOP_GRACE_S * 5 / 6
# A request whose time has passed but for this many seconds may be ended for that.
DUE_SLACK_S = 0.25
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
    upstreams: list[SoakUpstream] = field(factory=list)
    silences: list[Silence] = field(factory=list)
    disturbances: list[Disturbance] = field(factory=list)


def find_violations(observed: Observations) -> list[str]:
    """Return a description of each violation of a guarantee."""
    violations = []
    for exchange in observed.history:
        odd = [upstream.odd_answers.get(exchange.id) for upstream in observed.upstreams]
        found = check_response(exchange, observed.executions[exchange.id])
        violations += [", ".join([text, *(one.value for one in odd if one)]) for text in found]
    violations += _check_versions(observed.history)
    violations += check_streams(observed.history)
    violations += _check_failed_runs(observed)
    violations += _check_retries(observed)
    violations += _check_silences(observed)
    violations += _check_endings(observed)
    for upstream in observed.upstreams:
        violations += _check_departures(observed.history, upstream)
        violations += _check_backoffs(observed.history, upstream)
        violations += check_limits(observed.history, upstream, observed.disturbances)
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
    if response.complete and response.request_id not in ("", exchange.attempt_id):
        found.append(f"got the response to {response.request_id}")
    if response.complete and 200 <= response.status < 300:
        if not response.signature:
            found.append("success without a signature")
        if not executions:
            found.append("success without an execution")
        if response.body not in _make_expected_bodies(exchange):
            found.append(f"success with an unexpected body: {_describe(response.body)}")
    elif response.status == 200 and not any(
        body.startswith(response.body) for body in _make_expected_bodies(exchange)
    ):
        found.append(f"part of a success with an unexpected body: {_describe(response.body)}")
    return [f"{exchange.id} ({exchange.kind.value} at {exchange.host}): {text}" for text in found]


def _describe(body: bytes) -> str:
    """Return the begin of a body, without the long comments of large events."""
    text = body.replace(b"x" * LARGE_EVENT_BYTES, b"(x)")
    return f"{len(body)} bytes, {text[:200]!r}"


def _make_expected_bodies(exchange: Exchange) -> list[bytes]:
    """Return the possible bodies: a stream is of one software version."""
    if exchange.kind is not RequestKind.STREAM:
        return [make_response_body(exchange.id, is_large=exchange.is_large)]
    return [
        b"".join(
            make_event(number, software=software, is_large=exchange.is_large)
            for number in range(exchange.last_event + 1, EVENT_COUNT + 1)
        )
        for software in sorted(set(SOFTWARE))
    ]


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


def _check_failed_runs(observed: Observations) -> list[str]:
    """Check that nothing is passed on as a success of a run that had answered with a failure."""
    failed_runs = {run for upstream in observed.upstreams for run in upstream.failed_runs}
    return [
        f"{exchange.id} ({exchange.kind.value} at {exchange.host}): a success of the run "
        f"{exchange.response.run}, which had answered with a failure"
        for exchange in observed.history
        if exchange.response.run in failed_runs and 200 <= exchange.response.status < 300
    ]


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


def _check_departures(history: list[Exchange], upstream: SoakUpstream) -> list[str]:
    """Check that a process sends nothing to an upstream whose leaving it has passed on.

    Requests that a caller sent up to ``DRAIN_S`` after that may still arrive, and so may all that
    arrive after the upstream has come back. It may have come back before a response ends in which
    it has said that it leaves.
    """
    passed_on: dict[tuple[str, int], tuple[float, float]] = {}
    for exchange in history:
        if exchange.response.leaving_upstream == upstream.name and exchange.ended:
            process = (exchange.host, exchange.incarnation)
            said = upstream.said_leaving.get(exchange.id, exchange.ended)
            passed_on.setdefault(process, (said, exchange.ended))
    by_id = {exchange.id: exchange for exchange in history}
    violations = []
    for arrived, request_id in upstream.arrivals:
        exchange = by_id[request_id]
        said, left = passed_on.get((exchange.host, exchange.incarnation), (0.0, arrived))
        if exchange.sent <= left + DRAIN_S:
            continue
        if not any(said < at < arrived for at in upstream.rejoined_at):
            violations.append(
                f"{request_id} at {exchange.host}: sent to {upstream.name}, which left"
            )
    return violations


def _check_backoffs(history: list[Exchange], upstream: SoakUpstream) -> list[str]:
    """Check that a process leaves an upstream alone for as long as it has asked for.

    A refusal may be late on a slow link; the process has read it when its request has ended.
    """
    by_id = {exchange.id: exchange for exchange in history}
    processes = {exchange.id: (exchange.host, exchange.incarnation) for exchange in history}
    violations = []
    for refusal in upstream.refusals:
        process = processes[refusal.request_id]
        first = max(refusal.at + BACKOFF_SLACK_S, by_id[refusal.request_id].ended)
        last = refusal.at + refusal.seconds
        arrived = [
            request_id
            for at, request_id in upstream.arrivals
            if first < at < last and processes[request_id] == process
        ]
        if len(arrived) > MAX_DURING_BACKOFF:
            count = len(arrived)
            violations.append(f"{count} requests of {process[0]} reached {upstream.name} too soon")
    return violations


def _check_silences(observed: Observations) -> list[str]:
    """Check that the answer of a sound upstream that was silent for a while arrives whole.

    It need not if its caller's time was up, another upstream had begun to answer, or the process or
    the link to the upstream was disturbed meanwhile.
    """
    by_id = {exchange.id: exchange for exchange in observed.history}
    upstreams = {upstream.name: upstream for upstream in observed.upstreams}
    violations = []
    for silence in observed.silences:
        exchange = by_id[silence.request_id]
        if exchange.response.complete and 200 <= exchange.response.status < 300:
            continue
        # What ended the response before it is judged by _check_endings.
        if exchange.ending is Ending.BEHIND:
            continue
        others = [upstream for upstream in observed.upstreams if upstream.name != silence.upstream]
        if (
            exchange.ended < exchange.due - DUE_SLACK_S
            and not any(exchange.id in upstream.answered for upstream in others)
            and not _has_lost_link(observed, exchange, upstreams[silence.upstream])
            and not _has_lost_host(observed, exchange)
        ):
            violations.append(
                f"{exchange.id} ({exchange.kind.value} at {exchange.host}): {silence.upstream} was "
                f"silent for {silence.seconds:.1f} s, and its answer was lost: "
                f"{exchange.ending.value}, status {exchange.response.status} after "
                f"{exchange.ended - exchange.sent:.1f} s"
            )
    return violations


def _check_endings(observed: Observations) -> list[str]:
    """Check that every whole request gets a whole response, whatever happens to its connection.

    Only a stream may break off, and only if its time was up or an upstream or link has failed it.
    """
    violations = []
    served_from = _find_first_responses(observed.history)
    for exchange in observed.history:
        match exchange.ending:
            case Ending.MALFORMED:
                violations.append(
                    f"{exchange.id} ({exchange.kind.value} at {exchange.host}): "
                    f"{exchange.ending.value}"
                )
                continue
            case Ending.CLOSED:
                is_allowed = False
            case Ending.BROKEN:
                is_allowed = exchange.kind is RequestKind.STREAM and (
                    exchange.ended >= exchange.due - DUE_SLACK_S
                    or _has_failed_upstream(observed, exchange)
                )
            case Ending.TIMED_OUT:
                # A process whose first response comes later was still starting.
                process = (exchange.host, exchange.incarnation)
                is_allowed = exchange.ended < served_from.get(process, 0.0) or _is_disturbed(
                    observed, exchange, exchange.host, "host frozen"
                )
            case _:
                continue
        if not is_allowed and not _has_lost_host(observed, exchange):
            violations.append(
                f"{exchange.id} ({exchange.kind.value} at {exchange.host}): "
                f"{exchange.ending.value}, after {exchange.ended - exchange.sent:.2f} s"
            )
    return violations


def _find_first_responses(history: list[Exchange]) -> dict[tuple[str, int], float]:
    """Return when the first response of each process had arrived."""
    first: dict[tuple[str, int], float] = {}
    for exchange in history:
        if exchange.response.status:
            process = (exchange.host, exchange.incarnation)
            first[process] = min(exchange.ended, first.get(process, inf))
    return first


def _has_failed_upstream(observed: Observations, exchange: Exchange) -> bool:
    """Return whether an upstream that may have had the request misbehaved, or its link did."""
    return any(
        exchange.id in upstream.misbehaved or _has_lost_link(observed, exchange, upstream)
        for upstream in observed.upstreams
        if any(request_id == exchange.id for _, request_id in upstream.arrivals)
    )


def _has_lost_link(observed: Observations, exchange: Exchange, upstream: SoakUpstream) -> bool:
    return _is_disturbed(observed, exchange, f"link {upstream.link_port}", "link to an upstream")


def _has_lost_host(observed: Observations, exchange: Exchange) -> bool:
    """Return whether the process was killed, or ended an answer at the end of its grace.

    A request may also cross the orderly end of a process that has not passed it on. Any other one
    gets an answer, by which its caller learns that its outcome is unknown.
    """
    if _is_disturbed(observed, exchange, exchange.host, "host killed"):
        return True
    has_arrived = any(request_id == exchange.id for _, request_id in observed.arrivals)
    is_crossing = exchange.ended - exchange.sent < CROSSING_S and not has_arrived
    return any(
        stop.overlaps(exchange.sent, exchange.ended)
        and (
            (exchange.ending is not Ending.CLOSED and exchange.ended >= stop.began + FINISHING_S)
            or (is_crossing and exchange.sent >= stop.began)
        )
        for stop in observed.disturbances
        if (stop.target, stop.kind) == (exchange.host, "host stopped")
    )


def _is_disturbed(observed: Observations, exchange: Exchange, target: str, kind: str) -> bool:
    return any(
        disturbance.overlaps(exchange.sent, exchange.ended)
        for disturbance in observed.disturbances
        if (disturbance.target, disturbance.kind) == (target, kind)
    )


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
