"""Selection of an upstream among those of a service that may take a request now."""

from math import isfinite

from attrs import define, field, frozen

from cherrylane.limits.backoff import BackoffTracker
from cherrylane.limits.outliers import OutlierDetector
from cherrylane.limits.overload import RequestUrgency, Throughput, can_start_in_time
from cherrylane.limits.priorities import RankedArrivals
from cherrylane.limits.rate_limits import UpstreamRateLimits
from cherrylane.placement.choice import Candidate, Choice, Chooser
from cherrylane.placement.heat import ChatHeat
from cherrylane.placement.loads import LoadTracker
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.stream_origins import StreamOrigin
from cherrylane.routing.snapshot import KnownUpstream, Snapshot
from cherrylane.routing.upstreams import Upstream


@frozen
class Overloaded:
    """No upstream is expected to start the request in time; holds the lowest loads found."""

    upstreams: int
    least_requests: int
    least_unread_tokens: int


@frozen
class AllBackingOff:
    """Every upstream has asked this host to send nothing, the first for ``first_end_s`` seconds."""

    first_end_s: float


@frozen
class RateLimited:
    """The upstreams take no more requests now than those of more urgent or earlier requests.

    ``first_token_s`` is in how many seconds this host may send one again, infinite if it has no
    share of their limits.
    """

    first_token_s: float


@frozen
class OriginGone:
    """No upstream of the software version that began the stream accepts requests."""

    origin: StreamOrigin


