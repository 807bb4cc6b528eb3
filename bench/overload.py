"""What is served in time when more work comes than engines can begin, with and without a limit."""

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
# Requests that all engines together can begin in a second.
CAPACITY = ENGINES * SLOTS / SECONDS_PER_REQUEST
TARGET_S = 0.5
# Times the capacity that comes, and seconds for which it does.
OVERLOADS = (0.7, 1.5, 4.0, 10.0)
BURST_S = 30.0
# Part of what engines can begin that has to be served in time; the rest is the ramp of a burst.
SERVED = Target(0.9, at_least=True)


@frozen
class Kind:
    """Requests of one rank, and how many come in a second."""

    rank: int
    per_s: float


@define
class Engine:
    """Works on ``SLOTS`` requests at once and takes waiting ones by rank, then in order."""

    random: Random
    running: list[float] = field(factory=list)
    waiting: list[tuple[int, float]] = field(factory=list)

    @property
    def load(self) -> Load:
        return Load(len(self.running) + len(self.waiting))

    def advance(self, now: float, begun: list[tuple[int, float]]) -> None:
        """Let requests begin whose turn has come; ``begun`` takes their rank and their wait."""
        while self.waiting and (len(self.running) < SLOTS or self.running[0] <= now):
            freed = heappop(self.running) if len(self.running) >= SLOTS else 0.0
            rank, sent = heappop(self.waiting)
            starts = max(freed, sent)
            lasts = self.random.expovariate(1 / SECONDS_PER_REQUEST)
            heappush(self.running, starts + lasts)
            begun.append((rank, starts - sent))
        while self.running and self.running[0] <= now:
            heappop(self.running)


@frozen
class Played:
    """How many requests came, and how many began within the target time, by rank."""

    asked: Counter[int]
    in_time: Counter[int]


def play(kinds: tuple[Kind, ...], seconds: float, *, limited: bool, seed: int = 1) -> Played:
    """Send each request to the least loaded engine, if it is let in there."""
    random = Random(seed)
    engines = [Engine(random) for _ in range(ENGINES)]
    pace = Throughput(SECONDS_PER_REQUEST)
    arrivals = []
    for kind in kinds:
        at = random.expovariate(kind.per_s)
        while at < seconds:
            arrivals.append((at, kind.rank))
            at += random.expovariate(kind.per_s)
    asked: Counter[int] = Counter()
    begun: list[tuple[int, float]] = []
    for now, rank in sorted(arrivals):
        asked[rank] += 1
        for engine in engines:
            engine.advance(now, begun)
        chosen = min(engines, key=lambda one: one.load.requests)
        if not limited or can_start_in_time(
            RequestUrgency(rank, TARGET_S), chosen.load, SLOTS, pace
        ):
            heappush(chosen.waiting, (rank, now))
            chosen.advance(now, begun)
    for engine in engines:
        engine.advance(seconds + 1000, begun)
    return Played(asked, Counter(rank for rank, wait in begun if wait <= TARGET_S))


def measure_overload() -> list[Figure]:
    """Measure the share of what can be served in time that is, beside engines' queues alone."""
    return [_measure(times) for times in OVERLOADS]


def _measure(times: float) -> Figure:
    kinds = (Kind(1, CAPACITY * times),)
    possible = CAPACITY * min(1.0, times) * BURST_S
    with_limit = play(kinds, BURST_S, limited=True).in_time[1] / possible
    without = play(kinds, BURST_S, limited=False).in_time[1] / possible
    name = f"served in time of what can be, {times:g} times the capacity"
    return Figure(name, with_limit, "share", "engines' queues alone", without, target=SERVED)
