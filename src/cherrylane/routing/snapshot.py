"""What a host knows at one moment: the configuration and the upstreams, with their versions."""

from attrs import field, frozen

from cherrylane.routing.routes import RouteTable
from cherrylane.routing.upstreams import Upstream


@frozen
class KnownUpstream:
    """An upstream, and when this host first saw it in seconds of the loop's clock."""

    upstream: Upstream
    joined_at: float


@frozen
class Snapshot:
    """Everything that requests are routed by; replaced as a whole when something changes.

    Versions are 0 while nothing is known; times are in seconds of the loop's clock.
    """

    table: RouteTable | None = None
    services: dict[str, tuple[KnownUpstream, ...]] = field(factory=dict)
    service_by_upstream: dict[str, str] = field(factory=dict)
    upstreams_version: int = 0
    upstreams_taken_at: float = 0.0

    @property
    def config_version(self) -> int:
        """The version of the configuration in force here."""
        return self.table.configuration.version if self.table is not None else 0

    def memory_of(self, upstream: str) -> int:
        """Return the memory in tokens of an engine, 0 if it is not known as one."""
        service = self.service_by_upstream.get(upstream)
        if service is None or self.table is None:
            return 0
        configured = self.table.configuration.services.get(service)
        if configured is None or configured.engine is None:
            return 0
        return configured.engine.memory_tokens

    def upstreams_of(self, service: str) -> tuple[KnownUpstream, ...]:
        """Return the upstreams of a service, those that are draining too."""
        return self.services.get(service, ())
