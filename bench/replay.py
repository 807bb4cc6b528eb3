"""Replay of one trace through one way, with what came of it."""

from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define

from bench.engines import FakeEngine, FakeFleet
from bench.trace import TOKEN_S, Arrival, Churn, Trace
from bench.ways import Way
from cherrylane.limits.work import GrantOutcome

MAX_ATTEMPTS = 4
HIT_SHARE = 0.5
WARM_UP_SHARE = 0.25
SKEW_EVERY_S = 1.0
ROUNDING = 1e-6
ORACLE_LIMIT = 100

UNREACHABLE = GrantOutcome(unreachable=True)

MakeWay = Callable[[FakeFleet, float], Way]


@define
class Outcome:
    """What came of a replay, without its warm-up.

    ``violations`` are admissions after which an engine was above the multiple of the mean
    although another live engine would not have been; ``forced`` those where every one would.
    Both go by the true state of caches; ``counted_violations`` by the work as the way counts it.
    """

    way: str
    returning: int = 0
    hits: int = 0
    admissions: int = 0
    violations: int = 0
    counted_violations: int = 0
    forced: int = 0
    highest: float = 0.0
    skew_sum: float = 0.0
    skew_samples: int = 0
    failed_attempts: int = 0
    lost: int = 0

    @property
    def reuse(self) -> float:
        """The share of returning requests that found their context cached."""
        return self.hits / self.returning if self.returning else 0.0

    @property
    def skew(self) -> float:
        """The highest load over the mean, averaged over time."""
        return self.skew_sum / self.skew_samples if self.skew_samples else 0.0


class Replay:
    """Drives one way through one trace over fake engines."""

    def __init__(self, trace: Trace, make_way: MakeWay, multiple: float) -> None:
        self._trace = trace
        self._fleet = FakeFleet(trace.workload)
        self._multiple = multiple
        self._way = make_way(self._fleet, multiple)
        self._ends: list[tuple[float, int, str, Arrival]] = []
        self._warm_s = WARM_UP_SHARE * trace.workload.duration_s
        self._next_skew_s = self._warm_s
        self._found: dict[int, int] = {}
        self.outcome = Outcome(way=self._way.name)

    def run(self) -> Outcome:
        """Replay the whole trace."""
        for number, event in enumerate(self._trace.events):
            self._end_until(event.time_s)
            self._fleet.advance(event.time_s)
            if isinstance(event, Churn):
                self._change(event)
            self._way.refresh()
            if isinstance(event, Arrival):
                self._admit(number, event)
            self._sample_skew()
        return self.outcome

    def _change(self, churn: Churn) -> None:
        """Requests that run on an engine break off when it goes."""
        old = self._fleet.slots[churn.slot]
        cut = list(old.running) if old is not None else []
        self._fleet.change(churn)
        for number in cut:
            self._found.pop(number)
            self._way.finish(number, UNREACHABLE)

    def _end_until(self, time_s: float) -> None:
        while self._ends and self._ends[0][0] <= time_s:
            end_s, number, name, arrival = heappop(self._ends)
            self._fleet.advance(end_s)
            engine = self._fleet.engines.get(name)
            if engine is not None and number in engine.running:
                before = engine.load
                engine.end(number, arrival)
                self._fleet.total_load += engine.load - before
                outcome = GrantOutcome(found_tokens=self._found.pop(number))
                self._way.finish(number, outcome)

    def _admit(self, number: int, arrival: Arrival) -> None:
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_ATTEMPTS):
            name = self._way.place(number, arrival, excluded)
            if name is None:
                break
            if self._fleet.is_live(name):
                self._begin(number, arrival, self._fleet.engines[name])
                return
            self._way.finish(number, UNREACHABLE)
            self.outcome.failed_attempts += 1
            excluded |= {name}
        self.outcome.lost += 1

    def _begin(self, number: int, arrival: Arrival, engine: FakeEngine) -> None:
        expected = self._fleet.workload.answer_tokens
        work = engine.work_of(arrival, expected)
        if self._fleet.now_s >= self._warm_s:
            self._count(arrival, engine, work)
        self._check_counted(number, arrival, engine)
        self._found[number] = engine.cached(arrival)
        engine.begin(number, work, arrival)
        self._fleet.total_load += work
        end_s = self._fleet.now_s + arrival.answer_tokens * TOKEN_S
        heappush(self._ends, (end_s, number, engine.name, arrival))

    def _count(self, arrival: Arrival, engine: FakeEngine, work: float) -> None:
        outcome = self.outcome
        outcome.admissions += 1
        if arrival.returning and not arrival.batch:
            outcome.returning += 1
            outcome.hits += engine.cached(arrival) >= HIT_SHARE * arrival.prefix_tokens
        mean = (self._fleet.total_load + work) / self._fleet.settled_count()
        ratio = (engine.load + work) / mean
        outcome.highest = max(outcome.highest, ratio)
        if ratio <= self._multiple + ROUNDING:
            return
        if self._fleet.workload.engines > ORACLE_LIMIT or self._has_better(arrival, engine):
            outcome.violations += 1
        else:
            outcome.forced += 1

    def _check_counted(self, number: int, arrival: Arrival, engine: FakeEngine) -> None:
        """Check the bound on the work as the way counts it, over engines that every list shows."""
        work = self._way.counted_work(number)
        if work is None:
            return
        engine.count(number, work)
        live = self._fleet.live()
        if len(live) > ORACLE_LIMIT or self._fleet.now_s < self._warm_s:
            return
        mean = sum(other.counted_load for other in live) / self._fleet.settled_count()
        if engine.counted_load <= self._multiple * mean + ROUNDING:
            return
        expected = self._fleet.workload.answer_tokens
        least = min(
            other.counted_load + other.work_of(arrival, expected)
            for other in live
            if other is not engine
        )
        self.outcome.counted_violations += least <= self._multiple * mean

    def _has_better(self, arrival: Arrival, chosen: FakeEngine) -> bool:
        live = self._fleet.live()
        expected = self._fleet.workload.answer_tokens
        for engine in live:
            if engine is chosen:
                continue
            work = engine.work_of(arrival, expected)
            mean = (self._fleet.total_load + work) / self._fleet.settled_count()
            if engine.load + work <= self._multiple * mean:
                return True
        return False

    def _sample_skew(self) -> None:
        if self._fleet.now_s < self._next_skew_s:
            return
        self._next_skew_s = self._fleet.now_s + SKEW_EVERY_S
        loads = [engine.load for engine in self._fleet.live()]
        mean = sum(loads) / len(loads)
        if mean > 0.0:
            self.outcome.skew_sum += max(loads) / mean
            self.outcome.skew_samples += 1
