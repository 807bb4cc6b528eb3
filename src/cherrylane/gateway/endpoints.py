"""What callers and the platform ask a host besides requests: readiness, addresses, metrics."""

from collections.abc import Callable

from attrs import frozen

from cherrylane.http.messages import Request, Response
from cherrylane.http.responder import Responder
from cherrylane.platform.directory import (
    READY_PATH,
    RESOLVE_PATH,
    encode_addresses,
    encode_readiness,
)
from cherrylane.settings.schema import Endpoint
from cherrylane.telemetry.counters import Telemetry

# Seconds that callers may keep an answer about addresses; a shorter time follows hosts sooner.
ADDRESS_LIFETIME_S = 2.0
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@frozen
class Endpoints:
    """Answers these questions by what the daemon says of itself."""

    is_ready: Callable[[], bool]
    find_addresses: Callable[[], list[Endpoint]]
    telemetry: Telemetry
    address_lifetime_s: float = ADDRESS_LIFETIME_S

    async def handle_readiness(self, request: Request, responder: Responder) -> None:
        """Say whether this host takes callers."""
        if request.head.path != READY_PATH:
            responder.send(Response(404))
            return
        responder.send(encode_readiness(self.is_ready()))

    async def handle_directory(self, request: Request, responder: Responder) -> None:
        """Name the hosts that callers may connect to."""
        if request.head.path != RESOLVE_PATH:
            responder.send(Response(404))
            return
        addresses = self.find_addresses()
        if not addresses:
            responder.send(Response(503))
            return
        responder.send(encode_addresses(addresses, self.address_lifetime_s))

    async def handle_metrics(self, request: Request, responder: Responder) -> None:
        """Show counters, gauges and histograms."""
        headers = ((b"Content-Type", METRICS_TYPE),)
        responder.send(Response(200, headers, self.telemetry.render().encode()))
