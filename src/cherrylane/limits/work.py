"""Admission requests (``AdmissionRequest``) and their answers (``Grant`` or ``AdmissionRefusal``).

Work is measured in tokens. An answer token counts one; a prompt token that is not in the engine's
cache counts ``PREFILL_COST``, because engines prefill many tokens at once.
"""

from attrs import frozen

from cherrylane.configuration.documents import Priority
from cherrylane.limits.caches import CachedChat, Certainty
from cherrylane.routing.homes import PoolKey

PREFILL_COST = 0.05

HOME_MOVED = "home_moved"
NO_ENGINE = "no_engine"
OVERLOADED = "overloaded"
OVER_BOUND = "over_bound"


@frozen
class AccountShare:
    """The limits of a client account that apply to admission."""

    name: str
    weight: float = 1.0
    priority: Priority = Priority.INTERACTIVE
    max_concurrent: int = 1000


@frozen
class AdmissionRequest:
    """A request for admission to any engine of ``pool``.

    ``id`` is unique in the fleet and becomes the id of the grant. ``holder`` names the host and
    incarnation of the daemon that will send the request to the engine. ``hinted`` is the engine
    named by the caller's hint. ``excluded`` engines were tried already. ``wait_s`` is the maximum
    wait in seconds. Without ``may_wait`` the pool's home refuses at once when no engine is free,
    so that another pool can be tried. ``may_exceed_bound`` means that other pools were tried, and
    that the least loaded engine may be chosen even above the load bound.
    """

    id: str
    pool: PoolKey
    account: AccountShare
    chat: int
    model: str
    prompt_tokens: int
    answer_tokens: int
    holder: str = ""
    hinted: str = ""
    hinted_tokens: int = 0
    excluded: tuple[str, ...] = ()
    zone: str = ""
    wait_s: float = 5.0
    may_wait: bool = True
    may_exceed_bound: bool = False


@frozen
class Grant:
    """Permission to send one request to ``engine``; ``work`` counts as load until released."""

    id: str
    holder: str
    pool: PoolKey
    engine: str
    account: str
    work: float
    cached: CachedChat | None = None
    reason: str = ""

    @property
    def cached_tokens(self) -> int:
        """The prompt tokens that the pool's home counts as cached."""
        return count_cached(self.cached)


@frozen
class GrantOutcome:
    """The outcome of a granted request.

    ``found_tokens`` is the number of prompt tokens that the engine reported as cached, None if it
    did not report any number. ``unreachable`` means that no connection to the engine could be
    opened, ``failed`` that the engine broke off its answer or answered with a server error.
    """

    found_tokens: int | None = None
    unreachable: bool = False
    failed: bool = False


UNREPORTED = GrantOutcome()


@frozen
class AdmissionRefusal:
    """The answer of a pool's home that refuses a request.

    ``least_load`` is the smallest load per weight among the pool's engines, in tokens.
    """

    id: str
    code: str
    message: str
    retry_after_s: float
    least_load: float = 0.0


def count_cached(cached: CachedChat | None) -> int:
    """Return the tokens expected to be cached; doubtful entries count as none."""
    if cached is None or cached.certainty is Certainty.DOUBTFUL:
        return 0
    return cached.tokens


def estimate_work(request: AdmissionRequest, cached: CachedChat | None) -> float:
    """Return the expected work of ``request`` in tokens, given what is cached."""
    uncached = max(0, request.prompt_tokens - count_cached(cached))
    return PREFILL_COST * uncached + request.answer_tokens
