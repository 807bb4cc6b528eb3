"""How long requests take, seen through those that have ended and those that still run.

A host that stops has to tell which requests still end in time. Requests that have ended are biased
to short ones: of requests that run for 7 s, none has ended 5 s after the first was sent. So each
request is followed from its start, and one that still runs says that such requests take longer
than its age (a right-censored observation). The share that takes longer than a given time is the
product-limit estimate (Kaplan and Meier, "Nonparametric Estimation from Incomplete Observations",
1958).
"""

from collections import deque
from math import isclose

from attrs import define, field

# Requests that are followed for each route. They are chosen by the time at which they start, so
# that long ones are as likely among them as short ones.
MAX_RUNS = 256
# Minimum seconds between the starts of two requests that are followed.
MIN_START_INTERVAL_S = 0.2
# Largest share of requests that may take longer than the time left for one to be started.
MAX_LATE_SHARE = 0.05
# Requests from which on a single one that takes longer is no reason to refuse all others.
MIN_RUNS_BESIDE_ONE = 10


@define(eq=False)
class Run:
    """One request that is followed; ``seconds`` is how long it has taken, None while it runs.

    ``is_whole`` is False for one that was given up before its end, which would have taken longer.
    """

    started_at: float
    seconds: float | None = None
    is_whole: bool = False

    def end(self, now: float, *, is_whole: bool) -> None:
        """Record the end."""
        self.seconds = now - self.started_at
        self.is_whole = is_whole


@define
class RunTimes:
    """The latest requests of each route.

    Example::

        run = run_times.begin("chat", now=10.0)
        run.end(11.5, is_whole=True)
        run_times.estimate_late_share("chat", 2.0, now=12.0)  # 0.0
    """

    _runs: dict[str, deque[Run]] = field(factory=dict)

    def begin(self, route: str, now: float) -> Run:
        """Return a new request of ``route``, which is followed unless another one just began."""
        runs = self._runs.get(route)
        if runs is None:
            runs = self._runs[route] = deque(maxlen=MAX_RUNS)
        run = Run(now)
        if not runs or now - runs[-1].started_at >= MIN_START_INTERVAL_S:
            runs.append(run)
        return run

    def discard(self, route: str, run: Run) -> None:
        """Stop to follow a request that was refused before anything of it ran."""
        runs = self._runs.get(route)
        if runs is not None and run in runs:
            runs.remove(run)

    def keep(self, routes: set[str]) -> None:
        """Forget all routes but these."""
        for route in self._runs.keys() - routes:
            del self._runs[route]

    def estimate_late_share(self, route: str, seconds: float, now: float) -> float:
        """Return the share of requests of ``route`` that take longer; 1.0 if nothing is known."""
        observed = sorted(
            (now - run.started_at if run.seconds is None else run.seconds, not run.is_whole)
            for run in self._runs.get(route, ())
        )
        share = 1.0
        for index, (taken_s, is_censored) in enumerate(observed):
            if taken_s > seconds:
                break
            if not is_censored:
                share *= 1.0 - 1.0 / (len(observed) - index)
        return share

    def can_end_within(self, route: str, seconds: float, now: float) -> bool:
        """Return whether a request of ``route`` that starts now is expected to end in time."""
        followed = len(self._runs.get(route, ()))
        share = self.estimate_late_share(route, seconds, now)
        if followed >= MIN_RUNS_BESIDE_ONE:
            return share <= max(MAX_LATE_SHARE, 1 / followed) or isclose(share, 1 / followed)
        return share <= MAX_LATE_SHARE
