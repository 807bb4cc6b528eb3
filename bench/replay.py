"""Replays one trace through one routing strategy and measures the outcome."""

from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define

from bench.engines import FakeEngine, FakeFleet
from bench.strategies import Strategy
from bench.trace import TOKEN_S, Arrival, Churn, Trace
from cherrylane.limits.work import GrantOutcome

MAX_ATTEMPTS = 4
HIT_SHARE = 0.5
WARM_UP_SHARE = 0.25
SKEW_INTERVAL_S = 1.0
ROUNDING = 1e-6
EXACT_CHECK_LIMIT = 100

UNREACHABLE = GrantOutcome(unreachable=True)

MakeStrategy = Callable[[FakeFleet, float], Strategy]


@define
class Outcome:
    """Results of a replay, without its warm-up.

    ``violations`` counts admissions that put an engine above the multiple of the mean load
    although another live engine would have stayed within it; ``unavoidable`` counts those where
    every engine would have exceeded it. With more than ``EXACT_CHECK_LIMIT`` engines the others are
    not examined, and each such admission is a violation. Both use the true state of the caches;
    ``counted_violations`` uses the work that the strategy counts.
    """

    strategy: str
    returning: int = 0
    hits: int = 0
    admissions: int = 0
    violations: int = 0
    counted_violations: int = 0
    unavoidable: int = 0
    highest_ratio: float = 0.0
    skew_sum: float = 0.0
    skew_samples: int = 0
    failed_attempts: int = 0
    unplaced: int = 0

    @property
    def reuse(self) -> float:
        """Share of returning requests that found ``HIT_SHARE`` of their prefix cached or more."""
        return self.hits / self.returning if self.returning else 0.0

    @property
    def skew(self) -> float:
        """Ratio of the highest load to the mean load, averaged over time."""
        return self.skew_sum / self.skew_samples if self.skew_samples else 0.0


class Replay:
    """Drives one strategy through one trace over simulated engines."""

    def __init__(self, trace: Trace, make_strategy: MakeStrategy, multiple: float) -> None:
        self._trace = trace
        self._fleet = FakeFleet(trace.workload)
        self._multiple = multiple
        self._strategy = make_strategy(self._fleet, multiple)
        self._completions: list[tuple[float, int, str, Arrival]] = []
        self._warm_up_end_s = WARM_UP_SHARE * trace.workload.duration_s
        self._next_skew_sample_s = self._warm_up_end_s
        self._found_tokens: dict[int, int] = {}
        self.outcome = Outcome(strategy=self._strategy.name)

    def run(self) -> Outcome:
        """Replay the whole trace and return the outcome."""
        for number, event in enumerate(self._trace.events):
            self._finish_until(event.time_s)
            self._fleet.advance(event.time_s)
            if isinstance(event, Churn):
                self._apply_churn(event)
            self._strategy.refresh()
            if isinstance(event, Arrival):
                self._place(number, event)
            self._sample_skew()
        return self.outcome

    def _apply_churn(self, churn: Churn) -> None:
        """Change the engine of a slot; requests that run on the old engine are interrupted."""
        old = self._fleet.slots[churn.slot]
        interrupted = list(old.running) if old is not None else []
        self._fleet.change(churn)
        for number in interrupted:
            self._found_tokens.pop(number)
            self._strategy.finish(number, UNREACHABLE)

    def _finish_until(self, time_s: float) -> None:
        while self._completions and self._completions[0][0] <= time_s:
            end_s, number, name, arrival = heappop(self._completions)
            self._fleet.advance(end_s)
            engine = self._fleet.engines.get(name)
            if engine is not None and number in engine.running:
                before = engine.load
                engine.finish(number, arrival)
                self._fleet.total_load += engine.load - before
                outcome = GrantOutcome(found_tokens=self._found_tokens.pop(number))
                self._strategy.finish(number, outcome)

    def _place(self, number: int, arrival: Arrival) -> None:
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_ATTEMPTS):
            name = self._strategy.place(number, arrival, excluded)
            if name is None:
                break
            if self._fleet.is_live(name):
                self._start_request(number, arrival, self._fleet.engines[name])
                return
            self._strategy.finish(number, UNREACHABLE)
            self.outcome.failed_attempts += 1
            excluded |= {name}
        self.outcome.unplaced += 1

    def _start_request(self, number: int, arrival: Arrival, engine: FakeEngine) -> None:
        expected = self._fleet.workload.answer_tokens
        work = engine.estimate_work(arrival, expected)
        if self._fleet.now_s >= self._warm_up_end_s:
            self._record_admission(arrival, engine, work)
        self._check_counted_work(number, arrival, engine)
        self._found_tokens[number] = engine.count_cached_tokens(arrival)
        engine.start(number, work, arrival)
        self._fleet.total_load += work
        end_s = self._fleet.now_s + arrival.answer_tokens * TOKEN_S
        heappush(self._completions, (end_s, number, engine.name, arrival))

    def _record_admission(self, arrival: Arrival, engine: FakeEngine, work: float) -> None:
        outcome = self.outcome
        outcome.admissions += 1
        if arrival.returning and not arrival.batch:
            outcome.returning += 1
            outcome.hits += engine.count_cached_tokens(arrival) >= HIT_SHARE * arrival.prefix_tokens
        mean = (self._fleet.total_load + work) / self._fleet.count_settled_engines()
        ratio = (engine.load + work) / mean
        outcome.highest_ratio = max(outcome.highest_ratio, ratio)
        if ratio <= self._multiple + ROUNDING:
            return
        if self._fleet.workload.engines > EXACT_CHECK_LIMIT or self._has_alternative(
            arrival, engine
        ):
            outcome.violations += 1
        else:
            outcome.unavoidable += 1

    def _check_counted_work(self, number: int, arrival: Arrival, engine: FakeEngine) -> None:
        """Check the bound on the work that the strategy counts.

        The mean divides the load of all live engines by the number that every list contains.
        Nothing is checked during the warm-up, or with more than ``EXACT_CHECK_LIMIT`` engines.
        """
        work = self._strategy.counted_work(number)
        if work is None:
            return
        engine.record_counted_work(number, work)
        live = self._fleet.list_live_engines()
        if len(live) > EXACT_CHECK_LIMIT or self._fleet.now_s < self._warm_up_end_s:
            return
        mean = sum(other.counted_load for other in live) / self._fleet.count_settled_engines()
        if engine.counted_load <= self._multiple * mean + ROUNDING:
            return
        expected = self._fleet.workload.answer_tokens
        least = min(
            other.counted_load + other.estimate_work(arrival, expected)
            for other in live
            if other is not engine
        )
        self.outcome.counted_violations += least <= self._multiple * mean

    def _has_alternative(self, arrival: Arrival, chosen: FakeEngine) -> bool:
        live = self._fleet.list_live_engines()
        expected = self._fleet.workload.answer_tokens
        for engine in live:
            if engine is chosen:
                continue
            work = engine.estimate_work(arrival, expected)
            mean = (self._fleet.total_load + work) / self._fleet.count_settled_engines()
            if engine.load + work <= self._multiple * mean:
                return True
        return False

    def _sample_skew(self) -> None:
        if self._fleet.now_s < self._next_skew_sample_s:
            return
        self._next_skew_sample_s = self._fleet.now_s + SKEW_INTERVAL_S
        loads = [engine.load for engine in self._fleet.list_live_engines()]
        mean = sum(loads) / len(loads)
        if mean > 0.0:
            self.outcome.skew_sum += max(loads) / mean
            self.outcome.skew_samples += 1
