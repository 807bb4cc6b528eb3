"""The pools whose home is this host.

A pool's home is the one host that admits requests to the pool's engines.
"""

from collections.abc import Callable
from threading import Event, Lock, Thread

from cherrylane.idempotency.claims import ClaimRequest
from cherrylane.idempotency.shards import ClaimReply, ClaimShards
from cherrylane.limits.choice import EngineView
from cherrylane.limits.ledger import LoadTotals
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.waiting import Reply
from cherrylane.limits.work import (
    HOME_MOVED,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
)
from cherrylane.membership.identity import LocalIdentity
from cherrylane.membership.roster import HostRecord
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import FleetView
from cherrylane.telemetry.decisions import PlacementDecision, log_placement

TICK_INTERVAL_S = 0.05


class LocalHomes:
    """Starts and stops being home of pools as the fleet view changes, and admits their requests.

    ``takeover_s`` is how long a new home waits for the other hosts' reports of grants they hold.
    ``may_admit`` returns whether this host's lease is valid.
    """

    def __init__(
        self,
        identity: LocalIdentity,
        claims: ClaimShards,
        *,
        takeover_s: float,
        may_admit: Callable[[], bool],
    ) -> None:
        self._claims = claims
        self._identity = identity
        self._takeover_s = takeover_s
        self._may_admit = may_admit
        self._pools: dict[PoolKey, PoolHome] = {}
        self._early_holdings: dict[PoolKey, dict[str, dict[str, Grant]]] = {}
        self._roster_holders: frozenset[str] = frozenset()
        self._lock = Lock()
        self._stopping = Event()
        self._ticker = Thread(target=self._tick_all, name="pool-ticker", daemon=True)

    def start(self) -> None:
        """Start the thread that refuses requests whose wait time has expired."""
        self._ticker.start()

    def stop(self) -> None:
        """Close all pools and stop the claims."""
        self._stopping.set()
        with self._lock:
            pools, self._pools = self._pools, {}
        for pool in pools.values():
            pool.close()
        self._claims.stop()

    def update_view(self, view: FleetView) -> None:
        """Take over, keep or close pools to match ``view``."""
        holders = frozenset(host.holder for host in view.roster.hosts.values())
        wanted = {key: home for key, home in view.homes.items() if self._is_own(home)}
        with self._lock:
            lost = [self._pools.pop(key) for key in list(self._pools) if key not in wanted]
            kept = {key: self._pools[key] for key in wanted if key in self._pools}
            for key in wanted:
                if key not in kept:
                    self._pools[key] = self._take_over(key, view, holders)
            departed = self._roster_holders - holders
            self._roster_holders = holders
        for pool in lost:
            pool.close()
            log_placement(PlacementDecision(str(pool.key), "gave up home", "the roster changed"))
        for key, pool in kept.items():
            pool.set_service(view.services[key.service])
            for holder in departed:
                pool.drop_holder(holder)

    def handle_admission_request(self, request: AdmissionRequest, reply: Reply) -> None:
        """Pass ``request`` to its pool; answers HOME_MOVED when another host is the pool's home."""
        pool = self._pools.get(request.pool)
        if pool is None:
            reply(
                AdmissionRefusal(
                    request.id, HOME_MOVED, "this host is not the home of the pool", 0.0
                )
            )
            return
        pool.submit(request, reply)

    def handle_release(self, pool: PoolKey, grant_id: str, outcome: GrantOutcome) -> None:
        """Release a grant and record the outcome of its request."""
        home = self._pools.get(pool)
        if home is not None:
            home.release(grant_id, outcome)
            return
        with self._lock:
            for grants in self._early_holdings.get(pool, {}).values():
                grants.pop(grant_id, None)

    def handle_holdings(self, pool: PoolKey, holder: str, grants: list[Grant]) -> None:
        """Replace the grants that ``holder`` has in ``pool`` by ``grants``.

        A peer may see that this host is the new home before this host does. Its report is then
        kept until the takeover.
        """
        with self._lock:
            home = self._pools.get(pool)
            if home is None:
                held = {grant.id: grant for grant in grants}
                self._early_holdings.setdefault(pool, {})[holder] = held
        if home is not None:
            home.replace_holdings(holder, grants)

    def handle_claim(self, request: ClaimRequest, reply: ClaimReply) -> None:
        """Decide a claim; any host may do so, as each write is conditional."""
        self._claims.submit(request, reply)

    def restore_claims(self) -> None:
        """Write the known claims again after the store came back from an older copy."""
        self._claims.restore()

    def handle_link_down(self, reply: Reply) -> None:
        """Drop the waiting requests of a stream that broke; the host's grants stay counted."""
        for pool in list(self._pools.values()):
            pool.drop_waiters(reply)

    def set_other_pools(self, loads: dict[PoolKey, LoadTotals]) -> None:
        """Set for each pool the total load and weight of its service's other pools."""
        for key, home in list(self._pools.items()):
            others = [
                load
                for other, load in loads.items()
                if other.service == key.service and other != key
            ]
            total = sum(load.load for load in others)
            weight = sum(load.weight for load in others)
            home.set_other_pools(LoadTotals(load=total, weight=weight))

    def explain(self, request: AdmissionRequest) -> list[EngineView] | None:
        """Return the engines that ``request`` may use, None if this host is not its pool's home."""
        pool = self._pools.get(request.pool)
        return None if pool is None else pool.explain(request)

    def totals(self) -> dict[PoolKey, LoadTotals]:
        """Return the total load and weight of each pool whose home is this host."""
        return {key: home.totals() for key, home in list(self._pools.items())}

    def loads(self) -> dict[str, dict[str, float]]:
        """Return the load of each engine in this host's pools, by service and engine."""
        services: dict[str, dict[str, float]] = {}
        for key, home in list(self._pools.items()):
            services.setdefault(key.service, {}).update(home.loads())
        return services

    def _is_own(self, home: HostRecord) -> bool:
        return home.holder == self._identity.holder

    def _take_over(self, key: PoolKey, view: FleetView, holders: frozenset[str]) -> PoolHome:
        others = holders - {self._identity.holder}
        log_placement(
            PlacementDecision(
                str(key), "took over home", f"awaiting reports of {len(others)} hosts"
            )
        )
        home = PoolHome(
            key,
            view.services[key.service],
            awaited_holders=holders,
            takeover_s=self._takeover_s,
            may_admit=self._may_admit,
        )
        for holder, grants in self._early_holdings.pop(key, {}).items():
            if holder in holders:
                home.replace_holdings(holder, list(grants.values()))
        return home

    def _tick_all(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            for pool in list(self._pools.values()):
                pool.tick()
