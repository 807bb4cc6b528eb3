"""Control traffic: bytes on the wire per exchange, and a node's total at the target fleet size."""

from bench.figures import Figure, Target
from bench.wire import WireBench
from cherrylane.membership.failure_detector import WITNESS_COUNT

NODES = 1_700
REQUESTS_PER_S = 91_000
DIRECT_SHARE = 0.8
PROBE_INTERVAL_S = 1.0
TRAFFIC_TARGET = Target(8_000.0)
CPU_TARGET = Target(4.3)
MESSAGES = 300


def measure_control() -> list[Figure]:
    """Measure probes and admissions, and compute a node's cost in a fleet of the target size."""
    with WireBench() as wire:
        probe = wire.measure_probe_bytes(MESSAGES)
        admission = wire.measure_admission_bytes(MESSAGES)
        probe_s = wire.time_probes(MESSAGES)
        admission_s = wire.time_admissions(MESSAGES)
    probes = probe * 2 * WITNESS_COUNT / PROBE_INTERVAL_S
    admissions_per_s = REQUESTS_PER_S * (1.0 - DIRECT_SHARE) / NODES
    admissions = admission * 2 * admissions_per_s
    # The times cover both sides of an exchange. A node takes part in twice as many exchanges as it
    # starts, each time on one side only, so the two factors cancel out.
    core_share = (
        probe_s * WITNESS_COUNT / PROBE_INTERVAL_S + admission_s * admissions_per_s
    ) * 100.0
    return [
        Figure("control: a probe and its answer", probe, "bytes"),
        Figure("control: an ask, a grant and a release", admission, "bytes"),
        Figure(
            f"control: probes of a node, any number of nodes above {WITNESS_COUNT}", probes, "B/s"
        ),
        Figure(f"control: admissions of a node of {NODES}, 80% at home", admissions, "B/s"),
        Figure("control: processor time of a probe, both sides", probe_s * 1e6, "us"),
        Figure("control: processor time of an admission, both sides", admission_s * 1e6, "us"),
        Figure(f"control: a node of {NODES}", core_share, "% of a core", target=CPU_TARGET),
        Figure(
            f"control: a node of {NODES} in all", probes + admissions, "B/s", target=TRAFFIC_TARGET
        ),
    ]
