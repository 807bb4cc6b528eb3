"""The gateway daemon, composed of the parts that one entry host runs."""

import asyncio
from collections.abc import Awaitable, Callable
from os import urandom
from time import monotonic

from logbook import Logger

from cherrylane.gateway.announcements import Announcements
from cherrylane.gateway.cold_watch import ColdWatch
from cherrylane.gateway.endpoints import ADDRESS_LIFETIME_S, Endpoints
from cherrylane.gateway.evacuation_sync import EvacuationSync
from cherrylane.gateway.follower_selection import FollowerSelection
from cherrylane.gateway.gauges import add_gauges, find_state_gauges, find_work_gauges
from cherrylane.gateway.incarnations import is_listed_incarnation
from cherrylane.gateway.listeners import Listeners
from cherrylane.gateway.memory_review import add_memory_gauges, make_account, review_account
from cherrylane.gateway.peer_sync import PeerSync
from cherrylane.gateway.recovery import CacheRecovery
from cherrylane.gateway.registry import HostRegistry
from cherrylane.gateway.removal_grace import RemovalGrace
from cherrylane.gateway.retry_budgets import RetryBudgets
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gateway.shutdown import Shutdown
from cherrylane.gateway.sockets import ListeningSockets
from cherrylane.gateway.store_probe import StoreProbe
from cherrylane.gateway.store_watchers import make_watchers
from cherrylane.gateway.stream_registry import StreamRegistry
from cherrylane.gateway.tasks import keep_running
from cherrylane.gateway.upkeep import Upkeep
from cherrylane.gateway.version_confirmation import VERSIONS_PATH, VersionConfirmation
from cherrylane.gateway.version_registry import VersionRegistry
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import UNCONFIRMED_MS, Heartbeat, HostState
from cherrylane.gossip.node import GossipNode
from cherrylane.http.connection_pool import ConnectionPool
from cherrylane.http.descriptors import find_callers_limit, find_upstreams_limit
from cherrylane.http.limits import InboundLimits
from cherrylane.http.listener import InboundServer
from cherrylane.http.messages import Request
from cherrylane.http.responder import Responder
from cherrylane.limits.backoff import BackoffTracker
from cherrylane.limits.connections import share_idle_connections
from cherrylane.limits.crash_evidence import UpstreamCrash
from cherrylane.limits.outliers import OutlierDetector
from cherrylane.limits.quarantine import RequestQuarantine
from cherrylane.limits.rate_limits import UpstreamRateLimits
from cherrylane.membership.software_versions import SoftwareVersions
from cherrylane.membership.store_contacts import StoreContacts
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.choice import Chooser
from cherrylane.placement.heat import ChatHeat
from cherrylane.placement.loads import LoadTracker
from cherrylane.placement.speeds import SpeedTracker
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.relay.attempts import AttemptRunner
from cherrylane.relay.crashes import CrashGuard
from cherrylane.relay.exchange import ExchangeClient
from cherrylane.relay.forwarding import Forwarder
from cherrylane.relay.selection import UpstreamSelector
from cherrylane.relay.service import RelayService
from cherrylane.relay.stream_origins import StreamBinder
from cherrylane.routing.snapshot import Snapshot
from cherrylane.routing.upstreams import Upstream
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.settings.schema import Endpoint, PlatformSettings
from cherrylane.telemetry.counters import Telemetry
from cherrylane.telemetry.output import LineWriter

# Time limit of a store call in seconds; the store usually responds within milliseconds.
STORE_TIMEOUT_S = 1.0
# Time limit in seconds for connecting to an upstream, after which another upstream is tried.
CONNECT_TIMEOUT_S = 0.15
# Seconds that an idle connection to an upstream is kept; at 1 s a quarter more were opened.
MAX_IDLE_S = 4.0
# Seconds between maintenance runs, which close idle connections and flush buffered log lines.
MAINTENANCE_INTERVAL_S = 0.25
# Seconds by which the event loop may be late, because it is busy or the process stood still, before
# that is logged.
STALL_LOGGED_S = 0.5
# Minimum number of hosts by which fleet-wide limits are divided, since some may not be known yet.
MIN_HOSTS_ASSUMED = 8
BOOT_ID_BYTES = 6

