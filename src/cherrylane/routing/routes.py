"""Routes from hosts and paths to services, and the configuration they are part of."""

from collections.abc import Iterable
from enum import Enum

from attrs import field, frozen

from cherrylane.http.limits import InboundLimits


class RequestKind(Enum):
    """What may be repeated: ``SAFE`` requests always, the others at most once.

    A ``STREAM`` is answered by events; it may be repeated where its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class ServiceShare:
    """A service that a route sends to, and its share of the requests."""

    service: str
    weight: float = 1.0


@frozen
class Route:
    """Requests of one host whose path begins with a prefix.

    ``timeout_s`` is the longest time a request is kept waiting, ``target_s`` the time to
    the first part of an answer that is aimed at, ``target_event_gap_s`` the longest pause between
    events that is.
    ``max_attempts`` bounds the upstreams that one request is sent to. ``priority`` 0 goes first.
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
        """Whether a request may run more than once."""
        match self.kind:
            case RequestKind.SAFE:
                return True
            case RequestKind.UNSAFE:
                return False
            case RequestKind.STREAM:
                return self.is_resumable


@frozen
class EngineProfile:
    """What is configured of a service's model engines; memory is in tokens."""

    slots: int
    kv_cache_tokens: int


@frozen
class Service:
    """A set of upstreams that do the same work."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@frozen
class Account:
    """A client account: the keys that it calls with, and its priority if it has one."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@frozen
class Configuration:
    """One version of everything that operators set."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: InboundLimits
    accounts: tuple[Account, ...] = ()


@frozen
class RouteTable:
    """Finds routes and client accounts of one configuration.

    A route is found by trying the prefixes of the path from the longest, so a look-up takes as
    many steps as the path has slashes, however many routes there are.
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
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        routes = self._by_host.get(host.lower()) or self._by_host.get(_without_port(host))
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
        """Return the client account that holds ``key``."""
        return self._by_key.get(key)

    @property
    def has_accounts(self) -> bool:
        """Whether requests need a key."""
        return bool(self.configuration.accounts)


def choose_share(shares: Iterable[ServiceShare], position: float) -> str:
    """Return the service whose part of the weights ``position`` (0 to 1) falls into."""
    listed = [share for share in shares if share.weight > 0]
    left = position * sum(share.weight for share in listed)
    for share in listed:
        left -= share.weight
        if left < 0:
            return share.service
    return listed[-1].service


def _without_port(host: str) -> str:
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()
