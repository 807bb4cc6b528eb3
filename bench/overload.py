"""Requests served in time under overload, with and without an admission limit."""

from collections import Counter
from heapq import heappop, heappush
from random import Random

from attrs import define, field, frozen

from bench.figures import Figure, Target
from cherrylane.limits.overload import RequestUrgency, Throughput, can_start_in_time
from cherrylane.placement.loads import Load

SLOTS = 16
ENGINES = 4
SECONDS_PER_REQUEST = 2.0
# Requests per second that all engines together can start.
CAPACITY = ENGINES * SLOTS / SECONDS_PER_REQUEST
TARGET_S = 0.5
# Arrival rates as multiples of the capacity, and the duration of each in seconds.
OVERLOADS = (0.7, 1.5, 4.0, 10.0)
BURST_S = 30.0
# Required share of servable requests that are served in time; the rest allows for a burst's ramp.
SERVED_TARGET = Target(0.9, at_least=True)


@frozen
class TrafficClass:
    """Requests of one rank, and how many arrive per second; lower ranks are more urgent."""

    rank: int
    requests_per_s: float


@define
class Engine:
    """Runs up to ``SLOTS`` requests at once and starts waiting ones by rank, then by arrival."""

    random: Random
    running: list[float] = field(factory=list)
    waiting: list[tuple[int, float]] = field(factory=list)

    @property
    def load(self) -> Load:
        return Load(len(self.running) + len(self.waiting))

    def advance(self, now: float, started: list[tuple[int, float]]) -> None:
        """Start the requests that are due by ``now``; add their rank and wait to ``started``."""
        while self.waiting and (len(self.running) < SLOTS or self.running[0] <= now):
            slot_free_at = heappop(self.running) if len(self.running) >= SLOTS else 0.0
            rank, arrived_at = heappop(self.waiting)
            starts_at = max(slot_free_at, arrived_at)
            duration = self.random.expovariate(1 / SECONDS_PER_REQUEST)
            heappush(self.running, starts_at + duration)
            started.append((rank, starts_at - arrived_at))
        while self.running and self.running[0] <= now:
            heappop(self.running)


@frozen
class SimulationResult:
    """Requests that arrived, and those that started within the target time, by rank."""

    arrived: Counter[int]
    in_time: Counter[int]


def simulate(
    traffic: tuple[TrafficClass, ...], seconds: float, *, limited: bool, seed: int = 1
) -> SimulationResult:
    """Send each request to the least loaded engine.

    With ``limited``, a request is dropped if that engine is not expected to start it within
    ``TARGET_S``. The same ``seed`` gives the same arrivals.
    """
    random = Random(seed)
    engines = [Engine(random) for _ in range(ENGINES)]
    throughput = Throughput(SECONDS_PER_REQUEST)
    arrivals = []
    for one_class in traffic:
        arrives_at = random.expovariate(one_class.requests_per_s)
        while arrives_at < seconds:
            arrivals.append((arrives_at, one_class.rank))
            arrives_at += random.expovariate(one_class.requests_per_s)
    arrived: Counter[int] = Counter()
    started: list[tuple[int, float]] = []
    for now, rank in sorted(arrivals):
        arrived[rank] += 1
        for engine in engines:
            engine.advance(now, started)
        least_loaded = min(engines, key=lambda one: one.load.requests)
        if not limited or can_start_in_time(
            RequestUrgency(rank, TARGET_S), least_loaded.load, SLOTS, throughput
        ):
            heappush(least_loaded.waiting, (rank, now))
            least_loaded.advance(now, started)
    for engine in engines:
        engine.advance(seconds + 1000, started)
    return SimulationResult(arrived, Counter(rank for rank, wait in started if wait <= TARGET_S))


def measure_overload() -> list[Figure]:
    """Measure the share of servable requests served in time, compared with engine queues alone."""
    return [_measure(load_factor) for load_factor in OVERLOADS]


def _measure(load_factor: float) -> Figure:
    traffic = (TrafficClass(1, CAPACITY * load_factor),)
    servable = CAPACITY * min(1.0, load_factor) * BURST_S
    with_limit = simulate(traffic, BURST_S, limited=True).in_time[1] / servable
    without_limit = simulate(traffic, BURST_S, limited=False).in_time[1] / servable
    name = f"served in time of what can be, {load_factor:g} times the capacity"
    return Figure(
        name, with_limit, "share", "engines' queues alone", without_limit, target=SERVED_TARGET
    )
