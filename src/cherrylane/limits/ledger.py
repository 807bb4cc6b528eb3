"""Exact accounting of the load on one pool's engines, and the load bound.

The load of an engine is the expected work of all its unreleased grants. An engine may take a
request if its load after admission is at most ``load_multiple`` times its share (by weight) of the
load of all live engines of the service, including the new request.

When no engine can take a request within this bound, the request goes to the engine with the
smallest load per weight after admission. No choice could have given a lower load at that moment,
so an admission exceeds the bound only when every other choice would have exceeded it too. The
first request of an idle service is such a case.
"""

from attrs import define, field, frozen

from cherrylane.configuration.documents import BoundSettings
from cherrylane.limits.work import Grant


@define
class EngineLoad:
    """The weight of one engine and the load of its unreleased grants.

    ``ramp`` is the fraction of the weight in effect during the engine's slow start.
    """

    name: str
    weight: float = 1.0
    load: float = 0.0
    grants: int = 0
    ramp: float = 1.0
    is_available: bool = True

    @property
    def relative_load(self) -> float:
        """The load per weight in effect."""
        return self.load / (self.weight * self.ramp)


@frozen
class LoadTotals:
    """The total load and weight of some engines, such as those of a pool.

    In ``Ledger.other_pools`` these are the totals that the homes of the service's other pools
    reported last.
    """

    load: float = 0.0
    weight: float = 0.0


@define
class Ledger:
    """The loads of a pool's engines. Not thread-safe."""

    bound: BoundSettings
    engines: dict[str, EngineLoad] = field(factory=dict)
    grants: dict[str, Grant] = field(factory=dict)
    other_pools: LoadTotals = field(factory=LoadTotals)
    _weight: float = 0.0
    _load: float = 0.0

    @property
    def load(self) -> float:
        """The total load of the pool's live engines."""
        return self._load

    @property
    def weight(self) -> float:
        """The total weight of the pool's live engines."""
        return self._weight

    def set_engines(self, weights: dict[str, float]) -> None:
        """Set the live engines; grants on other engines stay until they are released."""
        loads = {name: EngineLoad(name=name, weight=weight) for name, weight in weights.items()}
        for grant in self.grants.values():
            if grant.engine in loads:
                loads[grant.engine].load += grant.work
                loads[grant.engine].grants += 1
        self.engines = loads
        self._weight = sum(weights.values())
        self._load = sum(engine.load for engine in loads.values())

    def limit_of(self, engine: EngineLoad, work: float) -> float:
        """Return the highest load that ``engine`` may have after admitting ``work``."""
        other_load = self.other_pools.load * (1.0 - self.bound.mean_margin)
        total = self._load + other_load + work
        share = engine.weight / (self._weight + self.other_pools.weight)
        multiple = self.bound.load_multiple * (1.0 - self.bound.estimate_margin)
        return multiple * total * share

    def is_within_bound(self, engine: EngineLoad, work: float) -> bool:
        """Return whether ``engine`` stays within the load bound when it takes ``work``."""
        return engine.load + work <= self.limit_of(engine, work)

    def has_capacity(self, engine: EngineLoad, work: float) -> bool:
        """Return whether ``work`` fits into ``capacity_tokens``; it always fits an idle engine."""
        if engine.grants == 0:
            return True
        return engine.load + work <= self.bound.capacity_tokens * engine.weight

    def capacity(self) -> float:
        """Return the highest total load of the pool's live engines."""
        return self.bound.capacity_tokens * self._weight

    def add(self, grant: Grant) -> None:
        """Count ``grant``; does nothing if it is already counted."""
        if grant.id in self.grants:
            return
        self.grants[grant.id] = grant
        self._count(grant, 1)

    def remove(self, grant_id: str) -> Grant | None:
        """Stop counting a grant and return it, or None if it was not counted."""
        grant = self.grants.pop(grant_id, None)
        if grant is not None:
            self._count(grant, -1)
        return grant

    def _count(self, grant: Grant, sign: int) -> None:
        engine = self.engines.get(grant.engine)
        if engine is None:
            return
        engine.grants += sign
        before = engine.load
        engine.load = max(0.0, before + sign * grant.work) if engine.grants else 0.0
        self._load = max(0.0, self._load + engine.load - before)
