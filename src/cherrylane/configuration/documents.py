"""Schema of the documents that operators write: the base document and the site overlays."""

from enum import Enum

from attrs import field, frozen
from attrs.validators import and_, ge, gt, le, matches_re

from cherrylane.settings.schema import NAME_PATTERN, check_secret

SHA256_PATTERN = r"[0-9a-f]{64}"
DEFAULT_REPEATABLE_METHODS = ("GET", "HEAD", "OPTIONS")


class ServiceKind(Enum):
    """The type of backend that a service forwards requests to."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(Enum):
    """Scheduling class of an account; queued requests are admitted in this order."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@frozen
class BoundSettings:
    """Limits on the load of an engine, where load is the expected tokens of outstanding work.

    ``load_multiple`` limits an engine's load to this multiple of the mean load of the service's
    engines. ``capacity_tokens`` limits an engine of weight 1 whatever the mean is; an idle engine
    takes one request of any size. ``pools`` is the number of pools that the service's engines are
    divided into.

    Expected work is only an estimate: ``estimate_margin`` is the fraction of the multiple that is
    reserved for prompts that turn out not to be cached. ``mean_margin`` is the fraction by which
    the load of the service's other pools may have fallen since it was last reported.
    """

    load_multiple: float = field(default=1.5, validator=and_(gt(1.0), le(16.0)))
    capacity_tokens: float = field(default=200_000.0, validator=gt(0))
    pools: int = field(default=1, validator=and_(ge(1), le(65536)))
    mean_margin: float = field(default=0.05, validator=and_(ge(0.0), le(0.9)))
    estimate_margin: float = field(default=0.02, validator=and_(ge(0.0), le(0.5)))


@frozen
class HealthSettings:
    """Ejection of unhealthy engines, and slow start of engines that join.

    An engine is ejected when it is unreachable, after ``failures_tolerated`` consecutive failures,
    or when it flaps on the platform's list. An ejection lasts ``aside_s`` seconds, doubling each
    time up to ``max_aside_s``; at most the fraction ``max_aside_share`` of the engines is ejected
    at once. An engine that joins or returns from an ejection starts with the fraction
    ``slow_start_share`` of its weight and reaches full weight after ``slow_start_s`` seconds.
    ``flap_half_life_s`` is the half-life of the count of times that the engine disappeared from
    the platform's list.
    """

    failures_tolerated: int = field(default=5, validator=ge(1))
    aside_s: float = field(default=2.0, validator=gt(0))
    max_aside_s: float = field(default=60.0, validator=gt(0))
    max_aside_share: float = field(default=0.5, validator=and_(ge(0.0), le(1.0)))
    slow_start_s: float = field(default=3.0, validator=gt(0))
    slow_start_share: float = field(default=0.1, validator=and_(gt(0.0), le(1.0)))
    flap_half_life_s: float = field(default=60.0, validator=gt(0))


@frozen
class QueueSettings:
    """Limits on the length of an engine pool's admission queue and on the time spent in it."""

    max_waiting: int = field(default=512, validator=ge(0))
    max_wait_s: float = field(default=5.0, validator=gt(0))


@frozen
class Service:
    """A service: engines that serve models, or a plain HTTP service with its own paths.

    ``models`` are the model names, including adapters, that callers may request. A ``shared``
    service accepts the client accounts of every site, any other service only those of its own
    site. ``repeatable_methods`` are the idempotent HTTP methods of the service, which may be
    retried.
    """

    kind: ServiceKind
    models: list[str] = field(factory=list)
    shared: bool = False
    bound: BoundSettings = field(factory=BoundSettings)
    queue: QueueSettings = field(factory=QueueSettings)
    health: HealthSettings = field(factory=HealthSettings)
    repeatable_methods: list[str] = field(factory=lambda: list(DEFAULT_REPEATABLE_METHODS))
    expected_answer_tokens: int = field(default=400, validator=gt(0))


@frozen
class ClientAccount:
    """A caller of the fleet, identified by the SHA-256 digest of its API key.

    ``weight`` is the account's weight in the fair queueing of waiting requests.
    """

    name: str = field(validator=matches_re(NAME_PATTERN))
    key_sha256: str = field(validator=matches_re(SHA256_PATTERN), repr=False)
    weight: float = field(default=1.0, validator=gt(0))
    priority: Priority = Priority.INTERACTIVE
    max_concurrent: int = field(default=1000, validator=ge(1))


@frozen
class SiteEntry:
    """A site as declared in the base document, with the firm that owns it."""

    firm: str = field(validator=matches_re(NAME_PATTERN))


@frozen
class Base:
    """The base document, shared by both firms: the sites, and defaults for all services."""

    sites: dict[str, SiteEntry]
    bound: BoundSettings = field(factory=BoundSettings)
    queue: QueueSettings = field(factory=QueueSettings)
    health: HealthSettings = field(factory=HealthSettings)


@frozen
class ServiceOverlay:
    """A service as written in an overlay; settings of None default to those of the base."""

    kind: ServiceKind
    models: list[str] = field(factory=list)
    shared: bool = False
    bound: BoundSettings | None = None
    queue: QueueSettings | None = None
    health: HealthSettings | None = None
    repeatable_methods: list[str] = field(factory=lambda: list(DEFAULT_REPEATABLE_METHODS))
    expected_answer_tokens: int = field(default=400, validator=gt(0))


@frozen
class Overlay:
    """The document of one site: its services, its client accounts and its hint signing key."""

    site: str = field(validator=matches_re(NAME_PATTERN))
    hint_key: str = field(validator=check_secret, repr=False)
    services: dict[str, ServiceOverlay] = field(factory=dict)
    accounts: list[ClientAccount] = field(factory=list)
