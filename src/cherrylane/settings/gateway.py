"""Settings of one host's gateway process, independent of the file that they are read from."""

from attrs import field, frozen

from cherrylane.http.memory import DEFAULT_MEMORY_BYTES
from cherrylane.limits.cold.rules import ColdBounds
from cherrylane.settings.schema import Endpoint


@frozen
class HostIdentity:
    """The name, address and location of a host."""

    name: str
    address: str
    zone: str
    region: str


@frozen
class ListenAddresses:
    """The addresses that the process listens on; ``peers`` is used for both TCP and UDP."""

    callers: Endpoint
    readiness: Endpoint
    directory: Endpoint
    peers: Endpoint


@frozen
class StoreSettings:
    """The platform's object store."""

    endpoint: Endpoint


@frozen
class FleetBounds:
    """Limits that the platform sets for a host.

    ``grace_s`` is the maximum duration of a shutdown and ``address_lifetime_s`` the maximum time
    for which callers may keep addresses, both in seconds. ``load_multiple`` is the maximum load of
    one upstream, as a multiple of the mean. ``evacuate_s`` is the time in which a failure domain
    that an operator evacuates gets no more requests, None if the platform has no evacuations.
    """

    grace_s: float
    address_lifetime_s: float
    load_multiple: float
    # What cold upstreams may get, None if that is not bounded.
    cold: ColdBounds | None = None
    evacuate_s: float | None = None


@frozen
class RetryBounds:
    """The retry budget of a service, for all hosts together.

    Within ``window_s`` seconds, hosts may retry a ``share`` of the requests to the service, and
    ``slack`` requests in addition.
    """

    share: float
    window_s: float
    slack: float


@frozen
class GatewaySettings:
    """All settings of a process, read when it starts and again when they change."""

    identity: HostIdentity
    listen: ListenAddresses
    store: StoreSettings
    bounds: FleetBounds
    retries: RetryBounds
    # Whether the whole system starts for the first time, so that no earlier state exists.
    is_first_start: bool = False
    zones: dict[str, str] = field(factory=dict)
    seeds: tuple[str, ...] = ()
    # Memory of the process, beyond which the platform ends it.
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    # Open descriptors of the process at the most, 0 if there is no limit.
    max_descriptors: int = 0
    # Port on which metrics are served, 0 for none; the default is the port in deploy/system.toml.
    metrics_port: int = 9464
