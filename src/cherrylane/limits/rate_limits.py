"""Request rates that upstreams name in their answers, for all hosts together.

A rate holds for one incarnation of an upstream, from its first answer that names it until an answer
that does not. Between answers it never expires: an idle upstream keeps its limit.
"""

from attrs import define, field, frozen
from logbook import Logger

# Most incarnations whose limits are remembered; the one heard of least recently is dropped first.
MAX_REMEMBERED = 4096

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


@define
class KnownLimit:
    """What is known of one incarnation: its rate, None if it has ended, and when that was heard."""

    requests_per_s: float | None
    heard_at: float


@define
class UpstreamRateLimits:
    """The rates that upstreams name.

    Example::

        limits.record("i-7", 1, RateLimit(4.5), now=10.0)
        limits.get_rate("i-7", 1)  # 4.5
        limits.record("i-7", 1, NoLimit(), now=12.0)
        limits.get_rate("i-7", 1)  # None
    """

    _known: dict[tuple[str, int], KnownLimit] = field(factory=dict)
    _invalid: dict[tuple[str, int], str] = field(factory=dict)

    def record(self, name: str, incarnation: int, statement: RateStatement, now: float) -> bool:
        """Record what an answer of an upstream says; returns whether its limit has changed."""
        match statement:
            case RateLimit(requests_per_s=rate):
                return self.record_rate(name, incarnation, rate, now, source="answer")
            case NoLimit():
                if (name, incarnation) not in self._known:
                    return False
                return self.record_rate(name, incarnation, None, now, source="answer")
            case InvalidLimit(text=text):
                self._log_invalid(name, incarnation, text)
                return False

    def record_rate(
        self, name: str, incarnation: int, rate: float | None, heard_at: float, *, source: str
    ) -> bool:
        """Record a rate unless a later one is known; returns whether that changes anything."""
        key = (name, incarnation)
        known = self._known.get(key)
        if known is not None and heard_at < known.heard_at:
            return False
        before = known.requests_per_s if known is not None else None
        self._known.pop(key, None)
        self._known[key] = KnownLimit(rate, heard_at)
        while len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]
        if rate == before:
            return False
        log.info(
            "upstream has a request limit" if rate is not None else "request limit has ended",
            extra={"upstream": name, "requests_per_s": rate, "before": before, "source": source},
        )
        return True

    def get_rate(self, name: str, incarnation: int) -> float | None:
        """Return the limit in force for an upstream in requests a second, None if there is none."""
        known = self._known.get((name, incarnation))
        return known.requests_per_s if known is not None else None

    def count_in_force(self) -> int:
        """Return how many limits are in force."""
        return sum(1 for known in self._known.values() if known.requests_per_s is not None)

    def _log_invalid(self, name: str, incarnation: int, text: str) -> None:
        """Log a limit that cannot be read, once until the upstream names another one."""
        key = (name, incarnation)
        if self._invalid.get(key) == text:
            return
        self._invalid.pop(key, None)
        self._invalid[key] = text
        while len(self._invalid) > MAX_REMEMBERED:
            del self._invalid[next(iter(self._invalid))]
        log.warning(
            "request limit of an upstream cannot be read; the one before stays in force",
            extra={"upstream": name, "value": text},
        )
