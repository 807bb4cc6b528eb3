"""Log lines for routing and placement decisions, without request contents or API keys."""

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
    """This host became or stopped being home of a pool, or an upstream moved."""

    subject: str
    action: str
    reason: str


def log_routing(decision: RoutingDecision) -> None:
    """Log a routing decision."""
    log.info("routing", extra=asdict(decision))


def log_placement(decision: PlacementDecision) -> None:
    """Log a placement decision."""
    log.info("placement", extra=asdict(decision))
