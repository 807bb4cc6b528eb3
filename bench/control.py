"""Control traffic: bytes on the wire for each kind of message, and a node's sum at the target."""

from bench.figures import Figure, Target
from bench.wire import WireBench
from cherrylane.membership.failure_detector import WITNESS_COUNT

NODES = 1_700
REQUESTS_PER_S = 91_000
DIRECT_SHARE = 0.8
PROBE_INTERVAL_S = 1.0
BUDGET = Target(8_000.0)
CORE = Target(4.3)
MESSAGES = 300


def measure_control() -> list[Figure]:
    """Bytes of probes and admissions, and what a node of the target size spends."""
    with WireBench() as wire:
        probe = wire.bytes_per_probe(MESSAGES)
        admission = wire.bytes_per_admission(MESSAGES)
        probe_s = wire.time_probes(MESSAGES)
        admission_s = wire.admit_many(MESSAGES)
    probes = probe * 2 * WITNESS_COUNT / PROBE_INTERVAL_S
    asked = REQUESTS_PER_S * (1.0 - DIRECT_SHARE) / NODES
    admissions = admission * 2 * asked
    # A node is one of the two sides in twice as many exchanges as it begins.
    core_share = (probe_s * WITNESS_COUNT / PROBE_INTERVAL_S + admission_s * asked) * 100.0
    return [
        Figure("control: a probe and its answer", probe, "bytes"),
        Figure("control: an ask, a grant and a release", admission, "bytes"),
        Figure(
            f"control: probes of a node, any number of nodes above {WITNESS_COUNT}", probes, "B/s"
        ),
        Figure(f"control: admissions of a node of {NODES}, 80% at home", admissions, "B/s"),
        Figure("control: processor time of a probe, both sides", probe_s * 1e6, "us"),
        Figure("control: processor time of an admission, both sides", admission_s * 1e6, "us"),
        Figure(f"control: a node of {NODES}", core_share, "% of a core", target=CORE),
        Figure(f"control: a node of {NODES} in all", probes + admissions, "B/s", target=BUDGET),
    ]
