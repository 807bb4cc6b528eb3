"""Selection of an upstream for one request.

A chat goes to an engine that has all shared parts of its prompt cached, unless that engine's load
exceeds a multiple of the mean. Any other chat goes to the first engine in its rendezvous order
whose load is within that limit. A chat that very many callers ask for at once is spread over as
many engines as it needs. Prompt parts that the chosen engine lacks and another engine has are
fetched from there. Other requests go to the least loaded upstream, with preference for the host's
own failure domain.
"""

from collections.abc import Mapping, Sequence
from itertools import islice
from math import ceil
from random import Random

from attrs import field, frozen

from cherrylane.placement.caches import CacheMap
from cherrylane.placement.loads import Load
from cherrylane.placement.ranking import rank_names
from cherrylane.placement.speeds import USUAL_SPEED
from cherrylane.relay.request import Prompt
from cherrylane.routing.upstreams import Upstream

# Fraction of the allowed multiple of the mean that is used; the rest allows for loads that peers
# have not reported yet. 0.75 moved twice as much cache memory between engines for the same skew.
MULTIPLE_SHARE_USED = 0.9
# Requests always allowed above the multiple of the mean, since a small mean is a coarse measure.
FREE_REQUESTS = 2
# Load added to upstreams in other failure domains, as a fraction of their slots.
CROSS_ZONE_PENALTY = 0.15
# Additional cached tokens that are worth a fetch; fewer are faster to prefill than to fetch.
MIN_FETCH_TOKENS = 64


@frozen
class Candidate:
    """An upstream that may take the request, its load and its speed.

    ``expected_requests`` are those expected to be there now; ``load`` may be late.
    """

    upstream: Upstream
    load: Load
    speed: float = USUAL_SPEED
    expected_requests: float = 0.0


@frozen
class Choice:
    """The chosen upstream and the reason.

    ``cached_tokens`` of the prompt are cached there; ``cache_source`` has more of them.
    ``unread_tokens`` are cached on neither and have to be prefilled. ``mean_load`` is in requests.
    ``speed`` is that of the upstream.
    """

    upstream: Upstream
    reason: str
    load: Load
    mean_load: float
    cached_tokens: int = 0
    cache_source: Upstream | None = None
    unread_tokens: int = 0
    speed: float = USUAL_SPEED


def rank_engines(prompt: Prompt, cached: Mapping[str, int]) -> list[str]:
    """Return engines in the order in which a chat prefers them.

    ``cached`` are the tokens of its prompt that each has. An engine that has only the parts that
    many chats share gets no preference: it would attract every new chat to the first engine that
    was used.
    """
    order = rank_names(prompt.chat_key, cached)
    order.sort(key=lambda name: cached[name] < prompt.shared_tokens)
    return order


@frozen
class Chooser:
    """Chooses upstreams for a host in ``zone``.

    ``load_multiple`` is the highest allowed load of an upstream, relative to its service's mean.
    """

    zone: str
    load_multiple: float
    caches: CacheMap = field(factory=CacheMap)
    random: Random = field(factory=Random)

    def choose_for_chat(
        self,
        prompt: Prompt,
        candidates: Sequence[Candidate],
        holders: Sequence[Upstream],
        *,
        heat: int = 0,
        others: Sequence[Load] = (),
    ) -> Choice:
        """Choose for a chat; ``holders`` are all engines that its prompt may be fetched from.

        Holders include running engines that take no new requests. ``heat`` is how many requests of
        the chat other hosts send before their loads are known here. ``others`` are the loads of
        engines that are no candidates now but count in the mean of their service.
        """
        by_name = {candidate.upstream.name: candidate for candidate in candidates}
        mean = _mean_load(candidates, others)
        limit = max(mean * self.load_multiple * MULTIPLE_SHARE_USED, mean + 1) + FREE_REQUESTS
        shared = prompt.shared_parts
        cached = {name: self.caches.count_cached(name, shared) for name in by_name}
        order = rank_engines(prompt, cached)
        # What engines at the mean load can take of a chat that is asked for everywhere at once.
        width = 1 + ceil(heat / max(1.0, limit - mean))
        name, reason = self._find_below(order, by_name, limit, width)
        chosen = by_name[name]
        source = self._find_source(prompt, cached[name], holders)
        available_tokens = (
            cached[name] if source is None else self.caches.count_cached(source.name, shared)
        )
        unread = max(0, prompt.input_tokens - available_tokens)
        if reason == "preferred":
            reason = "cached" if cached[name] else "home"
        return Choice(chosen.upstream, reason, chosen.load, mean, cached[name], source, unread)

    def choose_by_load(
        self, candidates: Sequence[Candidate], *, others: Sequence[Load] = ()
    ) -> Choice:
        """Choose the least loaded candidate, for a request without shared prompt parts."""
        mean = _mean_load(candidates, others)
        chosen = min(candidates, key=self._score)
        return Choice(chosen.upstream, "least loaded", chosen.load, mean)

    def choose_by_completion(
        self, candidates: Sequence[Candidate], *, others: Sequence[Load] = ()
    ) -> Choice:
        """Choose the candidate expected to complete a request first, by its load and speed."""
        mean = _mean_load(candidates, others)
        chosen = min(candidates, key=self._score_completion)
        return Choice(chosen.upstream, "first to complete", chosen.load, mean, speed=chosen.speed)

    def _find_below(
        self, order: list[str], by_name: dict[str, Candidate], limit: float, width: int
    ) -> tuple[str, str]:
        """Return the less loaded of two of the first ``width`` engines whose load is within limit.

        These two are drawn at random (power of two choices), since the other hosts choose at the
        same time without knowing of each other.
        """
        below = (name for name in order if by_name[name].load.requests + 1 <= limit)
        pool = list(islice(below, width))
        if not pool:
            return min(order, key=lambda name: by_name[name].load.requests), "all loaded"
        pair = self.random.sample(pool, 2) if len(pool) > 1 else pool
        name = min(pair, key=lambda name: by_name[name].load.requests)
        return name, "preferred" if name == order[0] else "preferred one loaded"

    def _find_source(
        self, prompt: Prompt, cached_tokens: int, holders: Sequence[Upstream]
    ) -> Upstream | None:
        """Return the engine with the most cached tokens of the prompt.

        Returns None if none has ``MIN_FETCH_TOKENS`` more than the chosen one's ``cached_tokens``.
        """
        best, most = None, cached_tokens + MIN_FETCH_TOKENS
        for holder in holders:
            tokens = self.caches.count_cached(holder.name, prompt.shared_parts)
            if tokens > most:
                best, most = holder, tokens
        return best

    def _score(self, candidate: Candidate) -> float:
        upstream = candidate.upstream
        load = candidate.load.requests / max(1, upstream.slots)
        return self._add_preference(load, upstream)

    def _score_completion(self, candidate: Candidate) -> float:
        rate = max(1, candidate.upstream.slots) * candidate.speed
        return self._add_preference((candidate.expected_requests + 1) / rate, candidate.upstream)

    def _add_preference(self, score: float, upstream: Upstream) -> float:
        """Add the penalty of another failure domain, and a random part below one request."""
        penalty = 0.0 if upstream.zone == self.zone else CROSS_ZONE_PENALTY
        return score + penalty + self.random.random() / max(1, upstream.slots)


def _mean_load(candidates: Sequence[Candidate], others: Sequence[Load] = ()) -> float:
    loads = [candidate.load for candidate in candidates] + list(others)
    return sum(load.requests for load in loads) / len(loads)
