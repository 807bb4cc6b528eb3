"""HTTP endpoints of a host beside the relay: readiness, host directory and metrics."""

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

# Seconds that callers may cache a list of addresses; a shorter time lets them notice a change of
# hosts sooner.
ADDRESS_LIFETIME_S = 2.0
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@frozen
class Endpoints:
    """Handlers for the readiness, directory and metrics listeners.

    ``address_lifetime_s`` is how long callers may cache the addresses, in seconds.
    """

    is_ready: Callable[[], bool]
    find_addresses: Callable[[], list[Endpoint]]
    telemetry: Telemetry
    address_lifetime_s: float = ADDRESS_LIFETIME_S

    async def handle_readiness(self, request: Request, responder: Responder) -> None:
        """Respond whether this host accepts requests; 404 for any other path."""
        if request.head.path != READY_PATH:
            responder.send(Response(404))
            return
        responder.send(encode_readiness(self.is_ready()))

    async def handle_directory(self, request: Request, responder: Responder) -> None:
        """Respond with the addresses of the ready hosts; 503 if there are none."""
        if request.head.path != RESOLVE_PATH:
            responder.send(Response(404))
            return
        addresses = self.find_addresses()
        if not addresses:
            responder.send(Response(503))
            return
        responder.send(encode_addresses(addresses, self.address_lifetime_s))

    async def handle_metrics(self, request: Request, responder: Responder) -> None:
        """Respond with all metrics in the Prometheus text format."""
        headers = ((b"Content-Type", METRICS_TYPE),)
        responder.send(Response(200, headers, self.telemetry.render().encode()))
