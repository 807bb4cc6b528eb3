"""Upstreams as registered with the platform."""

from enum import Enum

from attrs import frozen

from cherrylane.settings.schema import Endpoint


class UpstreamState(Enum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Upstream:
    """One upstream of a service.

    ``incarnation`` distinguishes starts under the same name. ``slots`` is the number of requests
    that it processes concurrently. ``slow_start_s`` is how much longer it is slow after its start,
    0 also if its entry does not say so (``is_slow_start_known``).
    ``software`` is the version of its software.
    """

    name: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    state: UpstreamState
    incarnation: int = 0
    slow_start_s: float = 0.0
    software: str = ""
    is_slow_start_known: bool = True

    @property
    def key(self) -> tuple[str, int]:
        """The name and the incarnation, by which state about an upstream is kept."""
        return self.name, self.incarnation

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to this upstream."""
        return self.state is UpstreamState.READY
