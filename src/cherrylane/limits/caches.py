"""What the home knows of its engines' prefix caches.

The home sees every request to its engines, so it can replay what their caches hold: the chats
used last, up to a capacity. How large that is it learns from the engines' answers, which say how
much of a prompt was found cached. Chats just beyond the capacity are remembered as doubtful.
"""

from collections import OrderedDict
from enum import Enum

from attrs import define, field, frozen

ENTRY_LIMIT = 20_000
DOUBTFUL_SHARE = 0.25
FOUND_SHARE = 0.5
SHRINK = 0.95
GROW = 1.01
UNKNOWN = float("inf")


class Certainty(Enum):
    """How likely it is that a chat is still cached."""

    KEPT = "kept"
    DOUBTFUL = "doubtful"


@frozen
class CachedChat:
    """An engine that has, or may have, a chat's context cached, and how many tokens of it."""

    engine: str
    tokens: int
    certainty: Certainty = Certainty.KEPT


@define
class EngineCache:
    """The replay of one engine's cache, least recently used chats first."""

    capacity: float = UNKNOWN
    _kept: OrderedDict[int, int] = field(factory=OrderedDict)
    _doubtful: OrderedDict[int, int] = field(factory=OrderedDict)
    _kept_tokens: int = 0
    _doubtful_tokens: int = 0

    def __len__(self) -> int:
        return len(self._kept) + len(self._doubtful)

    def find(self, engine: str, chat: int) -> CachedChat | None:
        """Return what is known of ``chat`` here."""
        tokens = self._kept.get(chat)
        if tokens is not None:
            return CachedChat(engine, tokens)
        tokens = self._doubtful.get(chat)
        return None if tokens is None else CachedChat(engine, tokens, Certainty.DOUBTFUL)

    def use(self, chat: int, tokens: int, entry_limit: int) -> None:
        """Record that ``chat`` is used now and has ``tokens`` cached after it."""
        self._doubtful_tokens -= self._doubtful.pop(chat, 0)
        self._kept_tokens += tokens - self._kept.pop(chat, 0)
        self._kept[chat] = tokens
        self._trim(entry_limit)

    def learn(self, certainty: Certainty, *, found: bool) -> None:
        """Take in whether a chat that was thought of as ``certainty`` was cached."""
        match certainty:
            case Certainty.KEPT if not found:
                self.capacity = SHRINK * min(self.capacity, self._kept_tokens)
            case Certainty.DOUBTFUL if found:
                self.capacity *= GROW
            case _:
                pass

    def _trim(self, entry_limit: int) -> None:
        while self._kept_tokens > self.capacity and len(self._kept) > 1:
            chat, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
            self._doubtful[chat] = tokens
            self._doubtful_tokens += tokens
        while self._doubtful_tokens > DOUBTFUL_SHARE * self.capacity:
            _, tokens = self._doubtful.popitem(last=False)
            self._doubtful_tokens -= tokens
        while len(self) > entry_limit:
            oldest = self._doubtful or self._kept
            _, tokens = oldest.popitem(last=False)
            if oldest is self._kept:
                self._kept_tokens -= tokens
            else:
                self._doubtful_tokens -= tokens


@define
class CacheTracker:
    """The caches of a pool's engines, limited in entries altogether.

    Example::

        knowledge.use(chat, "drafting-1", tokens=900)
        [cached] = knowledge.find(chat)
    """

    entry_limit: int = ENTRY_LIMIT
    _engines: dict[str, EngineCache] = field(factory=dict)

    def __len__(self) -> int:
        return sum(len(cache) for cache in self._engines.values())

    def find(self, chat: int) -> list[CachedChat]:
        """Return where ``chat`` is cached, the surest and longest first."""
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
        """Record that ``chat`` goes to ``engine`` and has ``tokens`` cached there after it."""
        cache = self._engines.get(engine)
        if cache is None:
            cache = self._engines[engine] = EngineCache(capacity=self._likely_capacity())
        cache.use(chat, tokens, max(1, self.entry_limit // len(self._engines)))

    def has_seen_all(self, engine: str) -> bool:
        """Say whether a chat that is not found on ``engine`` has surely left its cache.

        That is so once the cache has been seen to overflow; before, a hint may know more.
        """
        cache = self._engines.get(engine)
        return cache is not None and cache.capacity != UNKNOWN

    def learn(
        self, engine: str, certainty: Certainty, *, expected_tokens: int, found_tokens: int
    ) -> None:
        """Take in how much of a chat an engine really had cached."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.learn(certainty, found=found_tokens >= FOUND_SHARE * expected_tokens)

    def _likely_capacity(self) -> float:
        """A new engine's cache is taken to be no larger than the smallest that is known."""
        return min((cache.capacity for cache in self._engines.values()), default=UNKNOWN)

    def forget(self, engine: str) -> None:
        """Forget an engine, whose cache is gone."""
        self._engines.pop(engine, None)
