"""Selection of an upstream among those of a service that may take a request now."""

from collections.abc import Sequence

from attrs import define, evolve, field

from cherrylane.limits.backoff import BackoffTracker
from cherrylane.limits.cold.admission import ColdUpstreams
from cherrylane.limits.outliers import OutlierDetector
from cherrylane.limits.overload import (
    RequestUrgency,
    Throughput,
    can_start_in_time,
    estimate_wait,
)
from cherrylane.limits.rate_limits import UpstreamRateLimits
from cherrylane.placement.choice import Candidate, Choice, Chooser
from cherrylane.placement.completions import estimate_completions
from cherrylane.placement.heat import ChatHeat
from cherrylane.placement.loads import Load, LoadTracker
from cherrylane.placement.speeds import USUAL_SPEED, SpeedTracker
from cherrylane.relay.candidate_filters import (
    AcceptingFilter,
    BackoffFilter,
    CandidateFilter,
    EvacuationFilter,
    RateLimitFilter,
    SelectionQuery,
    SoftwareVersionFilter,
    TrustedUpstreams,
    UntriedFilter,
)
from cherrylane.relay.cold_filter import ColdFilter
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection_failures import Overloaded, SelectionFailure
from cherrylane.relay.stream_origins import StreamOrigin
from cherrylane.routing.snapshot import KnownUpstream, Snapshot
from cherrylane.routing.upstreams import Upstream


