"""Which parts of prompts each engine has cached, as far as all hosts have seen.

A request's parts are cached where it has run. Each host notes what its own requests leave, tells
the others what was new in it, and drops what an engine has likely evicted: the parts that were
used longest ago, beyond the engine's memory.
"""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

from cherrylane.relay.request import PromptPart

# Part of an engine's memory that cached parts are assumed to have; running requests use the rest.
MEMORY_SHARE = 0.8
# Rounds of heartbeats in which each piece of news is told at least, since a datagram may be lost.
MIN_GOSSIP_ROUNDS = 3
# Pieces of news in one heartbeat; more wait for the next.
MAX_NEWS = 16
# Pieces of news that may wait; what is beyond is found out by the others themselves.
MAX_WAITING = 400


@frozen
class CachedPart:
    """A part that an engine has cached."""

    upstream: str
    key: str
    tokens: int


@define
class _Told:
    part: CachedPart
    rounds: int = 0


@define
class CacheMap:
    """The parts that are cached at each engine, the last used ones last."""

    _parts: dict[str, OrderedDict[str, int]] = field(factory=dict)
    _tokens: dict[str, int] = field(factory=dict)
    _news: list[_Told] = field(factory=list)

    def note_run(self, upstream: str, parts: Iterable[PromptPart], memory_tokens: int) -> None:
        """Take in that a request of this host has its ``parts`` cached at an engine now."""
        for part in parts:
            if self._add(upstream, part.key, part.tokens, memory_tokens):
                self._news.append(_Told(CachedPart(upstream, part.key, part.tokens)))
        del self._news[:-MAX_WAITING]

    def note_peer(self, cached: CachedPart, memory_tokens: int) -> None:
        """Take in what another host tells."""
        self._add(cached.upstream, cached.key, cached.tokens, memory_tokens)

    def forget(self, upstream: str) -> None:
        """Drop everything about an engine that is gone or has started again."""
        self._parts.pop(upstream, None)
        self._tokens.pop(upstream, None)

    def count_cached(self, upstream: str, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens of ``parts`` an engine need not read, from the first on.

        A cached part helps only if all parts before it are cached too.
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
        """Return what the next heartbeat should tell; each piece is told in so many rounds."""
        told = self._news[:MAX_NEWS]
        for one in told:
            one.rounds += 1
        self._news = [one for one in self._news if one.rounds < max(MIN_GOSSIP_ROUNDS, rounds)]
        return tuple(one.part for one in told)

    def list_all(self) -> list[CachedPart]:
        """Return everything, for a host that starts."""
        return [
            CachedPart(upstream, key, tokens)
            for upstream, parts in self._parts.items()
            for key, tokens in parts.items()
        ]

    def _add(self, upstream: str, key: str, tokens: int, memory_tokens: int) -> bool:
        parts = self._parts.setdefault(upstream, OrderedDict())
        if key in parts:
            parts.move_to_end(key)
            return False
        parts[key] = tokens
        total = self._tokens.get(upstream, 0) + tokens
        while total > memory_tokens * MEMORY_SHARE and len(parts) > 1:
            total -= parts.popitem(last=False)[1]
        self._tokens[upstream] = total
        return True
