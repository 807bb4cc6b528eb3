"""Routes that map a host and a path prefix to services, and the configuration with them."""

from collections.abc import Iterable
from enum import Enum

from attrs import field, frozen

from cherrylane.http.limits import InboundLimits

DEFAULT_HEALTH_PATH = "/health"


class RequestKind(Enum):
    """How often a request may be executed.

    ``SAFE`` requests may be executed any number of times, ``UNSAFE`` ones at most once. A
    ``STREAM`` is answered with events and may be executed again if its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class ServiceShare:
    """A service that a route sends requests to, and its weight among the route's services."""

    service: str
    weight: float = 1.0


@frozen
class Route:
    """How requests for one host are handled whose path starts with ``path_prefix``.

    ``timeout_s`` is the longest time that a request may wait for its answer. ``target_s`` is the
    targeted time to first byte, ``target_event_gap_s`` the targeted maximum between two events of
    a stream. ``max_attempts`` limits how many upstreams one request is sent to. ``priority`` 0 is
    the highest. A route that ``is_public`` needs no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    target_event_gap_s: float | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        match self.kind:
            case RequestKind.SAFE:
                return True
            case RequestKind.UNSAFE:
                return False
            case RequestKind.STREAM:
                return self.is_resumable


@frozen
class EngineProfile:
    """The configured capacity of each engine of a service: concurrent requests and KV cache."""

    slots: int
    kv_cache_tokens: int


@frozen
class Service:
    """A set of interchangeable upstreams.

    ``max_connections`` is how many connections each of them accepts from all hosts together;
    ``engine`` is set if they are model engines. At ``health_path`` they report their health. For
    ``cold_start_s`` seconds after its start an upstream takes ``cold_per_s`` requests a second; if
    either is 0, it is never cold.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    health_path: str = DEFAULT_HEALTH_PATH
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@frozen
class Account:
    """A client account: its API keys, and its priority if it has one of its own."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@frozen
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: InboundLimits
    accounts: tuple[Account, ...] = ()


@frozen
class RouteTable:
    """Looks up the routes and client accounts of one configuration.

    The prefixes of a path are tried from the longest, so a look-up takes at most as many steps as
    the path has slashes, regardless of the number of routes.
    """

    configuration: Configuration
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False)
    _by_key: dict[str, Account] = field(init=False, repr=False)

    @_by_host.default
    def _index_routes(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.configuration.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        return by_host

    @_by_key.default
    def _index_keys(self) -> dict[str, Account]:
        return {key: account for account in self.configuration.accounts for key in account.keys}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``, if any."""
        routes = self._by_host.get(host.lower()) or self._by_host.get(_strip_port(host))
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the client account with the API key ``key``, if any."""
        return self._by_key.get(key)

    @property
    def has_accounts(self) -> bool:
        """Whether there are client accounts, so that requests on non-public routes need a key."""
        return bool(self.configuration.accounts)


def choose_share(shares: Iterable[ServiceShare], position: float) -> str:
    """Return the service at ``position`` of the cumulative weights.

    ``position`` is a fraction of the total weight, from 0 up to but not including 1.
    """
    weighted = [share for share in shares if share.weight > 0]
    remaining = position * sum(share.weight for share in weighted)
    for share in weighted:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return weighted[-1].service


def _strip_port(host: str) -> str:
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()
