"""The exact count of work on the engines of one pool, and the bound on it.

What is bounded: the load of an engine is the expected work of all grants on it that were not
released. An engine is admitted to when, after the admission, its load is at most ``load_multiple``
times its share (by weight) of the load of all live engines of the service, the new work included.

Rounding: when no engine can take a request within the multiple, the request goes to the engine
whose load over weight is then the smallest. Nothing lower could be reached at that moment, so
every admission above the multiple is one that no other choice would have kept within it. At zero
load that is the first request of an idle service.
"""

from attrs import define, field, frozen

from cherrylane.configuration.documents import BoundSettings
from cherrylane.limits.work import Grant


@define
class EngineLoad:
    """One engine's weight and the work that it has been given."""

    name: str
    weight: float = 1.0
    load: float = 0.0
    grants: int = 0
    ramp: float = 1.0
    takes_work: bool = True

    @property
    def relative_load(self) -> float:
        """The load over the weight that the engine takes part with."""
        return self.load / (self.weight * self.ramp)


@frozen
class LoadTotals:
    """The load of the service's engines in other pools, as their homes reported it last."""

    load: float = 0.0
    weight: float = 0.0


@define
class Ledger:
    """The loads of a pool's engines; not safe to share between threads without a lock."""

    bound: BoundSettings
    engines: dict[str, EngineLoad] = field(factory=dict)
    grants: dict[str, Grant] = field(factory=dict)
    other_pools: LoadTotals = field(factory=LoadTotals)
    _weight: float = 0.0
    _load: float = 0.0

    @property
    def load(self) -> float:
        """The load of the pool's live engines together."""
        return self._load

    @property
    def weight(self) -> float:
        """The weight of the pool's live engines together."""
        return self._weight

    def set_engines(self, weights: dict[str, float]) -> None:
        """Set which engines are live; grants on the others stay until they are released."""
        loads = {name: EngineLoad(name=name, weight=weight) for name, weight in weights.items()}
        for grant in self.grants.values():
            if grant.engine in loads:
                loads[grant.engine].load += grant.work
                loads[grant.engine].grants += 1
        self.engines = loads
        self._weight = sum(weights.values())
        self._load = sum(engine.load for engine in loads.values())

    def limit_of(self, engine: EngineLoad, work: float) -> float:
        """Return the most load that ``engine`` may carry after admitting ``work``."""
        outside_load = self.other_pools.load * (1.0 - self.bound.mean_margin)
        total = self._load + outside_load + work
        share = engine.weight / (self._weight + self.other_pools.weight)
        multiple = self.bound.load_multiple * (1.0 - self.bound.estimate_margin)
        return multiple * total * share

    def is_within_bound(self, engine: EngineLoad, work: float) -> bool:
        """Say whether ``engine`` stays within the multiple when it takes ``work``."""
        return engine.load + work <= self.limit_of(engine, work)

    def has_capacity(self, engine: EngineLoad, work: float) -> bool:
        """Say whether ``work`` fits ``engine`` at all; an idle engine takes any one request."""
        if engine.grants == 0:
            return True
        return engine.load + work <= self.bound.capacity_tokens * engine.weight

    def capacity(self) -> float:
        """Return the most load that the pool's live engines may carry together."""
        return self.bound.capacity_tokens * self._weight

    def add(self, grant: Grant) -> None:
        """Count ``grant``; one that is counted already changes nothing."""
        if grant.id in self.grants:
            return
        self.grants[grant.id] = grant
        self._count(grant, 1)

    def remove(self, grant_id: str) -> Grant | None:
        """Stop counting a grant; None when it was not counted."""
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
