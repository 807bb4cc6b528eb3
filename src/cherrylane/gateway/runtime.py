"""The daemon: everything that one entry host runs, put together."""

import asyncio
from os import urandom
from time import monotonic

from attrs import frozen
from logbook import Logger

from cherrylane.gateway.endpoints import ADDRESS_LIFETIME_S, Endpoints
from cherrylane.gateway.following import Following
from cherrylane.gateway.knowledge import RETURN_GRACE_S, Knowledge
from cherrylane.gateway.peers import PeerKnowledge
from cherrylane.gateway.recovery import CacheRecovery
from cherrylane.gateway.roster import Roster
from cherrylane.gateway.sockets import ListeningSockets
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import Heartbeat, HostState
from cherrylane.gossip.node import INTERVAL_S, GossipNode
from cherrylane.http.inbound import InboundServer
from cherrylane.http.limits import InboundLimits
from cherrylane.http.messages import Request
from cherrylane.http.outbound import ConnectionPool
from cherrylane.http.responder import Responder
from cherrylane.limits.connections import share_idle_connections
from cherrylane.limits.retries import RetryAllowance
from cherrylane.limits.suspicion import Suspicion
from cherrylane.placement.caches import CacheMap
from cherrylane.placement.choice import Chooser
from cherrylane.placement.loads import PEER_LOADS_LIFETIME_S, LoadBoard
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind
from cherrylane.relay.attempts import Attempts
from cherrylane.relay.exchange import Exchanges
from cherrylane.relay.selection import Selection
from cherrylane.relay.service import RelayService
from cherrylane.routing.snapshot import Snapshot
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.settings.schema import Endpoint, PlatformSettings
from cherrylane.telemetry.counters import Telemetry
from cherrylane.telemetry.output import LineWriter

# Seconds that a store call may take; its answers usually take milliseconds.
STORE_TIMEOUT_S = 1.0
# Seconds that a connection to an upstream may take to open; then another one is tried.
CONNECT_TIMEOUT_S = 0.15
# Seconds that an idle connection to an upstream is kept; 1 s opened a quarter more of them.
MAX_IDLE_S = 4.0
# Seconds between rounds of upkeep: idle connections, and log lines that wait.
UPKEEP_INTERVAL_S = 0.25
# Fewest hosts that shared bounds are divided by, while others may not be known yet.
MIN_HOSTS_ASSUMED = 8
# Seconds of the grace time that are left to end by itself before it is ended from outside.
GRACE_MARGIN_S = 0.7
# Seconds between looks whether a stopping daemon is idle.
DRAIN_POLL_S = 0.05
# Times that a host tells each other host what its requests have left at engines.
TIMES_TOLD = 2
# Rounds of heartbeats to all hosts for which a host's last loads count; one may be missed.
SWEEPS_COUNTED = 2
BOOT_BYTES = 6

log = Logger("cherrylane.gateway")


@frozen
class Listeners:
    """The servers of one daemon."""

    callers: InboundServer
    readiness: InboundServer
    directory: InboundServer
    peers: InboundServer
    metrics: InboundServer

    def all(self) -> tuple[InboundServer, ...]:
        """Return every server."""
        return (self.callers, self.readiness, self.directory, self.peers, self.metrics)


