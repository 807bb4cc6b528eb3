"""Simulated engines with a load and a prefix cache of limited size.

The replay reads their true state; the baselines read delayed engine lists and load reports.
"""

from collections import OrderedDict

from attrs import define, field

from bench.trace import Arrival, Churn, EngineChange, Workload
from cherrylane.limits.work import PREFILL_COST

LIST_DELAY_S = 3.0
REPORT_INTERVAL_S = 1.0


@define
class FakeEngine:
    """An engine whose cache holds whole chats and evicts the least recently used first."""

    name: str
    cache_tokens: float
    added_s: float = -LIST_DELAY_S
    removed_s: float | None = None
    load: float = 0.0
    running: dict[int, float] = field(factory=dict)
    counted: dict[int, float] = field(factory=dict)
    counted_load: float = 0.0
    cache: OrderedDict[int, int] = field(factory=OrderedDict)
    cached_tokens: int = 0

    def count_cached_tokens(self, arrival: Arrival) -> int:
        """Return how many tokens of the request's prefix are cached."""
        return min(self.cache.get(arrival.chat, 0), arrival.prefix_tokens)

    def estimate_work(self, arrival: Arrival, expected_answer: float) -> float:
        """Return the expected work of a request on this engine, given the true cache state."""
        uncached = arrival.prefix_tokens - self.count_cached_tokens(arrival)
        return PREFILL_COST * uncached + expected_answer

    def record_counted_work(self, number: int, work: float) -> None:
        """Record the work that the strategy counts, to check the bound independently of it."""
        self.counted[number] = work
        self.counted_load += work

    def start(self, number: int, work: float, arrival: Arrival) -> None:
        """Start a request, and cache its prefix."""
        self.running[number] = work
        self.load += work
        self._store(arrival.chat, arrival.prefix_tokens)

    def finish(self, number: int, arrival: Arrival) -> None:
        """Finish a request if it is running, and cache its answer too."""
        work = self.running.pop(number, None)
        if work is None:
            return
        self.counted_load -= self.counted.pop(number, 0.0)
        self.load = self.load - work if self.running else 0.0
        self._store(arrival.chat, arrival.prefix_tokens + arrival.answer_tokens)

    def _store(self, chat: int, tokens: int) -> None:
        self.cached_tokens += tokens - self.cache.pop(chat, 0)
        self.cache[chat] = tokens
        while self.cached_tokens > self.cache_tokens:
            _, evicted = self.cache.popitem(last=False)
            self.cached_tokens -= evicted


class FakeFleet:
    """All engines, the live ones by slot, and the delayed lists and load reports of them."""

    def __init__(self, workload: Workload) -> None:
        self.workload = workload
        self.now_s = 0.0
        self.slots: dict[int, FakeEngine | None] = {
            slot: FakeEngine(f"engine-{slot}.0", workload.cache_tokens)
            for slot in range(workload.engines)
        }
        self.engines = {engine.name: engine for engine in self.slots.values() if engine}
        self.reported: dict[str, float] = dict.fromkeys(self.engines, 0.0)
        self.total_load = 0.0
        self.version = 0
        self._settled = workload.engines
        self._settled_version = 0
        self._settled_until = float("inf")
        self._created = workload.engines
        self._next_report_s = REPORT_INTERVAL_S

    def list_live_engines(self) -> list[FakeEngine]:
        """Return the engines that have not been removed."""
        return [engine for engine in self.engines.values() if engine.removed_s is None]

    def count_settled_engines(self) -> int:
        """Return the number of live engines that every delayed list already contains."""
        oldest = self.now_s - LIST_DELAY_S
        if self._settled_until > self.now_s and self._settled_version == self.version:
            return self._settled
        added_times = [engine.added_s for engine in self.list_live_engines()]
        self._settled = sum(1 for added in added_times if added <= oldest)
        self._settled_version = self.version
        pending = [added + LIST_DELAY_S for added in added_times if added > oldest]
        self._settled_until = min(pending, default=float("inf"))
        return self._settled

    def is_live(self, name: str) -> bool:
        """Return whether the engine exists and has not been removed."""
        engine = self.engines.get(name)
        return engine is not None and engine.removed_s is None

    def is_listed(self, name: str, view: int) -> bool:
        """Return whether a view's delayed list contains the engine."""
        engine = self.engines.get(name)
        if engine is None or self.now_s < engine.added_s + list_delay(view):
            return False
        return engine.removed_s is None or self.now_s < engine.removed_s + list_delay(view)

    def advance(self, now_s: float) -> None:
        """Set the clock, and renew the load reports if they are due."""
        self.now_s = now_s
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            self.reported = {engine.name: engine.load for engine in self.list_live_engines()}

    def change(self, churn: Churn) -> None:
        """Replace, remove or bring back the engine of a slot."""
        self.version += 1
        old = self.slots[churn.slot]
        if old is not None:
            old.removed_s = self.now_s
            self.total_load -= old.load
            old.load = 0.0
            old.running.clear()
            old.counted.clear()
            old.counted_load = 0.0
        self.slots[churn.slot] = None
        if churn.change is not EngineChange.LEFT:
            self._created += 1
            name = f"engine-{churn.slot}.{self._created}"
            added_engine = FakeEngine(name, self.workload.cache_tokens, added_s=self.now_s)
            self.slots[churn.slot] = added_engine
            self.engines[name] = added_engine
        removal_cutoff_s = self.now_s - 2 * LIST_DELAY_S
        self.engines = {
            name: engine
            for name, engine in self.engines.items()
            if engine.removed_s is None or engine.removed_s > removal_cutoff_s
        }


def list_delay(view: int) -> float:
    """Return the delay of a view's engine list in seconds.

    Multiples of the golden ratio spread the views' delays evenly below ``LIST_DELAY_S``.
    """
    return LIST_DELAY_S * ((view * 0.618034) % 1.0)
