"""The choice of an upstream for one request.

A chat goes where most of its prompt is cached, unless that engine is loaded beyond a multiple of
the mean; a chat that is cached nowhere goes to the first engine of its rendezvous order that is
not. What the chosen engine lacks and another one has is fetched from there. Other requests go to
the least loaded upstream, the own failure domain first.
"""

from collections.abc import Sequence
from random import Random

from attrs import field, frozen

from cherrylane.placement.caches import CacheMap
from cherrylane.placement.loads import Load
from cherrylane.placement.ranking import rank_names
from cherrylane.relay.request import Prompt
from cherrylane.routing.upstreams import Upstream

# Part of the allowed multiple of the mean that is used; the rest is for loads not yet heard of.
# 0.75 moved twice as much memory between engines, for the same skew.
MULTIPLE_USED = 0.9
# Requests above the multiple of the mean that are always allowed, since few make a coarse mean.
FREE_REQUESTS = 2
# Load, in parts of an upstream's slots, that a request from another failure domain counts for.
OTHER_ZONE_LOAD = 0.15
# Cached tokens that are worth a fetch; fewer are read sooner than fetched.
MIN_FETCHED_TOKENS = 64


@frozen
class Candidate:
    """An upstream that may take the request, and its load."""

    upstream: Upstream
    load: Load


@frozen
class Choice:
    """The upstream that was chosen, and why.

    ``cached_tokens`` of the prompt are cached there; ``cache_source`` has more of it. What neither
    has is ``unread_tokens``. ``mean_load`` is in requests.
    """

    upstream: Upstream
    reason: str
    load: Load
    mean_load: float
    cached_tokens: int = 0
    cache_source: Upstream | None = None
    unread_tokens: int = 0


@frozen
class Chooser:
    """Chooses upstreams for a host in ``zone``.

    ``load_multiple`` is the most that an upstream may carry over the mean of its service.
    """

    zone: str
    load_multiple: float
    caches: CacheMap = field(factory=CacheMap)
    random: Random = field(factory=Random)

    def choose_for_chat(
        self, prompt: Prompt, candidates: Sequence[Candidate], holders: Sequence[Upstream]
    ) -> Choice:
        """Choose for a chat; ``holders`` are all engines that its prompt may be fetched from.

        Holders include those that take no new work but still run.
        """
        by_name = {candidate.upstream.name: candidate for candidate in candidates}
        mean = _mean_load(candidates)
        limit = max(mean * self.load_multiple * MULTIPLE_USED, mean + 1) + FREE_REQUESTS
        shared = prompt.shared_parts
        cached = {name: self.caches.count_cached(name, shared) for name in by_name}
        order = rank_names(prompt.chat_key, by_name)
        # An engine that has only what many chats share is no better than the chat's own order;
        # preferring it would send every new chat to the first engine that was used.
        order.sort(key=lambda name: cached[name] < prompt.shared_tokens)
        name, reason = _find_first_below(order, by_name, limit)
        chosen = by_name[name]
        source = self._find_source(prompt, cached[name], holders)
        held = cached[name] if source is None else self.caches.count_cached(source.name, shared)
        unread = max(0, prompt.input_tokens - held)
        if reason == "preferred":
            reason = "cached" if cached[name] else "home"
        return Choice(chosen.upstream, reason, chosen.load, mean, cached[name], source, unread)

    def choose_by_load(self, candidates: Sequence[Candidate]) -> Choice:
        """Choose for a request that has nothing cached anywhere."""
        mean = _mean_load(candidates)
        chosen = min(candidates, key=self._weigh)
        return Choice(chosen.upstream, "least loaded", chosen.load, mean)

    def _find_source(
        self, prompt: Prompt, cached_tokens: int, holders: Sequence[Upstream]
    ) -> Upstream | None:
        """Return the engine that has most of the prompt, if that is more than the chosen one."""
        best, most = None, cached_tokens + MIN_FETCHED_TOKENS
        for holder in holders:
            tokens = self.caches.count_cached(holder.name, prompt.shared_parts)
            if tokens > most:
                best, most = holder, tokens
        return best

    def _weigh(self, candidate: Candidate) -> float:
        upstream = candidate.upstream
        load = candidate.load.requests / max(1, upstream.slots)
        distance = 0.0 if upstream.zone == self.zone else OTHER_ZONE_LOAD
        return load + distance + self.random.random() / max(1, upstream.slots)


def _mean_load(candidates: Sequence[Candidate]) -> float:
    return sum(candidate.load.requests for candidate in candidates) / len(candidates)


def _find_first_below(
    order: list[str], by_name: dict[str, Candidate], limit: float
) -> tuple[str, str]:
    for position, name in enumerate(order):
        if by_name[name].load.requests + 1 <= limit:
            return name, "preferred" if position == 0 else "preferred one loaded"
    return min(order, key=lambda name: by_name[name].load.requests), "all loaded"