@define
class UpstreamSelector:
    """Chooses upstreams by the platform's list, this host's outlier detection, and load."""

    chooser: Chooser
    load_tracker: LoadTracker
    outliers: OutlierDetector
    backoffs: BackoffTracker = field(factory=BackoffTracker)
    chat_heat: ChatHeat = field(factory=ChatHeat)
    rate_limits: UpstreamRateLimits = field(factory=UpstreamRateLimits)
    _throughputs: dict[str, Throughput] = field(factory=dict)
    _arrivals: dict[str, RankedArrivals] = field(factory=dict)

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
    ) -> Choice | Overloaded | AllBackingOff | RateLimited | OriginGone | None:
        """Return the upstream for the next attempt, or None if there is none left.

        A stream that has begun at ``origin`` goes on only there.

        Only first attempts are refused for overload, since work was already spent on later ones.
        The expected wait decides only whether a request is refused, not where it goes: a chat that
        is moved to a less loaded engine has to be prefilled again.
        """
        listed = snapshot.list_upstreams(request.service)
        accepting = [known for known in listed if known.upstream.accepts_requests]
        if origin is not None:
            accepting = [known for known in accepting if known.upstream.software == origin.software]
            if not accepting:
                return OriginGone(origin)
        allowed = [known for known in accepting if not self._is_backing_off(known, now)]
        if accepting and not allowed:
            return AllBackingOff(self.backoffs.find_first_end(map(_get_key, accepting), now))
        untried = [known for known in allowed if known.upstream.name not in tried]
        within_limit = self._find_within_limit(request, untried, now, is_first=not tried)
        if untried and not within_limit:
            return RateLimited(self._find_first_token(untried, now))
        candidates = self._find_candidates(within_limit, now)
        if not candidates:
            return None
        if not tried and not self._can_any_start(request, candidates):
            return _describe_overload(candidates)
        if not request.prompt.chat_key:
            return self.chooser.choose_by_load(candidates)
        holders = [
            known.upstream
            for known in listed
            if not self.outliers.is_avoided(known.upstream.name, now)
        ]
        heat = 0 if tried else self.chat_heat.record(request.prompt.chat_key, now)
        choice = self.chooser.choose_for_chat(request.prompt, candidates, holders, heat=heat)
        if choice.load.requests < choice.upstream.slots:
            return choice
        # What a limited engine still takes would be unused while others queue.
        free = [one for one in candidates if self._has_free_token(one)]
        return self.chooser.choose_for_chat(request.prompt, free, holders) if free else choice

    def record_dispatch(self, upstream: Upstream, now: float) -> None:
        """Count a request that is sent to a chosen upstream."""
        self.rate_limits.withdraw(upstream.name, upstream.incarnation, now)

    def _find_within_limit(
        self, request: CallerRequest, untried: list[KnownUpstream], now: float, *, is_first: bool
    ) -> list[KnownUpstream]:
        """Return the upstreams whose request limits leave room for this request."""
        if not untried:
            return []
        own_rate = sum(self.rate_limits.get_own_rate(*_get_key(known)) for known in untried)
        if is_first and isfinite(own_rate):
            arrivals = self._arrivals.setdefault(request.service, RankedArrivals())
            arrivals.record(request.rank, now)
            if not arrivals.is_admitted(request.rank, own_rate):
                return []
        gains = self._find_gains(request, untried)
        if is_first:
            for key, gain in gains.items():
                self.rate_limits.record_demand(*key, gain, now)
        return [
            known
            for known in untried
            if self.rate_limits.find_wait(*_get_key(known), gains.get(_get_key(known), 0), now) <= 0
        ]

    def _find_gains(
        self, request: CallerRequest, untried: list[KnownUpstream]
    ) -> dict[tuple[str, int], int]:
        """Return how many more prompt tokens each limited upstream has cached than any other."""
        caches, parts = self.chooser.caches, request.prompt.shared_parts
        limited = [known for known in untried if self.rate_limits.is_limited(*_get_key(known))]
        if not limited:
            return {}
        elsewhere = max(
            (
                caches.count_cached(known.upstream.name, parts)
                for known in untried
                if not self.rate_limits.is_limited(*_get_key(known))
            ),
            default=0,
        )
        return {
            _get_key(known): max(0, caches.count_cached(known.upstream.name, parts) - elsewhere)
            for known in limited
        }

    def _find_first_token(self, untried: list[KnownUpstream], now: float) -> float:
        return min(self.rate_limits.find_wait(*_get_key(known), 0, now) for known in untried)

    def _has_free_token(self, candidate: Candidate) -> bool:
        """Return whether a candidate has a request limit, a token for this host and a free slot."""
        upstream = candidate.upstream
        is_limited = self.rate_limits.is_limited(upstream.name, upstream.incarnation)
        return is_limited and candidate.load.requests < upstream.slots

    def _is_backing_off(self, known: KnownUpstream, now: float) -> bool:
        return self.backoffs.is_backing_off(*_get_key(known), now)

    def _find_candidates(self, untried: list[KnownUpstream], now: float) -> list[Candidate]:
        trusted = [
            known
            for known in untried
            if not self.outliers.is_avoided(known.upstream.name, now)
            and not self.backoffs.is_peer_backing_off(known.upstream.name, now)
        ]
        # When all are avoided, the cause is likely elsewhere.
        chosen = trusted or untried
        loads = self.load_tracker.read([known.upstream.name for known in chosen], now)
        return [Candidate(known.upstream, loads[known.upstream.name]) for known in chosen]

    def _can_any_start(self, request: CallerRequest, candidates: list[Candidate]) -> bool:
        """Return whether any candidate is expected to start the request in time."""
        urgency = RequestUrgency(request.rank, request.route.target_s, request.waited_s)
        throughput = self.throughput_of(request.service)
        return any(
            can_start_in_time(urgency, candidate.load, candidate.upstream.slots, throughput)
            for candidate in candidates
        )


def _get_key(known: KnownUpstream) -> tuple[str, int]:
    return known.upstream.name, known.upstream.incarnation


def _describe_overload(candidates: list[Candidate]) -> Overloaded:
    loads = [candidate.load for candidate in candidates]
    return Overloaded(
        upstreams=len(candidates),
        least_requests=min(load.requests for load in loads),
        least_unread_tokens=min(load.unread_tokens for load in loads),
    )
