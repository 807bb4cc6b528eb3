"""Upstreams as the platform lists them."""

from enum import Enum

from attrs import frozen

from cherrylane.settings.schema import Endpoint


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Upstream:
    """One upstream of a service.

    ``incarnation`` tells two starts under one name apart. ``slots`` is how many requests it works
    on at once. ``slow_start_s`` is how much longer it stays slow after its start.
    """

    name: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    state: UpstreamState
    incarnation: int = 0
    slow_start_s: float = 0.0

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.state is UpstreamState.READY