@define
class UpstreamSelector:
    """Chooses upstreams by a list of filters over those that the platform lists, and by load."""

    chooser: Chooser
    load_tracker: LoadTracker
    outliers: OutlierDetector
    backoffs: BackoffTracker = field(factory=BackoffTracker)
    chat_heat: ChatHeat = field(factory=ChatHeat)
    rate_limits: UpstreamRateLimits = field(factory=UpstreamRateLimits)
    cold: ColdUpstreams | None = None
    speeds: SpeedTracker = field(factory=SpeedTracker)
    _throughputs: dict[str, Throughput] = field(factory=dict)
    _filters: Sequence[CandidateFilter] = field(init=False)
    _trust: TrustedUpstreams = field(init=False)

    @_filters.default
    def _make_filters(self) -> Sequence[CandidateFilter]:
        return (
            AcceptingFilter(),
            EvacuationFilter(),
            SoftwareVersionFilter(),
            BackoffFilter(self.backoffs),
            UntriedFilter(),
            RateLimitFilter(self.rate_limits, self.chooser.caches),
            *([] if self.cold is None else [self._make_cold_filter(self.cold)]),
        )

    @_trust.default
    def _make_trust(self) -> TrustedUpstreams:
        return TrustedUpstreams(self.outliers, self.backoffs)

    def _make_cold_filter(self, cold: ColdUpstreams) -> ColdFilter:
        trusted = TrustedUpstreams(self.outliers, self.backoffs)
        return ColdFilter(cold, self.chooser.caches, self.load_tracker, trusted)

    def throughput_of(self, service: str) -> Throughput:
        """Return the measured throughput of a service's upstreams."""
        return self._throughputs.setdefault(service, Throughput())

    def choose(
        self,
        request: CallerRequest,
        snapshot: Snapshot,
        tried: set[str],
        now: float,
        origin: StreamOrigin | None = None,
    ) -> Choice | SelectionFailure | None:
        """Return the upstream for the next attempt, or None if there is none left.

        A stream that has begun at ``origin`` goes on only there.

        Only first attempts are refused for overload, since work was already spent on later ones.
        The expected wait decides only whether a request is refused, not where it goes: a chat that
        is moved to a less loaded engine has to be prefilled again.
        """
        query = SelectionQuery(request, snapshot, tried, now, origin)
        listed = list(snapshot.list_upstreams(request.service))
        left, withheld = listed, list[KnownUpstream]()
        for candidate_filter in self._filters:
            kept = candidate_filter.select(query, left)
            if not kept:
                return candidate_filter.explain(query, left)
            if candidate_filter.counts_in_mean and len(kept) < len(left):
                names = {known.upstream.name for known in kept}
                withheld += [known for known in left if known.upstream.name not in names]
            left = kept
        candidates = self._add_loads(self._trust.prefer(query, left), now)
        if query.is_first_attempt and not self._can_any_start(query, candidates):
            # To be avoided for a few failures is no reason to stand idle while others are full.
            candidates = self._add_loads(self._trust.find_usable(query, left), now) or candidates
            if not self._can_any_start(query, candidates):
                return _describe_overload(candidates)
        others = [candidate.load for candidate in self._add_loads(withheld, now)]
        if not request.prompt.chat_key:
            if self.speeds.has_reports(now):
                hold_s = self.throughput_of(request.service).seconds_per_request
                estimated = estimate_completions(
                    candidates, self.load_tracker, self.speeds, hold_s, now
                )
                return self.chooser.choose_by_completion(estimated, others=others)
            return self.chooser.choose_by_load(candidates, others=others)
        choice = self._choose_for_chat(query, listed, candidates, others)
        speed = self.speeds.get_speed(choice.upstream.key, now)
        return choice if speed == USUAL_SPEED else evolve(choice, speed=speed)

    def _choose_for_chat(
        self,
        query: SelectionQuery,
        listed: Sequence[KnownUpstream],
        candidates: list[Candidate],
        others: Sequence[Load],
    ) -> Choice:
        prompt, now = query.request.prompt, query.now
        holders = [
            known.upstream
            for known in EvacuationFilter().select(query, list(listed))
            if not self.outliers.is_avoided(known.upstream.name, now)
        ]
        heat = self.chat_heat.record(prompt.chat_key, now) if query.is_first_attempt else 0
        choice = self.chooser.choose_for_chat(prompt, candidates, holders, heat=heat, others=others)
        if choice.load.requests < choice.upstream.slots:
            return choice
        choice = self._find_faster(query, choice, candidates, holders, others)
        # What a limited engine still takes would be unused while others queue.
        free = [one for one in candidates if self._has_free_token(one)]
        if not free:
            return choice
        return self.chooser.choose_for_chat(prompt, free, holders, others=others)

    def _find_faster(
        self,
        query: SelectionQuery,
        choice: Choice,
        candidates: list[Candidate],
        holders: Sequence[Upstream],
        others: Sequence[Load],
    ) -> Choice:
        """Return another engine than a slow one if the prompt is sooner read again there."""
        prompt, now = query.request.prompt, query.now
        throughput = self.throughput_of(query.request.service)
        speed = self.speeds.get_speed(choice.upstream.key, now)
        rest = [one for one in candidates if one.upstream.name != choice.upstream.name]
        if speed >= USUAL_SPEED or not rest:
            return choice
        all_others = [*others, choice.load]
        other = self.chooser.choose_for_chat(prompt, rest, holders, others=all_others)
        if other.reason == "all loaded":
            return choice
        other_speed = self.speeds.get_speed(other.upstream.key, now)
        unread = max(0, prompt.input_tokens - other.cached_tokens)
        # A fetch from the slow engine is not counted on.
        cost_s = unread / throughput.tokens_per_s / other_speed
        cost_s += estimate_wait(other.load, other.upstream.slots, throughput, other_speed)
        wait_s = estimate_wait(choice.load, choice.upstream.slots, throughput, speed)
        return evolve(other, reason="faster") if wait_s > cost_s else choice

    def record_dispatch(self, upstream: Upstream, now: float) -> None:
        """Count a request that is sent to a chosen upstream."""
        self.rate_limits.withdraw(upstream.name, upstream.incarnation, now)
        if self.cold is not None:
            self.cold.withdraw(upstream, now)

    def record_connection_failure(self, upstream: Upstream, now: float) -> None:
        """Record that a connection to an upstream was refused, timed out or broke."""
        if self.cold is not None:
            self.cold.record_failure(upstream, now)

    def record_silence(self, upstream: Upstream) -> None:
        """Record that an upstream was silent until the deadline, on an open connection."""
        if self.cold is not None:
            self.cold.record_silence(upstream)

    def _has_free_token(self, candidate: Candidate) -> bool:
        """Return whether a candidate has a request limit, a token for this host and a free slot."""
        upstream = candidate.upstream
        is_limited = self.rate_limits.is_limited(upstream.name, upstream.incarnation)
        return is_limited and candidate.load.requests < upstream.slots

    def _add_loads(self, upstreams: Sequence[KnownUpstream], now: float) -> list[Candidate]:
        if not upstreams:
            return []
        loads = self.load_tracker.read([known.upstream.name for known in upstreams], now)
        return [Candidate(known.upstream, loads[known.upstream.name]) for known in upstreams]

    def _can_any_start(self, query: SelectionQuery, candidates: list[Candidate]) -> bool:
        """Return whether any candidate is expected to start the request in time."""
        request = query.request
        urgency = RequestUrgency(request.rank, request.route.target_s, request.waited_s)
        throughput = self.throughput_of(request.service)
        return any(
            can_start_in_time(
                urgency,
                candidate.load,
                candidate.upstream.slots,
                throughput,
                self.speeds.get_speed(candidate.upstream.key, query.now),
            )
            for candidate in candidates
        )


def _describe_overload(candidates: list[Candidate]) -> Overloaded:
    loads = [candidate.load for candidate in candidates]
    return Overloaded(
        upstreams=len(candidates),
        least_requests=min(load.requests for load in loads),
        least_unread_tokens=min(load.unread_tokens for load in loads),
    )
