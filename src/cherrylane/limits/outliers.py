"""Passive outlier detection: upstreams that this host avoids because its requests failed there.

An upstream to which no connection can be opened is avoided at once. One that fails more often than
the other upstreams of its service is avoided after a few requests. The time doubles while failures
continue. Active health checks are not used: they cost work and may be wrong.

A few answered failures in a row are no proof that the next request fails as well, so an upstream
that is avoided for these still counts as capacity when the others have no room. One at which
connections fail or break does not: a request that may not be repeated is better refused than lost.
Nor does one that fails most requests, which it may do at once and so without ever being full.
"""

from collections.abc import Iterable

from attrs import define, field

from cherrylane.placement.speeds import USUAL_SPEED

# Initial and maximum seconds for which an upstream is avoided.
INITIAL_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 4.0
# Weight of the newest request in the moving average of failures, which covers about the last six.
EWMA_WEIGHT = 0.15
# An upstream is avoided when its failure share exceeds the mean of the others by this much.
EXCESS_FAILURE_SHARE = 0.3
# An avoided upstream with a larger failure share does not count as capacity: nine failures in a row
# after successes only. With 0.5, 78 of 4,000 requests were refused below capacity where one in
# seven fails.
MAX_USABLE_FAILURE_SHARE = 0.75


@define
class UpstreamRecord:
    """The failure state of one upstream; times are in seconds of the clock that gives ``now``."""

    failure_share: float = 0.0
    avoided_until: float = float("-inf")
    avoidance_s: float = INITIAL_AVOIDANCE_S
    is_answering: bool = True


@define
class OutlierDetector:
    """Tracks the failures of all upstreams."""

    _records: dict[str, UpstreamRecord] = field(factory=dict)

    def record_success(self, name: str, now: float) -> None:
        """Record a complete, successful answer."""
        record = self._record(name)
        record.is_answering = True
        record.failure_share *= 1 - EWMA_WEIGHT
        if record.avoided_until < now:
            record.avoidance_s = INITIAL_AVOIDANCE_S

    def record_failure(
        self, name: str, peers: Iterable[str], now: float, *, speed: float = USUAL_SPEED
    ) -> bool:
        """Record a request that an upstream answered with a failure.

        Returns whether the upstream is now avoided. ``peers`` are all upstreams of its service.
        When all fail alike, none is avoided. At an upstream that was slow (``speed`` below 1.0),
        it takes a larger excess in proportion.
        """
        record = self._record(name)
        record.is_answering = True
        record.failure_share += EWMA_WEIGHT * (1 - record.failure_share)
        others = [self._record(peer).failure_share for peer in peers if peer != name]
        mean_of_others = sum(others) / len(others) if others else 1.0
        excess = EXCESS_FAILURE_SHARE / min(USUAL_SPEED, speed)
        if record.failure_share <= mean_of_others + excess:
            return False
        self._avoid(record, now)
        return True

    def record_broken(
        self, name: str, peers: Iterable[str], now: float, *, speed: float = USUAL_SPEED
    ) -> bool:
        """Record a request that was not answered, as a failure."""
        is_avoided = self.record_failure(name, peers, now, speed=speed)
        self._record(name).is_answering = False
        return is_avoided

    def record_unreachable(self, name: str, now: float) -> None:
        """Record a failed connection attempt; the upstream is avoided at once."""
        record = self._record(name)
        record.is_answering = False
        self._avoid(record, now)

    def is_avoided(self, name: str, now: float) -> bool:
        """Return whether new requests should go to other upstreams."""
        return name in self._records and self._records[name].avoided_until > now

    def is_unusable(self, name: str, now: float) -> bool:
        """Return whether an upstream is avoided and its connections or most requests fail there."""
        if not self.is_avoided(name, now):
            return False
        record = self._records[name]
        return not record.is_answering or record.failure_share > MAX_USABLE_FAILURE_SHARE

    def forget(self, name: str) -> None:
        """Drop the record of a removed upstream."""
        self._records.pop(name, None)

    def _avoid(self, record: UpstreamRecord, now: float) -> None:
        if record.avoided_until > now:
            return
        record.avoided_until = now + record.avoidance_s
        record.avoidance_s = min(MAX_AVOIDANCE_S, record.avoidance_s * 2)

    def _record(self, name: str) -> UpstreamRecord:
        return self._records.setdefault(name, UpstreamRecord())
