"""Keeps a host's evacuations up to date, from the store and from peers, and puts them in force.

A new state goes into the snapshot, by which each request is routed, and into the heartbeats. The
source with the higher version wins. While no source is reachable, the last state stays in force.
"""

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field
from logbook import Logger

from cherrylane.gateway.routing_state import REMOVAL_GRACE_S, RoutingState
from cherrylane.gateway.stall_guard import StallGuard
from cherrylane.membership.evacuations import EvacuationHolder, Evacuations, StoredEvacuations
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, WatchEvents
from cherrylane.routing.snapshot import Snapshot
from cherrylane.routing.upstreams import Upstream
from cherrylane.telemetry.counters import Telemetry

# Seconds between checks whether the state was confirmed after the grace period of a restored store.
RECHECK_S = 0.25
# Share of the bound beyond which a stall of the process leaves too little time for the changes that
# were made meanwhile to be read before the requests that have waited.
STALL_SHARE = 0.4
# Seconds after a stall in which heartbeats may have been sent before its end. The socket's buffer
# keeps the oldest ones, up to some 280, and the event loop reads one in each of its steps.
BACKLOG_S = 0.5

log = Logger("cherrylane.evacuations")


def _do_nothing() -> None:
    return


@define
class EvacuationSync:
    """Holds the evacuations of a host; it does nothing if the bound ``evacuate_s`` is not set.

    ``get_state_age_s`` returns how long ago the host's state was known to be the store's.
    ``on_changed`` is called when a domain is evacuated or an evacuation ends, to tell the peers,
    and ``on_ended`` with each domain whose evacuation ends, before any request is sent there.
    """

    evacuate_s: float | None
    routing_state: RoutingState
    get_state_age_s: Callable[[], float] = lambda: 0.0
    on_changed: Callable[[], None] = _do_nothing
    on_ended: Callable[[str], None] = lambda domain: None
    _holder: EvacuationHolder = field(factory=lambda: EvacuationHolder(REMOVAL_GRACE_S))
    _stored: StoredEvacuations = field(factory=StoredEvacuations)
    _timer: asyncio.TimerHandle | None = None
    _watcher: AsyncWatcher | None = None
    _stall_guard: StallGuard = field(init=False)

    @_stall_guard.default
    def _make_stall_guard(self) -> StallGuard:
        return StallGuard((self.evacuate_s or 0.0) * STALL_SHARE, lambda: self._list_again())

    def __attrs_post_init__(self) -> None:
        if self.is_enabled:
            state = self.routing_state
            state.snapshot = evolve(state.snapshot, evacuations=None)

    @property
    def is_enabled(self) -> bool:
        """Whether the platform has evacuations."""
        return self.evacuate_s is not None

    def read_snapshot(self) -> Snapshot:
        """Return the snapshot by which requests are sent.

        After a stall the evacuations count as unknown until the store or a peer has told them, or
        for ``MAX_DOUBT_S`` if nobody does.
        """
        snapshot = self.routing_state.snapshot
        return evolve(snapshot, evacuations=None) if self.check_stall() else snapshot

    def may_send_to(self, upstream: Upstream) -> bool:
        """Return whether anything may be sent to an upstream now."""
        return self.read_snapshot().may_send_to(upstream)

    def check_stall(self) -> bool:
        """Return whether the state may be outdated after a stall; called at regular intervals."""
        now = asyncio.get_running_loop().time()
        return self.is_enabled and self._stall_guard.is_in_doubt(now)

    @property
    def newest(self) -> Evacuations | None:
        """What peers are told, None while this host knows nothing itself."""
        return self._holder.newest

    def make_watchers(self, store: AsyncPlatformClient) -> list[AsyncWatcher]:
        """Return the watcher of the store's evacuations, if this is enabled."""
        if not self.is_enabled:
            return []
        self._watcher = AsyncWatcher(store, Kind.EVACUATIONS, self._apply_list, self._apply_changes)
        return [self._watcher]

    def apply_peer(self, state: Evacuations, known_at: float) -> None:
        """Take over a peer's state if it is newer; it was the store's at ``known_at``."""
        if self.is_enabled:
            self._apply(state, source="peer")
            self._stall_guard.confirm(known_at - BACKLOG_S)

    def add_gauges(self, telemetry: Telemetry) -> None:
        """Add the number of evacuated domains, and one gauge for each domain."""
        if self.is_enabled:
            telemetry.add_gauge("evacuated_domains", lambda: len(self._list_domains()))
            telemetry.add_gauge_family(
                "evacuated_domain", "domain", lambda: dict.fromkeys(self._list_domains(), 1.0)
            )

    def _list_domains(self) -> list[str]:
        in_force = self._holder.in_force
        return sorted(in_force.domains) if in_force is not None else []

    def _apply_list(self, listed: ObjectList) -> None:
        self._apply(self._stored.replace(listed), source="store")
        self._stall_guard.confirm(asyncio.get_running_loop().time())

    def _apply_changes(self, changes: WatchEvents) -> None:
        self._apply(self._stored.change(changes), source="store")

    def _apply(self, state: Evacuations, *, source: str) -> None:
        before = self._holder.in_force
        if self._holder.accept(state, asyncio.get_running_loop().time()):
            self._put_in_force(before, source)
            self._schedule_end_of_grace()

    def _list_again(self) -> None:
        """Read the store at once after a stall; the pending watch may never be answered."""
        log.warning("evacuations are read again after a stall of this process")
        if self._watcher is not None:
            self._watcher.restart()

    def _put_in_force(self, before: Evacuations | None, source: str) -> None:
        in_force = self._holder.in_force
        assert in_force is not None
        domains_before = before.domains if before is not None else frozenset()
        begun = in_force.domains - domains_before
        ended = domains_before - in_force.domains
        for domain in sorted(begun):
            _log_change("failure domain evacuated", domain, in_force, source)
        for domain in sorted(ended):
            _log_change("evacuation ended", domain, in_force, source)
            self.on_ended(domain)
        self.routing_state.apply_evacuations(in_force)
        if begun or ended:
            self.on_changed()

    def _schedule_end_of_grace(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        ends_at = self._holder.grace_ends_at
        if ends_at is not None:
            loop = asyncio.get_running_loop()
            due_at = ends_at if loop.time() < ends_at else loop.time() + RECHECK_S
            self._timer = loop.call_at(due_at, self._end_grace)

    def _end_grace(self) -> None:
        before = self._holder.in_force
        now = asyncio.get_running_loop().time()
        self._holder.end_grace(now - self.get_state_age_s())
        if self._holder.in_force != before:
            self._put_in_force(before, source="end of the grace period")
        self._schedule_end_of_grace()


def _log_change(message: str, domain: str, state: Evacuations, source: str) -> None:
    log.notice(message, extra={"domain": domain, "version": str(state.version), "source": source})
