"""Request path: one admission per request, compared with forwarding each event through the home."""

from bench.figures import Figure, Target
from bench.wire import WireBench, time_forwarded_events

EVENTS = 20_000
ADMISSIONS = 1_000
EVENTS_PER_REQUEST = 395
MICROSECONDS = 1e6
RATIO_TARGET = Target(1.0)


def measure_path() -> list[Figure]:
    """Measure the processor time of both designs for a request of the target's mean length."""
    forwarding_s = time_forwarded_events(EVENTS) * EVENTS_PER_REQUEST
    with WireBench() as bench:
        admission_s = bench.time_admissions(ADMISSIONS)
    return [
        Figure(
            f"path: processor time a request of {EVENTS_PER_REQUEST} events beside relaying",
            admission_s * MICROSECONDS,
            "us",
            "forward by gRPC",
            forwarding_s * MICROSECONDS,
            RATIO_TARGET,
            target_on_ratio=True,
        ),
        Figure(
            "path: processor time of an event forwarded by gRPC",
            forwarding_s / EVENTS_PER_REQUEST * MICROSECONDS,
            "us",
        ),
    ]
