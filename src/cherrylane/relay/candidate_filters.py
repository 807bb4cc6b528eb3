"""Filters that narrow the upstreams of a service down to those that may get a request now.

Each filter answers one concern. :class:`~cherrylane.relay.selection.UpstreamSelector` applies them
in order; the first one that leaves no upstream explains why the request has none.
"""

from math import isfinite
from typing import Protocol

from attrs import define, field, frozen

from cherrylane.limits.backoff import BackoffTracker
from cherrylane.limits.outliers import OutlierDetector
from cherrylane.limits.priorities import RankedArrivals
from cherrylane.limits.rate_limits import UpstreamRateLimits
from cherrylane.placement.caches import CacheMap
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection_failures import (
    AllBackingOff,
    AllEvacuated,
    EvacuationsUnknown,
    OriginGone,
    RateLimited,
    SelectionFailure,
)
from cherrylane.relay.stream_origins import StreamOrigin
from cherrylane.routing.snapshot import KnownUpstream, Snapshot


@frozen
class SelectionQuery:
    """One selection: the request, what this host knows, and what the request has been through.

    ``tried`` are the names of the upstreams of its earlier attempts, and ``origin`` is where its
    stream began, None before its first event.
    """

    request: CallerRequest
    snapshot: Snapshot
    tried: set[str]
    now: float
    origin: StreamOrigin | None = None

    @property
    def is_first_attempt(self) -> bool:
        """Whether the request has not been sent to any upstream yet."""
        return not self.tried


class CandidateFilter(Protocol):
    """Keeps the upstreams that one concern allows.

    Upstreams that a filter removes although they belong to the capacity of the service
    (``counts_in_mean``) still count in the mean load, by which the load of the others is bounded.
    """

    @property
    def counts_in_mean(self) -> bool:
        """Whether upstreams that this filter removes count in the mean load of the service."""

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return those of ``upstreams`` that may get the request."""

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return why none of ``upstreams`` may, None if there was nothing to choose from."""


@frozen
class AcceptingFilter:
    """Keeps the upstreams that accept new requests."""

    counts_in_mean: bool = False

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams that accept requests."""
        return [known for known in upstreams if known.upstream.accepts_requests]

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return that a stream's origin is gone; other requests have nothing to choose from."""
        return OriginGone(query.origin) if query.origin is not None else None


@frozen
class EvacuationFilter:
    """Keeps the upstreams outside the evacuated failure domains.

    The others are still part of the capacity of their service, and return to it.
    """

    counts_in_mean: bool = True

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams whose failure domain is not evacuated, none if that is unknown."""
        evacuations = query.snapshot.evacuations
        if evacuations is not None and not evacuations.domains:
            return upstreams
        return [known for known in upstreams if query.snapshot.may_send_to(known.upstream)]

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return that all upstreams are evacuated, or for a stream that its origin is gone."""
        evacuations = query.snapshot.evacuations
        if evacuations is None:
            return EvacuationsUnknown()
        if query.origin is not None:
            return OriginGone(query.origin)
        return AllEvacuated(evacuations.domains)


@frozen
class SoftwareVersionFilter:
    """Keeps the upstreams of the software version at which a stream began."""

    counts_in_mean: bool = False

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams at which the stream may go on, all if it has not begun."""
        origin = query.origin
        if origin is None:
            return upstreams
        return [known for known in upstreams if known.upstream.software == origin.software]

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return that the origin of the stream is gone."""
        return OriginGone(query.origin) if query.origin is not None else None


@frozen
class BackoffFilter:
    """Keeps the upstreams that have not asked this host to send nothing for a while."""

    backoffs: BackoffTracker
    counts_in_mean: bool = False

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams that are not backing off."""
        return [
            known
            for known in upstreams
            if not self.backoffs.is_backing_off(*known.upstream.key, query.now)
        ]

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return when the first upstream may be sent requests again."""
        keys = [known.upstream.key for known in upstreams]
        return AllBackingOff(self.backoffs.find_first_end(keys, query.now))


@frozen
class UntriedFilter:
    """Keeps the upstreams that the request was not sent to before."""

    counts_in_mean: bool = False

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams without an earlier attempt."""
        return [known for known in upstreams if known.upstream.name not in query.tried]

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return None: all upstreams were tried."""
        return None


@define
class RateLimitFilter:
    """Keeps the upstreams whose request limits leave room for this request."""

    rate_limits: UpstreamRateLimits
    caches: CacheMap
    counts_in_mean: bool = False
    _arrivals: dict[str, RankedArrivals] = field(factory=dict)

    def select(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the upstreams that take the request at once; counts it in their demand."""
        request, now = query.request, query.now
        own_rate = sum(self.rate_limits.get_own_rate(*known.upstream.key) for known in upstreams)
        if query.is_first_attempt and isfinite(own_rate):
            arrivals = self._arrivals.setdefault(request.service, RankedArrivals())
            arrivals.record(request.rank, now)
            if not arrivals.is_admitted(request.rank, own_rate):
                return []
        gains = self._find_gains(request, upstreams)
        if query.is_first_attempt:
            for key, gain in gains.items():
                self.rate_limits.record_demand(*key, gain, now)
        return [
            known
            for known in upstreams
            if self.rate_limits.find_wait(
                *known.upstream.key, gains.get(known.upstream.key, 0), now
            )
            <= 0
        ]

    def explain(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> SelectionFailure | None:
        """Return when this host may send a request again."""
        waits = (
            self.rate_limits.find_wait(*known.upstream.key, 0, query.now) for known in upstreams
        )
        return RateLimited(min(waits))

    def _find_gains(
        self, request: CallerRequest, upstreams: list[KnownUpstream]
    ) -> dict[tuple[str, int], int]:
        """Return how many more prompt tokens each limited upstream has cached than any other."""
        parts = request.prompt.shared_parts
        limited = [known for known in upstreams if self.rate_limits.is_limited(*known.upstream.key)]
        if not limited:
            return {}
        elsewhere = max(
            (
                self.caches.count_cached(known.upstream.name, parts)
                for known in upstreams
                if not self.rate_limits.is_limited(*known.upstream.key)
            ),
            default=0,
        )
        return {
            known.upstream.key: max(
                0, self.caches.count_cached(known.upstream.name, parts) - elsewhere
            )
            for known in limited
        }


@frozen
class TrustedUpstreams:
    """Prefers upstreams at which this host's requests and those of its peers do not fail.

    When all are avoided, the cause is likely elsewhere, and all are kept.
    """

    outliers: OutlierDetector
    backoffs: BackoffTracker

    def prefer(self, query: SelectionQuery, upstreams: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the trusted upstreams, or all if there is none."""
        return self.list_trusted(query, upstreams) or upstreams

    def list_trusted(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> list[KnownUpstream]:
        """Return the trusted upstreams, which may be none."""
        return [
            known
            for known in upstreams
            if not self.outliers.is_avoided(known.upstream.name, query.now)
            and not self.backoffs.is_peer_backing_off(known.upstream.name, query.now)
        ]

    def find_usable(
        self, query: SelectionQuery, upstreams: list[KnownUpstream]
    ) -> list[KnownUpstream]:
        """Return the upstreams that may be used when the trusted ones have no room.

        They answer, if only with failures, and have not asked a peer to send nothing.
        """
        return [
            known
            for known in upstreams
            if not self.outliers.is_unusable(known.upstream.name, query.now)
            and not self.backoffs.is_peer_backing_off(known.upstream.name, query.now)
        ]
