"""The speed of each upstream, as it reports it in its responses.

Upstreams share their machines with other workloads, which slow them down for fractions of a second.
A report counts less the older it is, and nothing after ``SPEED_LIFETIME_S``: a wrong speed is worse
than none. Speeds are not derived from the durations of requests, which were a worse guide than no
speed at all (docs/design/021-speeds.md).
"""

from attrs import define, field, frozen

from cherrylane.platform.headers import UpstreamLoad

# Seconds in which the speed of a machine changes.
SPEED_LIFETIME_S = 0.6
# Seconds after the last report for which upstreams are taken to be on shared machines.
REPORTING_S = 10.0
# Bounds of a speed; a report beyond them counts as the nearest one.
MIN_SPEED = 0.1
MAX_SPEED = 4.0
USUAL_SPEED = 1.0
# Most incarnations of upstreams that are known at once.
MAX_KNOWN = 20_000

UpstreamKey = tuple[str, int]


@frozen
class SpeedReport:
    """What an upstream said of itself at ``heard_at``, in seconds of the loop's clock.

    ``speed`` is 1.0 if work takes as long as usual, 0.5 if it takes twice as long. ``requests`` are
    those that it ran or that waited there.
    """

    speed: float
    requests: int
    heard_at: float


@define
class SpeedTracker:
    """The last report of each upstream, by its name and incarnation.

    Example::

        tracker.record(upstream.key, UpstreamLoad(6, 2, 6, work_percent=250), now=5.0)
        tracker.get_speed(upstream.key, now=5.0)  # 0.4
        tracker.get_speed(upstream.key, now=5.3)  # 0.7
        tracker.get_speed(upstream.key, now=5.6)  # 1.0
    """

    _reports: dict[UpstreamKey, SpeedReport] = field(factory=dict)
    _malformed: set[UpstreamKey] = field(factory=set)
    _last_report_at: float = float("-inf")

    def record(self, key: UpstreamKey, load: UpstreamLoad, now: float) -> None:
        """Take over what a response of an upstream says; without a duration of work, nothing."""
        if load.work_percent is None or load.work_percent <= 0:
            return
        speed = min(MAX_SPEED, max(MIN_SPEED, 100 / load.work_percent))
        if key in self._reports or len(self._reports) < MAX_KNOWN:
            self._reports[key] = SpeedReport(speed, load.running + load.waiting, now)
            self._last_report_at = now

    def record_malformed(self, key: UpstreamKey) -> bool:
        """Record a header that cannot be read; returns whether it is the first of the upstream."""
        if key in self._malformed or len(self._malformed) >= MAX_KNOWN:
            return False
        self._malformed.add(key)
        return True

    def get_speed(self, key: UpstreamKey, now: float) -> float:
        """Return the speed of an upstream, 1.0 if it is as usual or not known."""
        report = self._reports.get(key)
        if report is None:
            return USUAL_SPEED
        return USUAL_SPEED + (report.speed - USUAL_SPEED) * _find_confidence(report, now)

    def estimate_requests(self, key: UpstreamKey, expected: float, now: float) -> float:
        """Return the requests at an upstream; ``expected`` are those where no report says it."""
        report = self._reports.get(key)
        if report is None:
            return expected
        return expected + (report.requests - expected) * _find_confidence(report, now)

    def has_reports(self, now: float) -> bool:
        """Return whether any upstream has reported its speed lately."""
        return now - self._last_report_at <= REPORTING_S

    def forget_old(self, listed: set[UpstreamKey]) -> None:
        """Forget the upstreams that have gone; called at regular intervals."""
        for key in self._reports.keys() - listed:
            del self._reports[key]
        self._malformed &= listed


def _find_confidence(report: SpeedReport, now: float) -> float:
    """Return the weight of a report, from 1 at its arrival down to 0."""
    age_s = max(0.0, now - report.heard_at)
    return max(0.0, 1 - age_s / SPEED_LIFETIME_S)
