"""Which engines take part at the moment, and how fully.

An engine that cannot be reached, fails again and again, or flaps on the platform's list is put
aside for a while that doubles each time. Only a share of the listed engines may be aside at once:
when more are suspect, the fault is likely not theirs. An engine that joins starts slowly.
"""

from collections.abc import Iterable

from attrs import define, field

from cherrylane.configuration.documents import HealthSettings
from cherrylane.limits.work import GrantOutcome

FLAPS_TOLERATED = 1.0


@define
class EngineRecord:
    """What is remembered of one engine; times are in seconds of the home's clock."""

    joined_at: float
    failures: int = 0
    times_aside: int = 0
    aside_until: float = float("-inf")
    unreachable: bool = False
    flaps: float = 0.0
    flaps_at: float = 0.0
    listed: bool = True


@define
class EngineHealth:
    """The records of a pool's engines."""

    settings: HealthSettings
    _records: dict[str, EngineRecord] = field(factory=dict)

    def set_listed(self, names: Iterable[str], now: float) -> None:
        """Take in the platform's list; engines of the very first list start at once."""
        listed = set(names)
        first = not self._records
        for name, record in self._records.items():
            if record.listed and name not in listed:
                record.listed = False
                record.flaps = self._decayed_flaps(record, now) + 1.0
                record.flaps_at = now
        for name in listed:
            self._note_listed(name, now, first=first)
        self._forget_old(now)

    def report(self, name: str, outcome: GrantOutcome, now: float) -> None:
        """Take in what came of a request."""
        record = self._records.get(name)
        if record is None or record.aside_until > now:
            return
        if not outcome.unreachable and not outcome.failed:
            record.failures = 0
            record.unreachable = False
            return
        record.failures += 1
        record.unreachable = outcome.unreachable
        if outcome.unreachable or record.failures >= self.settings.failures_tolerated:
            self._put_aside(record, now)

    def counted(self, now: float) -> set[str]:
        """Return the engines over which the mean is taken: those listed that can be reached."""
        available = self.available(now)
        return {
            name
            for name, record in self._records.items()
            if record.listed and (name in available or not record.unreachable)
        }

    def available(self, now: float) -> set[str]:
        """Return the engines that take work; at most a share of the listed is left out."""
        listed = {name: record for name, record in self._records.items() if record.listed}
        aside = [name for name, record in listed.items() if record.aside_until > now]
        allowed = int(self.settings.max_aside_share * len(listed))
        if len(aside) > allowed:
            aside.sort(key=lambda name: listed[name].aside_until, reverse=True)
            aside = aside[:allowed]
        return set(listed) - set(aside)

    def ramp(self, name: str, now: float) -> float:
        """Return the share of its weight that an engine takes part with."""
        record = self._records[name]
        since = max(record.joined_at, record.aside_until)
        if now >= since + self.settings.slow_start_s:
            return 1.0
        return max(self.settings.slow_start_share, (now - since) / self.settings.slow_start_s)

    def _note_listed(self, name: str, now: float, *, first: bool) -> None:
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
                self._put_aside(record, now)

    def _put_aside(self, record: EngineRecord, now: float) -> None:
        wait_s = self.settings.aside_s * 2.0**record.times_aside
        record.aside_until = now + min(wait_s, self.settings.max_aside_s)
        record.times_aside += 1
        record.failures = 0

    def _decayed_flaps(self, record: EngineRecord, now: float) -> float:
        halvings = (now - record.flaps_at) / self.settings.flap_half_life_s
        return float(record.flaps * 0.5**halvings)

    def _forget_old(self, now: float) -> None:
        forgotten = now - 10.0 * self.settings.flap_half_life_s
        self._records = {
            name: record
            for name, record in self._records.items()
            if record.listed or record.flaps_at > forgotten
        }
