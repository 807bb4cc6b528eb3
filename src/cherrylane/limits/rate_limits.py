"""Request rates that upstreams name in their answers, for all hosts together.

A rate holds for one incarnation of an upstream, from its first answer that names it until an answer
that does not. Between answers it does not expire: an idle upstream keeps its limit. Hosts tell each
other what they have heard, with its age, and the latest statement wins.

Each host uses its share of a rate, see :mod:`cherrylane.limits.rate_shares`, through a token bucket
that starts empty. An upstream without a token for this host is treated as full.
"""

from collections.abc import Iterable, Sequence
from typing import TypeVar

from attrs import define, field, frozen
from logbook import Logger

from cherrylane.limits.demand import RecentDemand
from cherrylane.limits.rate_shares import TokenBucket, find_share

# Most incarnations whose limits are remembered; the one heard of least recently is dropped first.
MAX_REMEMBERED = 32_768
# Seconds without a statement after which limits that have ended, and those of upstreams that are
# not listed, are forgotten. Copies of the upstream list may be some seconds old.
MEMORY_S = 120.0
# Seconds by which one answer may overtake another on its way here.
OVERTAKING_S = 0.05

UpstreamKey = tuple[str, int]
T = TypeVar("T")

log = Logger("cherrylane.limits")


@frozen
class NoLimit:
    """An answer names no limit."""


@frozen
class RateLimit:
    """An answer names a limit, in requests a second; 0 means nothing at all."""

    requests_per_s: float


@frozen
class InvalidLimit:
    """An answer names a limit that cannot be read."""

    text: str


RateStatement = NoLimit | RateLimit | InvalidLimit


@frozen
class KnownLimit:
    """The rate of one incarnation, None if it has ended; times are in seconds.

    ``heard_at`` is when an upstream last said so, ``changed_at`` when this host learned of it.
    """

    name: str
    incarnation: int
    requests_per_s: float | None
    heard_at: float
    changed_at: float


