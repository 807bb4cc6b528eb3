"""Settings of one host's process, whatever file they were read from."""

from attrs import field, frozen

from cherrylane.settings.schema import Endpoint


@frozen
class HostIdentity:
    """What a host is called and where it stands."""

    name: str
    address: str
    zone: str
    region: str


@frozen
class ListenAddresses:
    """Where the process listens; ``peers`` is used over both TCP and UDP."""

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
    """What the platform demands of a host.

    ``grace_s`` is how many seconds a stop may take, ``address_lifetime_s`` how many seconds callers
    may keep addresses at most, and ``load_multiple`` the most that one upstream may carry, as a
    multiple of the mean.
    """

    grace_s: float
    address_lifetime_s: float
    load_multiple: float


@frozen
class RetryBounds:
    """What all hosts together may repeat to a service within ``window_s`` seconds.

    That is ``share`` of the requests for it, and ``slack`` besides.
    """

    share: float
    window_s: float
    slack: float


@frozen
class GatewaySettings:
    """Everything that a process is told at its start, and again when it changes."""

    identity: HostIdentity
    listen: ListenAddresses
    store: StoreSettings
    bounds: FleetBounds
    retries: RetryBounds
    # Whether the whole system starts for the first time, so that nothing is left from before.
    is_first_start: bool = False
    zones: dict[str, str] = field(factory=dict)
    seeds: tuple[str, ...] = ()
    # Port on which metrics are served, 0 for none; it is the one that deploy/system.toml names.
    metrics_port: int = 9464
