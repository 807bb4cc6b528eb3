"""Immutable snapshots of the configuration and the upstreams that a host knows."""

from urllib.parse import quote

from attrs import field, frozen

from cherrylane.membership.evacuations import Evacuations
from cherrylane.platform.versions import NO_VERSION, StoreVersion
from cherrylane.routing.routes import DEFAULT_HEALTH_PATH, RouteTable, Service
from cherrylane.routing.upstreams import Upstream


@frozen
class KnownUpstream:
    """An upstream, and when this host first saw its present incarnation.

    ``joined_at`` is in seconds of the loop's clock.
    """

    upstream: Upstream
    joined_at: float


@frozen
class Snapshot:
    """The routing state of a host; it is replaced as a whole on each change.

    Versions are the lowest until the first data arrives. ``upstreams_updated_at`` is when
    the upstreams were last updated, in seconds of the loop's clock. ``evacuations`` is None while
    a host that has to observe them does not know them.
    """

    table: RouteTable | None = None
    upstreams_by_service: dict[str, tuple[KnownUpstream, ...]] = field(factory=dict)
    service_by_upstream: dict[str, str] = field(factory=dict)
    upstreams_version: StoreVersion = NO_VERSION
    upstreams_updated_at: float = 0.0
    evacuations: Evacuations | None = Evacuations()

    @property
    def config_version(self) -> int:
        """The version of the configuration in force on this host, 0 if there is none."""
        return self.table.configuration.version if self.table is not None else 0

    def may_send_to(self, upstream: Upstream) -> bool:
        """Return whether requests may be sent to the failure domain of an upstream."""
        evacuations = self.evacuations
        return evacuations is not None and upstream.zone not in evacuations.domains

    def get_kv_cache_tokens(self, upstream: str) -> int:
        """Return the KV cache size of an engine in tokens, 0 for other or unknown upstreams."""
        service = self._find_service(upstream)
        if service is None or service.engine is None:
            return 0
        return service.engine.kv_cache_tokens

    def get_max_connections(self, upstream: str) -> int:
        """Return how many connections an upstream accepts from all hosts together, 0 if unknown."""
        service = self._find_service(upstream)
        return service.max_connections if service is not None else 0

    def get_health_path(self, upstream: Upstream) -> bytes:
        """Return the path at which an upstream tells its health, as a request target."""
        service = self._find_service(upstream.name)
        path = DEFAULT_HEALTH_PATH if service is None else service.health_path
        # A configuration may hold text that is no UTF-8, or a path without its slash.
        return quote("/" + path.removeprefix("/"), safe="/?=&%", errors="replace").encode()

    def _find_service(self, upstream: str) -> Service | None:
        name = self.service_by_upstream.get(upstream)
        if name is None or self.table is None:
            return None
        return self.table.configuration.services.get(name)

    def list_upstreams(self, service: str) -> tuple[KnownUpstream, ...]:
        """Return the upstreams of a service, including draining ones."""
        return self.upstreams_by_service.get(service, ())
