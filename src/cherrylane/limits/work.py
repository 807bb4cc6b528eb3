"""Asks for admission, and the answers to them.

Work is counted in tokens: an answer token counts one, and a prompt token that is not in the
engine's cache counts ``PREFILL_COST``, because engines prefill many tokens at once.
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
    """What admission needs to know of the client account that asks."""

    name: str
    weight: float = 1.0
    priority: Priority = Priority.INTERACTIVE
    max_concurrent: int = 1000


@frozen
class Ask:
    """A request's ask to be admitted to some engine of ``pool``.

    ``id`` is unique in the fleet and becomes the grant's. ``holder`` is the host, and the run of
    its daemon, that will talk to the engine. ``hinted`` is the engine that the caller's hint
    names. ``excluded`` engines were tried already. ``wait_s`` is how long it may wait for one;
    without ``may_wait`` a home that has none free refuses at once, so that another can be asked.
    ``may_exceed_bound`` says that other pools were asked and the least loaded engine is to be
    taken.
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
    """Leave to send one request to ``engine``; ``work`` counts as its load until released."""

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
        """How much of the prompt the home counts as cached."""
        return count_cached(self.cached)


@frozen
class GrantOutcome:
    """What came of a grant.

    ``found_tokens`` is how much of the prompt the engine found cached, None when it did not say.
    ``unreachable`` says that no connection to the engine could be made, ``failed`` that it broke
    off or answered with an error of its own.
    """

    found_tokens: int | None = None
    unreachable: bool = False
    failed: bool = False


UNREPORTED = GrantOutcome()


@frozen
class Busy:
    """The home's answer when it admits the request to no engine.

    ``least_load`` is the smallest load over weight among the pool's engines, in tokens.
    """

    id: str
    code: str
    message: str
    retry_after_s: float
    least_load: float = 0.0


def count_cached(cached: CachedChat | None) -> int:
    """Return the tokens that may be counted on; doubtful ones may not."""
    if cached is None or cached.certainty is Certainty.DOUBTFUL:
        return 0
    return cached.tokens


def estimate_work(ask: Ask, cached: CachedChat | None) -> float:
    """Return the expected work of ``ask`` in tokens, given what is cached."""
    uncached = max(0, ask.prompt_tokens - count_cached(cached))
    return PREFILL_COST * uncached + ask.answer_tokens
