"""Which upstreams this host avoids, from what its own requests have shown.

An upstream that cannot be connected to is avoided at once; one that fails more often than its
service does as a whole, after a few requests. The time doubles while it goes on. Nothing depends
on health checks, which cost work and may be wrong.
"""

from collections.abc import Iterable

from attrs import define, field

# Seconds that an upstream is avoided at first, and at most.
FIRST_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 4.0
# Weight of the newest request in the failure share of an upstream; about the last six count.
NEWEST_WEIGHT = 0.15
# An upstream is avoided when its failure share exceeds the service's by this much.
EXCESS_SHARE = 0.3


@define
class UpstreamRecord:
    """What is remembered of one upstream; times are in seconds of the caller's clock."""

    failure_share: float = 0.0
    avoided_until: float = float("-inf")
    avoidance_s: float = FIRST_AVOIDANCE_S


@define
class OutlierDetector:
    """The records of all upstreams."""

    _records: dict[str, UpstreamRecord] = field(factory=dict)

    def note_success(self, name: str, now: float) -> None:
        """Take in an answer that is whole and good."""
        record = self._record(name)
        record.failure_share *= 1 - NEWEST_WEIGHT
        if record.avoided_until < now:
            record.avoidance_s = FIRST_AVOIDANCE_S

    def note_failure(self, name: str, peers: Iterable[str], now: float) -> bool:
        """Take in a failed request; says whether the upstream is avoided from now on.

        ``peers`` are all upstreams of its service: where all fail alike, none is avoided.
        """
        record = self._record(name)
        record.failure_share += NEWEST_WEIGHT * (1 - record.failure_share)
        others = [self._record(peer).failure_share for peer in peers if peer != name]
        usual = sum(others) / len(others) if others else 1.0
        if record.failure_share <= usual + EXCESS_SHARE:
            return False
        self._avoid(record, now)
        return True

    def note_unreachable(self, name: str, now: float) -> None:
        """Take in a connection that could not be opened; the upstream is avoided from now on."""
        self._avoid(self._record(name), now)

    def is_avoided(self, name: str, now: float) -> bool:
        """Say whether new requests should go elsewhere."""
        return name in self._records and self._records[name].avoided_until > now

    def forget(self, name: str) -> None:
        """Drop the record of an upstream that is gone."""
        self._records.pop(name, None)

    def _avoid(self, record: UpstreamRecord, now: float) -> None:
        if record.avoided_until > now:
            return
        record.avoided_until = now + record.avoidance_s
        record.avoidance_s = min(MAX_AVOIDANCE_S, record.avoidance_s * 2)

    def _record(self, name: str) -> UpstreamRecord:
        return self._records.setdefault(name, UpstreamRecord())
