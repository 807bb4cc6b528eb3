"""A shared map of the prompt parts that each engine has cached.

An engine caches the parts of the requests that it runs. Each host records the parts of its own
requests, gossips new entries to its peers, and evicts the least recently used parts beyond the
size of an engine's KV cache, which the engine has likely evicted too.
"""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

from cherrylane.gossip.updates import MIN_GOSSIP_ROUNDS, UpdateQueue
from cherrylane.relay.request import PromptPart

# Fraction of an engine's KV cache assumed to hold cached parts; running requests use the rest.
CACHE_MEMORY_SHARE = 0.8


@frozen
class CachedPart:
    """A prompt part that an engine has cached."""

    upstream: str
    key: str
    tokens: int


@define
class CacheMap:
    """The cached parts of each engine in LRU order, least recently used first."""

    _parts: dict[str, OrderedDict[str, int]] = field(factory=dict)
    _tokens: dict[str, int] = field(factory=dict)
    _updates: UpdateQueue[CachedPart] = field(factory=UpdateQueue)

    def record_run(self, upstream: str, parts: Iterable[PromptPart], kv_cache_tokens: int) -> None:
        """Record that an engine has cached the ``parts`` of one of this host's requests."""
        for part in parts:
            if self._add(upstream, part.key, part.tokens, kv_cache_tokens):
                self._updates.add(CachedPart(upstream, part.key, part.tokens))

    def record_peer(self, cached: CachedPart, kv_cache_tokens: int) -> None:
        """Record an update from a peer; it is not forwarded to others."""
        self._add(cached.upstream, cached.key, cached.tokens, kv_cache_tokens)

    def forget(self, upstream: str) -> None:
        """Drop the parts of an engine that was removed or has restarted."""
        self._parts.pop(upstream, None)
        self._tokens.pop(upstream, None)

    def count_cached(self, upstream: str, parts: Iterable[PromptPart]) -> int:
        """Return how many leading tokens of ``parts`` an engine need not prefill.

        A cached part counts only if all parts before it are cached too.
        """
        cached = self._parts.get(upstream)
        if not cached:
            return 0
        tokens = 0
        for part in parts:
            if part.key not in cached:
                break
            tokens += part.tokens
        return tokens

    def take_updates(self, rounds: int = MIN_GOSSIP_ROUNDS) -> tuple[CachedPart, ...]:
        """Return the updates for the next heartbeat; each is sent in at least ``rounds`` rounds."""
        return self._updates.take(rounds)

    def list_all(self) -> list[CachedPart]:
        """Return all cached parts, for a peer that starts."""
        return [
            CachedPart(upstream, key, tokens)
            for upstream, parts in self._parts.items()
            for key, tokens in parts.items()
        ]

    def _add(self, upstream: str, key: str, tokens: int, kv_cache_tokens: int) -> bool:
        parts = self._parts.setdefault(upstream, OrderedDict())
        if key in parts:
            parts.move_to_end(key)
            return False
        parts[key] = tokens
        total = self._tokens.get(upstream, 0) + tokens
        while total > kv_cache_tokens * CACHE_MEMORY_SHARE and len(parts) > 1:
            total -= parts.popitem(last=False)[1]
        self._tokens[upstream] = total
        return True
