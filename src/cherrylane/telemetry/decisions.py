"""One log line for each decision about where a request goes; never with its text or its key."""

from attrs import asdict, frozen
from logbook import Logger

log = Logger("cherrylane.decisions")


@frozen
class RoutingDecision:
    """An attempt was admitted to an upstream, or refused."""

    request: str
    chat: str
    account: str
    service: str
    upstream: str
    attempt: int
    reason: str
    home: str = ""
    work: float = 0.0
    cached_tokens: int = 0
    decision_ms: float = 0.0


@frozen
class PlacementDecision:
    """A pool was taken over or given up by this host, or an upstream changed its place."""

    subject: str
    action: str
    reason: str


def log_routing(decision: RoutingDecision) -> None:
    """Write the line of a routing decision."""
    log.info("routing", extra=asdict(decision))


def log_placement(decision: PlacementDecision) -> None:
    """Write the line of a placement decision."""
    log.info("placement", extra=asdict(decision))
