"""Control traffic: bytes on the wire for each kind of message, and a node's sum at the target."""

from bench.figures import Figure, Target
from bench.wire import WireBench
from cherrylane.membership.liveness import WITNESSES

NODES = 1_700
ENGINES = 10_000
REQUESTS_PER_S = 91_000
DIRECT_SHARE = 0.8
PROBE_INTERVAL_S = 1.0
ACCOUNT_CHANGES_PER_DAY = 37_000
BUDGET = Target(8_000.0)
MESSAGES = 300


def measure_control() -> list[Figure]:
    """Bytes of probes and admissions, and what a node of the target size spends."""
    with WireBench() as wire:
        probe = wire.bytes_per_probe(MESSAGES)
        admission = wire.bytes_per_admission(MESSAGES)
    probes = probe * 2 * WITNESSES / PROBE_INTERVAL_S
    asked = REQUESTS_PER_S * (1.0 - DIRECT_SHARE) / NODES
    admissions = admission * 2 * asked
    return [
        Figure("control: a probe and its answer", probe, "bytes"),
        Figure("control: an ask, a grant and a release", admission, "bytes"),
        Figure(f"control: probes of a node, any number of nodes above {WITNESSES}", probes, "B/s"),
        Figure(f"control: admissions of a node of {NODES}, 80% at home", admissions, "B/s"),
        Figure(f"control: a node of {NODES} in all", probes + admissions, "B/s", target=BUDGET),
    ]
