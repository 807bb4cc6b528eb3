"""A model of the engines' prefix caches, kept by a pool's home.

A pool's home is the host that admits all requests to the pool's engines. It sees every request,
so it can simulate each engine's cache as an LRU list of chats up to a capacity. The capacity is
estimated from the engines' answers, which report how many prompt tokens were cached. Chats just
beyond the estimated capacity are kept in a second list as doubtful.
"""

from collections import OrderedDict
from enum import Enum

from attrs import define, field, frozen

DEFAULT_ENTRY_LIMIT = 20_000
DOUBTFUL_SHARE = 0.25
MIN_FOUND_SHARE = 0.5
SHRINK_FACTOR = 0.95
GROWTH_FACTOR = 1.01
UNKNOWN_CAPACITY = float("inf")


class Certainty(Enum):
    """How likely it is that an engine still has a chat cached."""

    KEPT = "kept"
    DOUBTFUL = "doubtful"


@frozen
class CachedChat:
    """An engine that has, or may have, ``tokens`` of a chat's context cached."""

    engine: str
    tokens: int
    certainty: Certainty = Certainty.KEPT


@define
class EngineCache:
    """The simulated cache of one engine, least recently used chats first."""

    capacity: float = UNKNOWN_CAPACITY
    _kept: OrderedDict[int, int] = field(factory=OrderedDict)
    _doubtful: OrderedDict[int, int] = field(factory=OrderedDict)
    _kept_tokens: int = 0
    _doubtful_tokens: int = 0

    def __len__(self) -> int:
        return len(self._kept) + len(self._doubtful)

    def find(self, engine: str, chat: int) -> CachedChat | None:
        """Return the entry of ``chat``, likely or doubtful, or None if there is none."""
        tokens = self._kept.get(chat)
        if tokens is not None:
            return CachedChat(engine, tokens)
        tokens = self._doubtful.get(chat)
        return None if tokens is None else CachedChat(engine, tokens, Certainty.DOUBTFUL)

    def use(self, chat: int, tokens: int, entry_limit: int) -> None:
        """Move ``chat`` to the most recently used end and set its cached ``tokens``."""
        self._doubtful_tokens -= self._doubtful.pop(chat, 0)
        self._kept_tokens += tokens - self._kept.pop(chat, 0)
        self._kept[chat] = tokens
        self._evict(entry_limit)

    def record_lookup(self, certainty: Certainty, *, found: bool) -> None:
        """Adjust the capacity by whether a chat predicted with ``certainty`` was cached."""
        match certainty:
            case Certainty.KEPT if not found:
                self.capacity = SHRINK_FACTOR * min(self.capacity, self._kept_tokens)
            case Certainty.DOUBTFUL if found:
                self.capacity *= GROWTH_FACTOR
            case _:
                pass

    def _evict(self, entry_limit: int) -> None:
        while self._kept_tokens > self.capacity and len(self._kept) > 1:
            chat, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
            self._doubtful[chat] = tokens
            self._doubtful_tokens += tokens
        while self._doubtful_tokens > DOUBTFUL_SHARE * self.capacity:
            _, tokens = self._doubtful.popitem(last=False)
            self._doubtful_tokens -= tokens
        while len(self) > entry_limit:
            source = self._doubtful or self._kept
            _, tokens = source.popitem(last=False)
            if source is self._kept:
                self._kept_tokens -= tokens
            else:
                self._doubtful_tokens -= tokens


@define
class CacheTracker:
    """The simulated caches of a pool's engines, with a limit on the total number of entries.

    Example::

        tracker.use(chat, "drafting-1", tokens=900)
        [cached] = tracker.find(chat)
    """

    entry_limit: int = DEFAULT_ENTRY_LIMIT
    _engines: dict[str, EngineCache] = field(factory=dict)

    def __len__(self) -> int:
        return sum(len(cache) for cache in self._engines.values())

    def find(self, chat: int) -> list[CachedChat]:
        """Return where ``chat`` is cached, likely entries before doubtful ones, longest first."""
        found = [
            cached
            for engine, cache in self._engines.items()
            if (cached := cache.find(engine, chat)) is not None
        ]
        if len(found) > 1:
            found.sort(key=lambda cached: (cached.certainty is Certainty.KEPT, cached.tokens))
            found.reverse()
        return found

    def use(self, chat: int, engine: str, *, tokens: int) -> None:
        """Record that ``chat`` is sent to ``engine``, which then has ``tokens`` of it cached."""
        cache = self._engines.get(engine)
        if cache is None:
            cache = self._engines[engine] = EngineCache(capacity=self._estimate_initial_capacity())
        cache.use(chat, tokens, max(1, self.entry_limit // len(self._engines)))

    def has_known_capacity(self, engine: str) -> bool:
        """Return whether a chat that is not found for ``engine`` is certainly not cached there.

        That holds once the cache has been seen to overflow. Before that, a caller's hint may
        name a cached chat that this host has not seen.
        """
        cache = self._engines.get(engine)
        return cache is not None and cache.capacity != UNKNOWN_CAPACITY

    def record_lookup(
        self, engine: str, certainty: Certainty, *, expected_tokens: int, found_tokens: int
    ) -> None:
        """Record how many tokens of a chat the engine reported as cached."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.record_lookup(certainty, found=found_tokens >= MIN_FOUND_SHARE * expected_tokens)

    def _estimate_initial_capacity(self) -> float:
        """Return the smallest known capacity, assumed as the upper limit for a new engine."""
        return min((cache.capacity for cache in self._engines.values()), default=UNKNOWN_CAPACITY)

    def forget(self, engine: str) -> None:
        """Drop all entries of an engine whose cache is lost."""
        self._engines.pop(engine, None)
