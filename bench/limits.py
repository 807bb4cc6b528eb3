"""Request limits shared by all hosts and origins of streams: time per decision, bytes, memory."""

from functools import partial

from attrs import evolve, frozen

from bench.figures import Figure
from bench.gateway import measure_retained_bytes, time_call
from cherrylane.gossip.messages import Heartbeat, HostState, UpstreamRate
from cherrylane.limits.outliers import OutlierDetector
from cherrylane.limits.rate_limits import RateLimit, UpstreamRateLimits
from cherrylane.membership.software_versions import SoftwareVersions
from cherrylane.placement.choice import Chooser
from cherrylane.placement.loads import LoadTracker
from cherrylane.relay.request import CallerRequest, Prompt, PromptPart
from cherrylane.relay.selection import UpstreamSelector
from cherrylane.relay.stream_origins import (
    MAX_STREAMS,
    StreamBinder,
    StreamOrigin,
    StreamOrigins,
    group_streams,
    identify_stream,
)
from cherrylane.routing.routes import RequestKind, Route, ServiceShare
from cherrylane.routing.snapshot import KnownUpstream, Snapshot
from cherrylane.routing.upstreams import Upstream, UpstreamState
from cherrylane.settings.schema import Endpoint

REQUESTS_PER_S = 3.0
STREAMS_IN_HEARTBEAT = 17


@frozen
class FleetSize:
    """The hosts of a fleet, and the engines of one service."""

    hosts: int
    engines: int


SIZES = (FleetSize(7, 5), FleetSize(73, 45), FleetSize(195, 59), FleetSize(1_700, 2_000))


def measure_limits() -> list[Figure]:
    """Measure choice with limits in force, a change of hosts, and what origins cost."""
    return [
        *(_measure_choice(size) for size in SIZES[:3]),
        *(_measure_shares(size) for size in SIZES),
        *_measure_heartbeat(),
        *_measure_origins(),
    ]


def _make_limits(size: FleetSize) -> UpstreamRateLimits:
    hosts = [f"10.0.{number // 256}.{number % 256}" for number in range(size.hosts)]
    limits = UpstreamRateLimits()
    limits.set_hosts(hosts[0], hosts, 0.0)
    for number in range(size.engines):
        limits.record(f"i-{number:08x}", 0, RateLimit(REQUESTS_PER_S), 0.0)
    return limits


def _measure_choice(size: FleetSize) -> Figure:
    upstreams = [
        Upstream(f"i-{n:08x}", "s", Endpoint("10.0.0.1", 80), "a", 64, UpstreamState.READY)
        for n in range(size.engines)
    ]
    known = tuple(KnownUpstream(upstream, 0.0) for upstream in upstreams)
    snapshot = Snapshot(upstreams_by_service={"s": known})
    selectors = [
        UpstreamSelector(
            Chooser("a", 2.0), LoadTracker(), OutlierDetector(), rate_limits=rate_limits
        )
        for rate_limits in (_make_limits(size), UpstreamRateLimits())
    ]
    request = _make_request("r")
    limited, unlimited = (
        time_call(partial(selector.choose, request, snapshot, set(), 100.0), 200)
        for selector in selectors
    )
    return Figure(
        f"limits: choice, {size.engines} engines limited", limited, "us", "no limit", unlimited
    )


def _measure_shares(size: FleetSize) -> Figure:
    limits = _make_limits(size)
    hosts = [f"10.0.{number // 256}.{number % 256}" for number in range(size.hosts)]
    calls = iter(range(10**9))

    def change_hosts() -> None:
        limits.set_hosts(hosts[0], hosts[: len(hosts) - next(calls) % 2], 0.0)

    return Figure(
        f"limits: a host joins or leaves {size.hosts}, {size.engines} engines limited",
        time_call(change_hosts, 2),
        "us",
    )


def _measure_heartbeat() -> list[Figure]:
    plain = Heartbeat("front-a-1", "0123456789ab", "a", HostState.READY, Endpoint("10.0.0.1", 80))
    rates = tuple(UpstreamRate(f"i-{n:010x}", 1_764_000_000_000, 4.5, 250) for n in range(6))
    keys = [(identify_stream(str(n)), StreamOrigin("s", "v1")) for n in range(STREAMS_IN_HEARTBEAT)]
    base = len(plain.encode())
    limited = evolve(plain, rates=rates)
    mixed = evolve(plain, streams=group_streams(keys), knows_versions=True)
    return [
        Figure("limits: six limits in a heartbeat", len(limited.encode()) - base, "bytes"),
        Figure(
            f"origins: {STREAMS_IN_HEARTBEAT} streams in a heartbeat",
            len(mixed.encode()) - base,
            "bytes",
        ),
    ]


def _measure_origins() -> list[Figure]:
    def make_origins() -> StreamOrigins:
        origins = StreamOrigins()
        for number in range(2 * MAX_STREAMS):
            origins.record(identify_stream(str(number)), StreamOrigin("s", "v1"), 0.0)
        return origins

    versions = SoftwareVersions(knows_all=True)
    versions.record_in_use("s", ["v1", "v2"], 0.0)
    binder = StreamBinder(make_origins(), versions)
    begun, taken_up = _make_request("5"), _make_request("r", resumes="5", resume_after="3")
    return [
        Figure(
            "origins: a stream begins",
            time_call(lambda: binder.record_begun(begun, StreamOrigin("s", "v1"), 1.0), 2_000),
            "us",
        ),
        Figure(
            "origins: a stream is taken up",
            time_call(lambda: binder.find(taken_up, 1.0), 2_000),
            "us",
        ),
        Figure(
            "origins memory: a stream",
            measure_retained_bytes(make_origins) / (2 * MAX_STREAMS),
            "bytes",
        ),
    ]


def _make_request(request_id: str, *, resumes: str = "", resume_after: str = "") -> CallerRequest:
    route = Route(
        "r",
        "desk.example",
        "/x/",
        RequestKind.STREAM,
        (ServiceShare("s"),),
        timeout_s=5.0,
        target_s=1.0,
        max_attempts=2,
        is_resumable=True,
    )
    return CallerRequest(
        request_id,
        b"POST",
        b"/x/",
        (),
        b"",
        has_body=False,
        received=0.0,
        caller_deadline=5.0,
        route=route,
        service="s",
        prompt=Prompt("m", tuple(PromptPart(f"{n:08x}", 500) for n in range(3))),
        resumes=resumes,
        resume_after=resume_after,
    )