@define
class UpstreamRateLimits:
    """The rates that upstreams name, and what this host may send them.

    Example::

        limits.set_hosts("10.0.0.1", ["10.0.0.2"], now=9.0)
        limits.record("i-7", 1, RateLimit(4.5), now=10.0)
        limits.find_wait("i-7", 1, gain=0, now=10.0)  # 0.5, the bucket is empty
        limits.withdraw("i-7", 1, now=12.0)
    """

    _own: str | None = ""
    _hosts: frozenset[str] = frozenset({""})
    _known: dict[UpstreamKey, KnownLimit] = field(factory=dict)
    _buckets: dict[UpstreamKey, TokenBucket] = field(factory=dict)
    _demand: dict[UpstreamKey, RecentDemand] = field(factory=dict)
    _invalid: dict[UpstreamKey, str] = field(factory=dict)

    def set_hosts(self, own: str | None, peers: Iterable[str], now: float) -> None:
        """Set the hosts that share the limits; ``own`` is None while this host takes no part."""
        hosts = frozenset(peers) if own is None else frozenset((own, *peers))
        if (own, hosts) == (self._own, self._hosts):
            return
        self._own, self._hosts = own, hosts
        for key in self._buckets:
            self._buckets[key].set_rate(self._find_share(key), now)

    def record(self, name: str, incarnation: int, statement: RateStatement, now: float) -> bool:
        """Record what an answer of an upstream says; returns whether its limit has changed."""
        match statement:
            case RateLimit(requests_per_s=rate):
                return self._record_rate((name, incarnation), rate, now, now, source="answer")
            case NoLimit():
                known = self._known.get((name, incarnation))
                if known is None or now - known.heard_at <= OVERTAKING_S:
                    return False
                return self._record_rate((name, incarnation), None, now, now, source="answer")
            case InvalidLimit(text=text):
                self._log_invalid((name, incarnation), text)
                return False

    def record_peer(
        self, name: str, incarnation: int, rate: float | None, heard_at: float, now: float
    ) -> None:
        """Record what a peer has heard of an upstream at ``heard_at``."""
        self._record_rate((name, incarnation), rate, min(heard_at, now), now, source="peer")

    def get_rate(self, name: str, incarnation: int) -> float | None:
        """Return the limit in force for an upstream in requests a second, None if there is none."""
        known = self._known.get((name, incarnation))
        return known.requests_per_s if known is not None else None

    def get_own_rate(self, name: str, incarnation: int) -> float:
        """Return this host's share of the limit in force, infinite if there is none."""
        bucket = self._buckets.get((name, incarnation))
        return float("inf") if bucket is None else bucket.rate

    def is_limited(self, name: str, incarnation: int) -> bool:
        """Return whether a limit is in force for an upstream."""
        return (name, incarnation) in self._buckets

    def record_demand(self, name: str, incarnation: int, gain: int, now: float) -> None:
        """Record a request that could go to an upstream with a limit.

        ``gain`` is how many tokens of its prompt need not be prefilled there but elsewhere.
        """
        key = (name, incarnation)
        if key in self._buckets:
            self._demand.setdefault(key, RecentDemand()).record(gain, now)

    def find_wait(self, name: str, incarnation: int, gain: int, now: float) -> float:
        """Return the seconds until this host may send an upstream a request.

        0 if it may at once, infinite if this host has no share of the upstream's limit.
        """
        key = (name, incarnation)
        bucket = self._buckets.get(key)
        if bucket is None:
            return 0.0
        demand = self._demand.get(key)
        is_preferred = demand is None or demand.is_preferred(gain, bucket.rate, now)
        return bucket.find_wait(now, is_preferred=is_preferred)

    def withdraw(self, name: str, incarnation: int, now: float) -> None:
        """Count a request that this host sends to an upstream."""
        bucket = self._buckets.get((name, incarnation))
        if bucket is not None:
            bucket.withdraw(now)

    def list_known(self, listed: Iterable[UpstreamKey]) -> list[KnownLimit]:
        """Return what is known of the ``listed`` upstreams, the latest changes first."""
        found = [self._known[key] for key in listed if key in self._known]
        return sorted(found, key=lambda known: known.changed_at, reverse=True)

    def count_in_force(self) -> int:
        """Return how many limits are in force."""
        return len(self._buckets)

    def forget_old(self, listed: set[UpstreamKey], now: float) -> None:
        """Forget the limits of upstreams that have gone; called at regular intervals."""
        for key, known in list(self._known.items()):
            if now - known.heard_at > MEMORY_S and (
                known.requests_per_s is None or key not in listed
            ):
                self._forget(key)

    def _record_rate(
        self, key: UpstreamKey, rate: float | None, heard_at: float, now: float, *, source: str
    ) -> bool:
        """Record a rate unless a later one is known; returns whether it is another one."""
        known = self._known.get(key)
        if known is not None and heard_at <= known.heard_at:
            return False
        before = known.requests_per_s if known is not None else None
        changed_at = known.changed_at if known is not None and rate == before else now
        for dropped in _add_bounded(self._known, key, KnownLimit(*key, rate, heard_at, changed_at)):
            self._forget(dropped)
        if rate == before:
            return False
        self._set_bucket(key, now)
        log.info(
            "upstream has a request limit" if rate is not None else "request limit has ended",
            extra={
                "upstream": key[0],
                "requests_per_s": rate,
                "before": before,
                "own_share": self._buckets[key].rate if rate is not None else None,
                "source": source,
            },
        )
        return True

    def _set_bucket(self, key: UpstreamKey, now: float) -> None:
        if self._known[key].requests_per_s is None:
            self._buckets.pop(key, None)
            self._demand.pop(key, None)
        elif key in self._buckets:
            self._buckets[key].set_rate(self._find_share(key), now)
        else:
            self._buckets[key] = TokenBucket(self._find_share(key), now)

    def _find_share(self, key: UpstreamKey) -> float:
        rate = self._known[key].requests_per_s
        if rate is None or self._own is None:
            return 0.0
        return find_share(self._own, self._hosts, f"{key[0]}:{key[1]}", rate)

    def _forget(self, key: UpstreamKey) -> None:
        self._known.pop(key, None)
        self._buckets.pop(key, None)
        self._demand.pop(key, None)
        self._invalid.pop(key, None)

    def _log_invalid(self, key: UpstreamKey, text: str) -> None:
        """Log a limit that cannot be read, once until the upstream names another such value."""
        if self._invalid.get(key) == text:
            return
        _add_bounded(self._invalid, key, text)
        log.warning(
            "request limit of an upstream cannot be read; the one before stays in force",
            extra={"upstream": key[0], "value": text},
        )


def _add_bounded(values: dict[UpstreamKey, T], key: UpstreamKey, value: T) -> Sequence[UpstreamKey]:
    """Set a value as the newest one; drops the oldest beyond the bound and returns their keys."""
    values.pop(key, None)
    values[key] = value
    dropped = list(values)[: max(0, len(values) - MAX_REMEMBERED)]
    for oldest in dropped:
        del values[oldest]
    return dropped
