"""What a host knows at one moment: the configuration and the upstreams, with their versions."""

from attrs import field, frozen

from cherrylane.routing.routes import RouteTable, Service
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
    upstreams_by_service: dict[str, tuple[KnownUpstream, ...]] = field(factory=dict)
    service_by_upstream: dict[str, str] = field(factory=dict)
    upstreams_version: int = 0
    upstreams_taken_at: float = 0.0

    @property
    def config_version(self) -> int:
        """The version of the configuration in force here."""
        return self.table.configuration.version if self.table is not None else 0

    def get_kv_cache_tokens(self, upstream: str) -> int:
        """Return the memory in tokens of an engine, 0 if it is not known as one."""
        service = self._find_service(upstream)
        if service is None or service.engine is None:
            return 0
        return service.engine.kv_cache_tokens

    def get_max_connections(self, upstream: str) -> int:
        """Return how many connections an upstream accepts from all hosts, 0 if not known."""
        service = self._find_service(upstream)
        return service.max_connections if service is not None else 0

    def _find_service(self, upstream: str) -> Service | None:
        name = self.service_by_upstream.get(upstream)
        if name is None or self.table is None:
            return None
        return self.table.configuration.services.get(name)

    def list_upstreams(self, service: str) -> tuple[KnownUpstream, ...]:
        """Return the upstreams of a service, those that are draining too."""
        return self.upstreams_by_service.get(service, ())