log = Logger("cherrylane.gateway")


class Gateway:
    """One run of the gateway daemon.

    Example::

        gateway = Gateway(settings, LineWriter(1))
        await gateway.start(open_sockets(settings))
        ...
        await gateway.stop()
    """

    def __init__(self, settings: GatewaySettings, writer: LineWriter) -> None:
        self.settings = settings
        self.telemetry = Telemetry()
        self._writer = writer
        self._memory = make_account(settings)
        self._boot_id = urandom(BOOT_ID_BYTES).hex()
        self._is_stopping = False
        self._started_at = monotonic()
        self._tasks: list[asyncio.Task[None]] = []
        self._retry_budgets = RetryBudgets(settings.retries, self._count_hosts)
        self.load_tracker = LoadTracker()
        self.outliers = OutlierDetector()
        self.pool = ConnectionPool(MAX_IDLE_S, CONNECT_TIMEOUT_S, self._find_max_idle_connections)
        self.pool.max_descriptor = find_upstreams_limit(settings.max_descriptors)
        self.members = Members(settings.identity.address)
        for seed in settings.seeds:
            self.members.add(seed)
        self.store = AsyncPlatformClient(
            PlatformSettings(url=f"http://{settings.store.endpoint}", timeout_s=STORE_TIMEOUT_S)
        )
        self.caches = CacheMap()
        self.routing_state = RoutingState(
            self._on_snapshot,
            lambda: self._removal_grace.find_remaining_s(asyncio.get_running_loop().time()),
            on_upstream_reset=self._drop_upstream_state,
            on_upstream_listed=self._record_listed,
            on_gap=lambda: self._version_registry.record_gap(),
        )
        self.evacuations = EvacuationSync(
            settings.bounds.evacuate_s,
            self.routing_state,
            get_state_age_s=self._get_state_age_s,
            on_changed=lambda: self._gossip.send_round(),
        )
        self._watchers = [
            *make_watchers(self.store, self.routing_state),
            *self.evacuations.make_watchers(self.store),
        ]
        self._removal_grace = RemovalGrace(self._watchers[1], StoreContacts())
        self._store_probe = StoreProbe(self.store, settings.identity.name, self._watchers)
        self._follower_selection = FollowerSelection(
            self.members, self._watchers, self._store_probe.find_silent_since
        )
        self._registry = HostRegistry(self.store, settings.identity, self._boot_id, self.members)
        self.store.on_new_era = self._handle_new_era
        self.backoffs = BackoffTracker()
        self.chat_heat = ChatHeat()
        self.rate_limits = UpstreamRateLimits()
        self.speeds = SpeedTracker()
        self.quarantine = RequestQuarantine(is_trial_host=self._is_trial_host)
        self.stream_binder = StreamBinder(
            versions=SoftwareVersions(knows_all=settings.is_first_start),
            on_begun=lambda key, origin: self._announcements.record_stream(key, origin),
        )
        self._cold_watch = ColdWatch.create(
            settings,
            self.routing_state,
            self.members,
            lambda to_all: self._gossip.send_round(to_all=to_all),
        )
        self._cold_watch.connect(self._registry, self.telemetry)
        self._cold_watch.get_state_age_s = self._get_state_age_s
        self._announcements = Announcements(
            settings.identity,
            self._boot_id,
            self.store,
            self.routing_state,
            self.load_tracker,
            self.caches,
            self.backoffs,
            self.quarantine,
            self.rate_limits,
            self.stream_binder,
            self._cold_watch.upstreams,
            self.evacuations,
        )
        self._peer_sync = PeerSync(
            self.routing_state,
            self.load_tracker,
            self.caches,
            settings.listen.peers.port,
            self.stream_binder.origins,
            is_following=lambda: self._follower_selection.is_following,
        )
        self._version_registry = VersionRegistry(
            self.store, self.members, self.stream_binder.versions
        )
        self._stream_registry = StreamRegistry(
            self.store, settings.identity.name, self.members, self._peer_sync, self.stream_binder
        )
        self._version_confirmation = VersionConfirmation(
            self.store,
            self.members,
            self.routing_state,
            self._version_registry,
            self.stream_binder.versions,
            settings.listen.peers.port,
        )
        self.stream_binder.confirm = self._version_confirmation.confirm
        self.stream_binder.refresh = self._stream_registry.refresh
        self._cache_recovery = CacheRecovery(
            self.routing_state, self.members, self._peer_sync, self._registry.loaded
        )
        self._gossip = GossipNode(
            settings.listen.peers, self.members, self._make_heartbeat, self._handle_heartbeat
        )
        self._upkeep = Upkeep(
            self.members,
            self.routing_state,
            self._gossip,
            self.load_tracker,
            self.chat_heat,
            self.quarantine,
            self.rate_limits,
            self.stream_binder,
            self.speeds,
        )
        self._relay = self._make_relay()
        self._memory.pressure.on_cut = self._relay.record_cut
        self._listeners = self._make_listeners()
        self._connect_parts()
        self._export_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether callers are served: routing data is known, and the host is not stopping."""
        return not self._is_stopping and self._has_routing_data

    @property
    def _has_routing_data(self) -> bool:
        snapshot = self.routing_state.snapshot
        if snapshot.evacuations is None:
            return False
        return snapshot.table is not None and bool(snapshot.upstreams_by_service)

    async def start(self, sockets: ListeningSockets) -> None:
        """Start the servers on ``sockets``, and the background tasks."""
        await self._gossip.start()
        self._relay.begin()
        listeners = self._listeners
        await listeners.peers.listen(sockets.peers)
        await listeners.readiness.listen(sockets.readiness)
        await listeners.directory.listen(sockets.directory)
        await listeners.callers.listen(sockets.callers)
        if sockets.metrics is not None:
            await listeners.metrics.listen(sockets.metrics)
        loop = asyncio.get_running_loop()
        runs: dict[str, Callable[[], Awaitable[None]]] = {
            "follower selection": self._follower_selection.run,
            "host registry": self._registry.run,
            "store probe": self._store_probe.run,
            "software versions": self._version_registry.run,
            "running streams": self._stream_registry.run,
            "gossip": self._gossip.run,
            "maintenance": self._run_maintenance,
            "memory review": lambda: review_account(self._memory),
        }
        if self.settings.is_first_start:
            self._peer_sync.has_full_cache_map = self._peer_sync.has_streams = True
        else:
            runs["cache recovery"] = self._cache_recovery.run
        self._tasks = [loop.create_task(keep_running(name, run)) for name, run in runs.items()]
        ports = {
            name: getattr(self._listeners, name).port
            for name in ("callers", "readiness", "directory")
        }
        log.notice("started", extra={"boot": self._boot_id, "ports": ports})

    async def stop(self) -> None:
        """Shut down gracefully: deregister, drain the running requests, then close.

        New requests are still served for as long as callers may cache the address of this host, if
        they are expected to end in time. Others are rejected, with a response that says that they
        were not run. What still runs at the end is answered as far as its outcome is known.
        """
        self._is_stopping = True
        shutdown = Shutdown(
            self._listeners, self._relay, self._gossip, self._registry, self._upkeep
        )
        await shutdown.run(self.settings.bounds.grace_s)
        for watcher in self._watchers:
            watcher.set_watching(False)
        for task in self._tasks:
            task.cancel()
        self._writer.flush()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed listen addresses take effect at the next start only."""
        if settings == self.settings:
            log.info("settings reloaded", extra={"changed": False})
            return
        if settings.listen != self.settings.listen:
            log.warning("changed listen addresses take effect after a restart")
        before, after = self.settings.bounds, settings.bounds
        if (before.evacuate_s, before.cold) != (after.evacuate_s, after.cold):
            log.warning("changed bounds of evacuations or cold starts take effect after a restart")
        self.settings = settings
        self._retry_budgets.change(settings.retries)
        for seed in settings.seeds:
            self.members.add(seed)
        log.notice("settings reloaded", extra={"changed": True})

    def _make_relay(self) -> RelayService:
        chooser = Chooser(
            self.settings.identity.zone, self.settings.bounds.load_multiple, self.caches
        )
        selector = UpstreamSelector(
            chooser,
            self.load_tracker,
            self.outliers,
            self.backoffs,
            self.chat_heat,
            self.rate_limits,
            self._cold_watch.upstreams,
            self.speeds,
        )
        crash_guard = CrashGuard(
            self.quarantine,
            self._announce_crash,
            self._announcements.record_answered,
            self.evacuations.may_send_to,
        )
        forwarder = Forwarder(
            ExchangeClient(self.pool),
            selector,
            crash_guard,
            self.stream_binder,
            self.evacuations.read_snapshot,
            self._announcements.record_leaving,
            lambda upstream: is_listed_incarnation(upstream, self.evacuations.may_send_to),
        )
        attempt_runner = AttemptRunner(
            selector,
            forwarder,
            self.load_tracker,
            self.evacuations.read_snapshot,
            self._retry_budgets.find,
            crash_guard,
            self.stream_binder,
        )
        return RelayService(
            attempt_runner,
            lambda: self.routing_state.snapshot,
            self.telemetry,
            memory=self._memory,
        )

    def _make_listeners(self) -> Listeners:
        lifetime_s = min(ADDRESS_LIFETIME_S, self.settings.bounds.address_lifetime_s)
        endpoints = Endpoints(
            lambda: self.is_ready, self._find_addresses, self.telemetry, lifetime_s
        )
        return Listeners(
            callers=InboundServer(
                self._relay.handle,
                InboundLimits(),
                self._relay.record_read_failure,
                self._relay.record_dropped,
                self._memory,
                find_callers_limit(self.settings.max_descriptors),
            ),
            readiness=InboundServer(
                endpoints.handle_readiness, InboundLimits(), memory=self._memory
            ),
            directory=InboundServer(
                endpoints.handle_directory, InboundLimits(), memory=self._memory
            ),
            peers=InboundServer(self._handle_peer_request, InboundLimits(), memory=self._memory),
            metrics=InboundServer(endpoints.handle_metrics, InboundLimits(), memory=self._memory),
        )

    async def _handle_peer_request(self, request: Request, responder: Responder) -> None:
        if request.head.target == VERSIONS_PATH:
            await self._version_confirmation.handle_request(responder)
            return
        self._peer_sync.handle_request(request, responder)

    @property
    def _own_address(self) -> Endpoint:
        """Address of the callers' listener; the system has chosen the port if it is set to 0."""
        return Endpoint(self.settings.listen.callers.address, self._listeners.callers.port)

    def _find_addresses(self) -> list[Endpoint]:
        now = asyncio.get_running_loop().time()
        ready = [heartbeat.callers for heartbeat in self.members.ready(now)]
        if self.is_ready:
            ready.append(self._own_address)
        return sorted(ready, key=str)

    def _make_heartbeat(self) -> Heartbeat:
        now = asyncio.get_running_loop().time()
        state = HostState.READY if self._has_routing_data else HostState.STARTING
        return self._announcements.make_heartbeat(
            HostState.LEAVING if self._is_stopping else state,
            self._own_address,
            rounds_to_reach_all=self._gossip.rounds_to_reach_all,
            has_full_cache_map=self._peer_sync.has_full_cache_map,
            confirmation_age_ms=self._follower_selection.get_state_age_ms(now),
            contact_ms=min(UNCONFIRMED_MS, int(self._follower_selection.get_contact_s(now) * 1000)),
            now=now,
        )

    def _handle_heartbeat(self, address: str, heartbeat: Heartbeat, is_new: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._announcements.handle_heartbeat(heartbeat, now)
        self._removal_grace.contacts.record(heartbeat.host, heartbeat.contact_ms / 1000, now)
        self._follower_selection.handle_heartbeat(heartbeat)
        self._peer_sync.handle_heartbeat(address, heartbeat, is_new)

    def _handle_new_era(self, era: int) -> None:
        """Write again what this host has written to a store that came back from an older copy."""
        log.warning(
            "store is in a new era; what it had acknowledged before may be lost, and what "
            "this host wrote is written again",
            extra={"era": era},
        )
        self._registry.record_restored()
        self._version_registry.record_restored()
        self._stream_registry.record_restored()
        for watcher in self._watchers:
            watcher.record_era(era)

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self._peer_sync.reset_lag_timer()
        self._upkeep.record_snapshot(snapshot, asyncio.get_running_loop().time())
        self._announcements.accept_vouched_versions()
        self._cold_watch.record_snapshot(snapshot)
        if self._follower_selection.must_notify_peers:
            self._gossip.send_round(to_all=True)
        if self._has_routing_data:
            self._relay.snapshot_available.set()
        if snapshot.table is not None:
            configuration = snapshot.table.configuration
            self._listeners.callers.limits = configuration.limits
            self._relay.stop.run_times.keep({route.name for route in configuration.routes})

    def _find_max_idle_connections(self, upstream: str) -> int:
        max_connections = self.routing_state.snapshot.get_max_connections(upstream)
        return share_idle_connections(max_connections, self._count_hosts())

    def _count_hosts(self) -> int:
        return max(MIN_HOSTS_ASSUMED, len(self.members) + 1)

    def _announce_crash(self, crash: UpstreamCrash) -> None:
        self._announcements.record_crash(crash, asyncio.get_running_loop().time())
        self._gossip.send_round()

    def _is_trial_host(self, part: str) -> bool:
        return self.members.is_first_for(part, asyncio.get_running_loop().time())

    def _drop_upstream_state(self, name: str) -> None:
        self.caches.forget(name)
        self.outliers.forget(name)
        self.pool.forget(name)

    def _record_listed(self, upstream: Upstream) -> None:
        self._upkeep.record_listed(upstream, asyncio.get_running_loop().time())

    def _get_state_age_s(self) -> float:
        return self._follower_selection.get_state_age_ms(asyncio.get_running_loop().time()) / 1000

    async def _run_maintenance(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + MAINTENANCE_INTERVAL_S
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            late_s = loop.time() - due_at
            if late_s > STALL_LOGGED_S:
                log.warning("event loop was late", extra={"late_s": round(late_s, 3)})
            self.evacuations.check_stall()
            self.pool.close_stale()
            self._upkeep.update(
                asyncio.get_running_loop().time(),
                is_ready=self.is_ready,
                uptime_s=monotonic() - self._started_at,
            )
            self._cold_watch.update()
            self._writer.flush()

    def _connect_parts(self) -> None:
        """Tell the cold upstreams of evacuations: of their ends, and whom not to ask."""
        self.evacuations.on_ended = self._cold_watch.on_ended
        if self._cold_watch.probes is not None:
            self._cold_watch.probes.may_probe = self.evacuations.may_send_to

    def _export_gauges(self) -> None:
        self.evacuations.add_gauges(self.telemetry)
        add_memory_gauges(self.telemetry, self._memory)
        add_gauges(
            self.telemetry,
            {
                **find_state_gauges(self.routing_state, self.store),
                **find_work_gauges(self._listeners.callers, self._memory, self.pool),
                "knowledge_age_seconds": self._get_state_age_s,
                "quarantined_parts": self.quarantine.count_in_force,
                "upstreams_with_rate_limit": self.rate_limits.count_in_force,
                "gossip_sent_bytes": lambda: self._gossip.sent_bytes,
                "uptime_seconds": lambda: monotonic() - self._started_at,
            },
        )