class Gateway:
    """One run of the daemon.

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
        self._boot = urandom(BOOT_BYTES).hex()
        self._is_stopping = False
        self._started = monotonic()
        self._tasks: list[asyncio.Task[None]] = []
        self._allowances: dict[str, RetryAllowance] = {}
        self.board = LoadBoard()
        self.suspicion = Suspicion()
        self.pool = ConnectionPool(MAX_IDLE_S, CONNECT_TIMEOUT_S, self._find_most_idle)
        self.members = Members(settings.identity.address)
        for seed in settings.seeds:
            self.members.add(seed)
        self.store = AsyncPlatformClient(
            PlatformSettings(url=f"http://{settings.store.endpoint}", timeout_s=STORE_TIMEOUT_S)
        )
        self.caches = CacheMap()
        self.knowledge = Knowledge(
            self._take_snapshot, self._read_return_grace_s, forget_upstream=self._forget_upstream
        )
        self._followers = self._make_followers()
        self._following = Following(self.members, self._followers)
        self._roster = Roster(self.store, settings.identity, self._boot, self.members)
        self._peers = PeerKnowledge(
            self.knowledge,
            self.board,
            self.caches,
            settings.listen.peers.port,
            is_following=lambda: self._following.is_following,
        )
        self._recovery = CacheRecovery(
            self.knowledge, self.members, self._peers, self._roster.was_read
        )
        self._gossip = GossipNode(
            settings.listen.peers, self.members, self._make_heartbeat, self._take_heartbeat
        )
        self._relay = self._make_relay()
        self._listeners = self._make_listeners()
        self._add_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether callers are served: this host knows what to do, and is not stopping."""
        return not self._is_stopping and self._is_informed

    @property
    def _is_informed(self) -> bool:
        snapshot = self.knowledge.snapshot
        return snapshot.table is not None and bool(snapshot.upstreams_by_service)

    async def start(self, sockets: ListeningSockets) -> None:
        """Serve on ``sockets``, and begin to learn."""
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
        work = [self._following.run(), self._roster.run(), self._gossip.run()]
        work.append(self._run_upkeep())
        if self.settings.is_first_start:
            self._peers.knows_caches = True
        else:
            work.append(self._recovery.run())
        self._tasks = [loop.create_task(one) for one in work]
        ports = {
            name: getattr(self._listeners, name).port
            for name in ("callers", "readiness", "directory")
        }
        log.notice("started", extra={"boot": self._boot, "ports": ports})

    async def stop(self) -> None:
        """Stop without cutting a request: leave the lists, finish what runs, then close.

        New requests are still served for as long as callers may keep this host's address; those
        that come later are refused as not run.
        """
        deadline = monotonic() + self.settings.bounds.grace_s - GRACE_MARGIN_S
        self._is_stopping = True
        callers = self._listeners.callers
        log.notice("stopping", extra={"busy": callers.busy, "idle": len(callers.connections)})
        self._gossip.send_round(to_all=True)
        leave = asyncio.get_running_loop().create_task(self._roster.leave())
        callers.draining = True
        await asyncio.sleep(ADDRESS_LIFETIME_S)
        self._relay.is_closed = True
        callers.close_idle()
        while callers.busy and monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
            callers.close_idle()
        log.notice("stopped", extra={"cut": callers.busy})
        self._gossip.send_round(to_all=True)
        for server in self._listeners.all():
            server.stop_accepting()
        leave.cancel()
        for follower in self._followers:
            follower.set_watching(False)
        for task in self._tasks:
            task.cancel()
        self._writer.flush()

    def reload(self, settings: GatewaySettings) -> None:
        """Take over changed settings; addresses to listen on stay until the next start."""
        if settings == self.settings:
            log.info("settings reloaded", extra={"changed": False})
            return
        if settings.listen != self.settings.listen:
            log.warning("new addresses to listen on are used after the next start")
        self.settings = settings
        self._allowances.clear()
        for seed in settings.seeds:
            self.members.add(seed)
        log.notice("settings reloaded", extra={"changed": True})

    def _make_followers(self) -> list[AsyncWatcher]:
        knowledge = self.knowledge
        return [
            AsyncWatcher(
                self.store, Kind.CONFIG, knowledge.take_config_list, knowledge.take_config_changes
            ),
            AsyncWatcher(
                self.store,
                Kind.UPSTREAMS,
                knowledge.take_upstream_list,
                knowledge.take_upstream_changes,
            ),
        ]

    def _make_relay(self) -> RelayService:
        chooser = Chooser(
            self.settings.identity.zone, self.settings.bounds.load_multiple, self.caches
        )
        attempts = Attempts(
            Selection(chooser, self.board, self.suspicion),
            Exchanges(self.pool),
            self.board,
            lambda: self.knowledge.snapshot,
            self._find_allowance,
        )
        return RelayService(attempts, lambda: self.knowledge.snapshot, self.telemetry)

    def _make_listeners(self) -> Listeners:
        lifetime_s = min(ADDRESS_LIFETIME_S, self.settings.bounds.address_lifetime_s)
        endpoints = Endpoints(
            lambda: self.is_ready, self._find_addresses, self.telemetry, lifetime_s
        )
        return Listeners(
            callers=InboundServer(
                self._relay.handle, InboundLimits(), self._relay.note_read_failure
            ),
            readiness=InboundServer(endpoints.answer_readiness, InboundLimits()),
            directory=InboundServer(endpoints.answer_directory, InboundLimits()),
            peers=InboundServer(self._answer_peer, InboundLimits()),
            metrics=InboundServer(endpoints.answer_metrics, InboundLimits()),
        )

    async def _answer_peer(self, request: Request, responder: Responder) -> None:
        self._peers.answer(request, responder)

    @property
    def _own_address(self) -> Endpoint:
        """Where callers reach this host; the system may have chosen the port."""
        return Endpoint(self.settings.listen.callers.address, self._listeners.callers.port)

    def _find_addresses(self) -> list[Endpoint]:
        now = asyncio.get_running_loop().time()
        ready = [heartbeat.callers for heartbeat in self.members.ready(now)]
        if self.is_ready:
            ready.append(self._own_address)
        return sorted(ready, key=str)

    def _make_heartbeat(self) -> Heartbeat:
        snapshot = self.knowledge.snapshot
        state = HostState.READY if self._is_informed else HostState.STARTING
        return Heartbeat(
            host=self.settings.identity.name,
            boot=self._boot,
            zone=self.settings.identity.zone,
            state=HostState.LEAVING if self._is_stopping else state,
            callers=self._own_address,
            config_version=snapshot.config_version,
            upstreams_version=snapshot.upstreams_version,
            loads=tuple(self.board.own.items()),
            cached=self.caches.take_news(self._gossip.rounds_to_reach_all * TIMES_TOLD),
            knows_caches=self._peers.knows_caches,
            confirmed_ms=self._following.read_age_ms(asyncio.get_running_loop().time()),
        )

    def _take_heartbeat(self, address: str, heartbeat: Heartbeat, is_new: bool) -> None:
        self._following.take_heartbeat(heartbeat)
        self._peers.take_heartbeat(address, heartbeat, is_new)

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self._peers.note_snapshot()
        if self._following.is_followed_by_others:
            self._gossip.send_round(to_all=True)
        if self._is_informed:
            self._relay.informed.set()
        if snapshot.table is not None:
            self._listeners.callers.limits = snapshot.table.configuration.limits

    def _read_return_grace_s(self) -> float:
        follower = self._followers[1]
        if follower.unavailable_since is not None:
            return RETURN_GRACE_S
        return follower.recovered_at + RETURN_GRACE_S - asyncio.get_running_loop().time()

    def _find_most_idle(self, upstream: str) -> int:
        most = self.knowledge.snapshot.get_max_connections(upstream)
        return share_idle_connections(most, self._count_hosts())

    def _count_hosts(self) -> int:
        return max(MIN_HOSTS_ASSUMED, len(self.members) + 1)

    def _find_allowance(self, service: str) -> RetryAllowance:
        hosts = self._count_hosts()
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = self._allowances[service] = RetryAllowance(self.settings.retries, hosts)
        allowance.hosts = hosts
        return allowance

    def _forget_upstream(self, name: str) -> None:
        self.caches.forget(name)
        self.suspicion.forget(name)
        self.pool.forget(name)

    def _read_knowledge_age(self) -> float:
        return self._following.read_age_ms(asyncio.get_running_loop().time()) / 1000

    async def _run_upkeep(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            self.pool.close_stale()
            sweep_s = self._gossip.rounds_to_reach_all * INTERVAL_S
            self.board.lifetime_s = max(PEER_LOADS_LIFETIME_S, sweep_s * SWEEPS_COUNTED)
            self._writer.flush()

    def _add_gauges(self) -> None:
        telemetry = self.telemetry
        callers = self._listeners.callers
        telemetry.add_gauge("config_version", lambda: self.knowledge.snapshot.config_version)
        telemetry.add_gauge("upstreams_version", lambda: self.knowledge.snapshot.upstreams_version)
        telemetry.add_gauge("knowledge_age_seconds", self._read_knowledge_age)
        telemetry.add_gauge("caller_connections", lambda: len(callers.connections))
        telemetry.add_gauge("requests_in_work", lambda: callers.busy)
        telemetry.add_gauge("store_calls", lambda: self.store.calls)
        telemetry.add_gauge("upstream_connections_opened", lambda: self.pool.opened)
        telemetry.add_gauge("gossip_sent_bytes", lambda: self._gossip.sent_bytes)
        telemetry.add_gauge("uptime_seconds", lambda: monotonic() - self._started)
