"""The documents that operators write: the base file and each site's overlay."""

from enum import Enum

from attrs import field, frozen
from attrs.validators import and_, ge, gt, le, matches_re

from cherrylane.settings.schema import NAME_PATTERN, check_secret

SHA256_PATTERN = r"[0-9a-f]{64}"
DEFAULT_REPEATABLE_METHODS = ("GET", "HEAD", "OPTIONS")


class ServiceKind(Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(Enum):
    """The order in which waiting requests are admitted."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@frozen
class BoundSettings:
    """How much work an engine may carry.

    ``load_multiple`` is the bound as a multiple of the mean over the service's engines, in expected
    tokens of work. ``capacity_tokens`` is the most work one engine of weight 1 is given at all.
    Work that is expected is not work done: ``estimate_margin`` is the share of the multiple that is
    kept free for prompts that turn out not to be cached. ``mean_margin`` is the share by which the
    reported load of the service's other pools may have fallen since.
    """

    load_multiple: float = field(default=1.5, validator=and_(gt(1.0), le(16.0)))
    capacity_tokens: float = field(default=200_000.0, validator=gt(0))
    pools: int = field(default=1, validator=and_(ge(1), le(65536)))
    mean_margin: float = field(default=0.05, validator=and_(ge(0.0), le(0.9)))
    estimate_margin: float = field(default=0.02, validator=and_(ge(0.0), le(0.5)))


@frozen
class HealthSettings:
    """When an engine is put aside, and how one that joins starts.

    ``aside_s`` doubles each time up to ``max_aside_s``; ``max_aside_share`` of the engines may be
    aside at once. An engine that joins begins with ``slow_start_share`` of its weight and has all
    of it after ``slow_start_s``.
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
    """How many requests may wait at an engine's home, and for how long."""

    max_waiting: int = field(default=512, validator=ge(0))
    max_wait_s: float = field(default=5.0, validator=gt(0))


@frozen
class Service:
    """One service: engines that serve models, or a plain service with paths of its own.

    ``models`` are the model names (adapters included) that callers may ask for. A ``shared``
    service is open to the client accounts of every site, any other only to those of its own.
    ``repeatable_methods`` are the methods that may run twice without harm.
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
    """Someone who calls the fleet, known by the SHA-256 of an API key.

    ``weight`` is the account's share when requests wait.
    """

    name: str = field(validator=matches_re(NAME_PATTERN))
    key_sha256: str = field(validator=matches_re(SHA256_PATTERN), repr=False)
    weight: float = field(default=1.0, validator=gt(0))
    priority: Priority = Priority.INTERACTIVE
    max_concurrent: int = field(default=1000, validator=ge(1))


@frozen
class SiteEntry:
    """A site as the base file names it: the firm it belongs to."""

    firm: str = field(validator=matches_re(NAME_PATTERN))


@frozen
class Base:
    """What both firms share: the sites of the term and the defaults of every service."""

    sites: dict[str, SiteEntry]
    bound: BoundSettings = field(factory=BoundSettings)
    queue: QueueSettings = field(factory=QueueSettings)
    health: HealthSettings = field(factory=HealthSettings)


@frozen
class ServiceOverlay:
    """A service as an overlay writes it; what is left out comes from the base."""

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
    """What one site adds: its services, its client accounts and the key that signs its hints."""

    site: str = field(validator=matches_re(NAME_PATTERN))
    hint_key: str = field(validator=check_secret, repr=False)
    services: dict[str, ServiceOverlay] = field(factory=dict)
    accounts: list[ClientAccount] = field(factory=list)
