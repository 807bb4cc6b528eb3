"""Engine health: ejection of failing engines and slow start of new ones.

An engine that is unreachable, fails several times in a row, or flaps on the platform's list is
ejected for a time that doubles with each ejection, until it has served well for the longest such
time. At most ``max_aside_share`` of the listed engines may be ejected at once: when more look
unhealthy, the cause is likely elsewhere. An engine that joins ramps up its weight over
``slow_start_s``.
"""

from collections.abc import Iterable

from attrs import define, field

from cherrylane.configuration.documents import HealthSettings
from cherrylane.limits.work import GrantOutcome

# Decayed number of departures from the list above which an engine is ejected on its return.
FLAPS_TOLERATED = 1.0


@define
class EngineRecord:
    """The health state of one engine; times are in seconds of the pool home's clock."""

    joined_at: float
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    unreachable: bool = False
    flaps: float = 0.0
    flaps_at: float = 0.0
    listed: bool = True


@define
class EngineHealth:
    """The health state of a pool's engines."""

    settings: HealthSettings
    _records: dict[str, EngineRecord] = field(factory=dict)

    def set_listed(self, names: Iterable[str], now: float) -> None:
        """Update the listed engines; those of the first list skip the slow start."""
        listed = dict.fromkeys(names)
        first = not self._records
        for name, record in self._records.items():
            if record.listed and name not in listed:
                record.listed = False
                record.flaps = self._decayed_flaps(record, now) + 1.0
                record.flaps_at = now
        for name in listed:
            self._record_listed(name, now, first=first)
        self._drop_stale(now)

    def report(self, name: str, outcome: GrantOutcome, now: float) -> None:
        """Record the outcome of a request; outcomes of ejected engines are ignored."""
        record = self._records.get(name)
        if record is None or record.ejected_until > now:
            return
        if not outcome.unreachable and not outcome.failed:
            record.failures = 0
            record.unreachable = False
            if now > record.ejected_until + self.settings.max_aside_s:
                record.ejections = 0
            return
        record.failures += 1
        record.unreachable = outcome.unreachable
        if outcome.unreachable or record.failures >= self.settings.failures_tolerated:
            self._eject(record, now)

    def counted(self, now: float) -> set[str]:
        """Return the engines that count towards the mean load: those listed and reachable."""
        available = self.available(now)
        return {
            name
            for name, record in self._records.items()
            if record.listed and (name in available or not record.unreachable)
        }

    def available(self, now: float) -> set[str]:
        """Return the listed engines that are not ejected; at most a share may be ejected."""
        listed = {name: record for name, record in self._records.items() if record.listed}
        ejected = [name for name, record in listed.items() if record.ejected_until > now]
        allowed = int(self.settings.max_aside_share * len(listed))
        if len(ejected) > allowed:
            ejected.sort(key=lambda name: listed[name].ejected_until, reverse=True)
            ejected = ejected[:allowed]
        return set(listed) - set(ejected)

    def ramp(self, name: str, now: float) -> float:
        """Return the fraction of an engine's weight that is in effect during its slow start."""
        record = self._records[name]
        ramp_start = max(record.joined_at, record.ejected_until)
        if now >= ramp_start + self.settings.slow_start_s:
            return 1.0
        return max(self.settings.slow_start_share, (now - ramp_start) / self.settings.slow_start_s)

    def _record_listed(self, name: str, now: float, *, first: bool) -> None:
        record = self._records.get(name)
        if record is None:
            joined_at = now - self.settings.slow_start_s if first else now
            self._records[name] = EngineRecord(joined_at=joined_at)
        elif not record.listed:
            record.listed = True
            record.joined_at = now
            record.failures = 0
            record.unreachable = False
            if self._decayed_flaps(record, now) > FLAPS_TOLERATED:
                self._eject(record, now)

    def _eject(self, record: EngineRecord, now: float) -> None:
        ejection_s = self.settings.aside_s * 2.0**record.ejections
        record.ejected_until = now + min(ejection_s, self.settings.max_aside_s)
        record.ejections += 1
        record.failures = 0

    def _decayed_flaps(self, record: EngineRecord, now: float) -> float:
        half_lives = (now - record.flaps_at) / self.settings.flap_half_life_s
        return float(record.flaps * 0.5**half_lives)

    def _drop_stale(self, now: float) -> None:
        cutoff = now - 10.0 * self.settings.flap_half_life_s
        self._records = {
            name: record
            for name, record in self._records.items()
            if record.listed or record.flaps_at > cutoff
        }
