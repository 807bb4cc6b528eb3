"""The filter that keeps requests from cold upstreams, beyond what these take."""

from attrs import define, field

from cherrylane.limits.cold.admission import HOLD_S, ColdUpstreams
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.choice import rank_engines
from cherrylane.placement.loads import LoadTracker
from cherrylane.relay.candidate_filters import SelectionQuery, TrustedUpstreams
from cherrylane.relay.selection_failures import AllCold, SelectionFailure
from cherrylane.routing.snapshot import KnownUpstream


@define
class ColdFilter:
    """Keeps the warm upstreams, and a cold one if the request may take one of its tokens.

    A chat that has a cold engine first in its order takes a token there. Any other request does so
    only if no warm upstream has room. The fall-back of :class:`TrustedUpstreams` to all upstreams
    comes later, so that it never brings back a cold one without a token; in turn, warm upstreams
    that are not trusted are not counted on here.
    """

    cold: ColdUpstreams
    caches: CacheMap
    load_tracker: LoadTracker
    trusted: TrustedUpstreams
    counts_in_mean: bool = field(default=True, init=False)

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams that take the request now; counts it in their demand."""
        now = query.now
        if not self.cold.count_cold():
            return upstreams
        cold = [known for known in upstreams if self.cold.is_cold(known.upstream, now)]
        if not cold:
            return upstreams
        names = {known.upstream.name for known in cold}
        warm = [known for known in upstreams if known.upstream.name not in names]
        first = self._find_first(query, upstreams)
        if first is not None and first.upstream.name in names and self._takes_chat(query, first):
            # With the warm ones, since the load of the first may exceed the load bound.
            return [known for known in upstreams if known is first or known in warm]
        if self._list_with_room(query, self.trusted.list_trusted(query, warm)):
            return warm
        free = [known for known in cold if self.cold.find_wait(known.upstream, now) <= 0]
        return self.trusted.list_trusted(query, free) or warm or free

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return when one of the upstreams has room: by a token of this host, or by being warm."""
        return AllCold(
            min(self.cold.find_room_wait(known.upstream, query.now) for known in upstreams)
        )

    def _find_first(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> KnownUpstream | None:
        """Return the engine that is first in a chat's order, None for other requests."""
        prompt = query.request.prompt
        if not prompt.chat_key:
            return None
        by_name = {known.upstream.name: known for known in upstreams}
        cached = {name: self.caches.count_cached(name, prompt.shared_parts) for name in by_name}
        return by_name[rank_engines(prompt, cached)[0]]

    def _takes_chat(self, query: SelectionQuery, first: KnownUpstream) -> bool:
        """Return whether a cold engine takes a chat that has it first in its order.

        Those with the most demand for shared parts of prompts go before the others.
        """
        upstream, now = first.upstream, query.now
        shared_tokens = query.request.prompt.shared_tokens
        if query.is_first_attempt:
            self.cold.record_demand(upstream, shared_tokens, now)
        is_preferred = self.cold.is_preferred(upstream, shared_tokens, now)
        wait = self.cold.find_wait(upstream, now, hold_s=0.0 if is_preferred else HOLD_S)
        is_trusted = bool(self.trusted.list_trusted(query, [first]))
        return wait <= 0 and is_trusted and bool(self._list_with_room(query, [first]))

    def _list_with_room(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> list[KnownUpstream]:
        loads = self.load_tracker.read([known.upstream.name for known in upstreams], query.now)
        return [
            known
            for known in upstreams
            if loads[known.upstream.name].requests < known.upstream.slots
        ]
