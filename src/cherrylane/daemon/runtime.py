"""The running daemon: every part made from the settings, started and stopped in order."""

from threading import Event, Lock
from time import monotonic, sleep
from typing import Any

from logbook import Logger

from cherrylane import __version__
from cherrylane.daemon.knowledge import FleetKnowledge
from cherrylane.delivery.admission import AdmissionClient
from cherrylane.delivery.attempts import Attempts
from cherrylane.delivery.chats import ChatDelivery
from cherrylane.delivery.exchange import UpstreamClient
from cherrylane.delivery.plain import PlainDelivery
from cherrylane.delivery.streams import StreamLoop
from cherrylane.errors import PlatformError
from cherrylane.http.callers import CallerApplication
from cherrylane.http.operators import OperatorApplication
from cherrylane.http.server import HttpServer
from cherrylane.idempotency.guard import IdempotencyGuard
from cherrylane.idempotency.shards import ClaimShards
from cherrylane.limits.homes import LocalHomes
from cherrylane.limits.ledger import OutsideLoad
from cherrylane.membership.identity import LocalIdentity
from cherrylane.membership.lease import HomeLease
from cherrylane.membership.prober import Prober
from cherrylane.membership.roster import HostRecord, RosterEntry, make_incarnation
from cherrylane.peer.probe import Knowledge, ProbeClient
from cherrylane.peer.server import PeerServer
from cherrylane.platform.client import PlatformClient
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import FleetView
from cherrylane.settings.schema import DaemonSettings, Endpoint
from cherrylane.telemetry.metrics import Metrics
from cherrylane.telemetry.traffic import TrafficCounter

OPERATOR_THREADS = 4
PLATFORM_RETRY_S = 0.5
DRAIN_POLL_S = 0.05
TAKEOVER_SLACK_S = 1.0

log = Logger("cherrylane.daemon")


class Daemon:
    """One host's daemon.

    Making it binds its listening sockets; :meth:`start` joins the roster and begins to serve.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self._stopping = Event()
        self._rejoining = Lock()
        self._serving = False
        self._peer_loads: dict[PoolKey, OutsideLoad] = {}
        self._traffic = TrafficCounter()
        self.metrics = Metrics(self._traffic)
        self._platform = PlatformClient(settings.platform)
        self.identity = LocalIdentity(settings.host.name, make_incarnation())
        self._lease = HomeLease(settings.peers.lease_s)
        self.homes = LocalHomes(
            self.identity,
            ClaimShards(self._platform),
            takeover_s=settings.peers.suspect_after_s + TAKEOVER_SLACK_S,
            may_admit=self._lease.is_held,
        )
        self.metrics.set_loads_reader(self.homes.loads)
        self.desk = AdmissionClient(self.identity, settings.peers, self.homes, self._traffic)
        self._probe_client = ProbeClient(
            lambda: self.identity.current, settings.peers.shared_key, self._traffic
        )
        self._prober = Prober(
            self.identity,
            settings.host.site,
            settings.peers,
            client=self._probe_client,
            platform=self._platform,
            lease=self._lease,
            read_knowledge=self._read_knowledge,
            learn=self._learn,
            on_declared_dead=self._rejoin,
        )
        self._knowledge = FleetKnowledge(self._platform, self._take_view)
        self._peer_server = PeerServer(
            settings.peers, self.homes, self._prober.handle_probe, self._traffic
        )
        self._streams = StreamLoop()
        self._guard = IdempotencyGuard(self.desk)
        self._callers = self._make_caller_server()
        self._operators = self._make_operator_server()
        self._entry = RosterEntry(
            self._platform, self._make_record(self.identity.current.incarnation)
        )

    @property
    def record(self) -> HostRecord:
        """This host's entry in the roster."""
        return self._entry.record

    def start(self) -> None:
        """Learn the configuration, join the roster, and serve."""
        self._operators.start()
        self._peer_server.start()
        self.homes.start()
        self._streams.start()
        self._guard.start()
        self._knowledge.start()
        while not self._knowledge.wait_until_listed(PLATFORM_RETRY_S):
            if self._stopping.is_set():
                return
        self._join()
        self._prober.start()
        self._callers.start()
        self._serving = True
        log.notice(f"serving callers at {self.record.callers}")

    def stop(self) -> None:
        """Drain: take nothing new, finish what runs, leave the roster, and close.

        Callers who hold an old address answer are served until it lapses.
        """
        self._stopping.set()
        self._serving = False
        try:
            self._entry.mark_draining()
        except PlatformError as error:
            log.warning(f"could not mark this host as draining: {error}")
        self._wait_until_idle()
        try:
            self._entry.leave()
        except PlatformError as error:
            log.warning(f"could not leave the roster: {error}")
        self._callers.stop()
        self._streams.stop()
        self._guard.stop()
        self._prober.stop()
        self.homes.stop()
        self.desk.stop()
        self._probe_client.close()
        self._knowledge.stop()
        self._peer_server.stop()
        self._operators.stop()

    def status(self) -> dict[str, Any]:
        """Return what operators see of this host."""
        view = self._knowledge.view
        return {
            "host": self.settings.host.name,
            "incarnation": self.identity.current.incarnation,
            "version": __version__,
            "serving": self._serving,
            "lease_held": self._lease.is_held(),
            "generation": view.configuration.generation,
            "hosts": sorted(view.roster.hosts),
            "home_of": sorted(str(pool) for pool in self.homes.totals()),
            "loads": self.homes.loads(),
            "grants_held": self.desk.count_held_grants(),
            "services": {
                name: {"runners": sorted(service.runners)}
                for name, service in sorted(view.services.items())
            },
        }

    def _wait_until_idle(self) -> None:
        """Wait until old address answers have lapsed, and then until nothing runs here."""
        lapse = monotonic() + self.settings.callers.address_lifetime_s
        while monotonic() < lapse or self.desk.count_held_grants() or self._callers.is_busy():
            sleep(DRAIN_POLL_S)

    def _join(self) -> None:
        while not self._stopping.is_set():
            try:
                self._entry.join()
                return
            except PlatformError as error:
                log.warning(f"could not join the roster yet: {error}")
                self._stopping.wait(PLATFORM_RETRY_S)

    def _rejoin(self) -> None:
        """Go on under a new run after most witnesses gave the old one up."""
        if not self._rejoining.acquire(blocking=False):
            return
        try:
            incarnation = make_incarnation()
            self.identity.renew(incarnation)
            self.desk.reset_links()
            self._entry = RosterEntry(self._platform, self._make_record(incarnation))
            self._join()
        finally:
            self._rejoining.release()

    def _take_view(self, view: FleetView) -> None:
        self._prober.update_roster(view.roster)
        self.desk.update_view(view)

    def _read_knowledge(self) -> Knowledge:
        generation = self._knowledge.view.configuration.generation
        return Knowledge(generation=generation, loads=self.homes.totals())

    def _learn(self, peer: str, knowledge: Knowledge) -> None:
        if not knowledge.loads:
            return
        self._peer_loads = {**self._peer_loads, **knowledge.loads}
        self.homes.set_outside({**self._peer_loads, **self.homes.totals()})

    def _make_record(self, incarnation: str) -> HostRecord:
        settings = self.settings
        return HostRecord(
            name=settings.host.name,
            incarnation=incarnation,
            site=settings.host.site,
            zone=settings.host.zone,
            callers=Endpoint(settings.callers.listen.address, self._callers.port),
            operators=Endpoint(settings.operators.listen.address, self._operators.port),
            peers=Endpoint(settings.peers.listen.address, self._peer_server.port),
        )

    def _make_caller_server(self) -> HttpServer:
        settings = self.settings
        attempts = Attempts(self.desk, UpstreamClient(settings.upstreams), self.metrics)
        application = CallerApplication(
            settings.callers,
            settings.host,
            lambda: self._knowledge.view,
            ChatDelivery(
                attempts,
                self._streams,
                self.metrics,
                zone=settings.host.zone,
                silence_timeout_s=settings.upstreams.silence_timeout_s,
            ),
            PlainDelivery(attempts, self._guard, self.metrics, zone=settings.host.zone),
            self.metrics,
        )
        return HttpServer(
            settings.callers.listen,
            application,
            threads=settings.callers.threads,
            idle_timeout_s=settings.callers.idle_timeout_s,
            max_header_bytes=settings.callers.max_header_bytes,
            name="callers",
        )

    def _make_operator_server(self) -> HttpServer:
        application = OperatorApplication(
            lambda: self._knowledge.view, self.status, self.homes, self.metrics
        )
        return HttpServer(
            self.settings.operators.listen,
            application,
            threads=OPERATOR_THREADS,
            idle_timeout_s=self.settings.callers.idle_timeout_s,
            max_header_bytes=self.settings.callers.max_header_bytes,
            name="operators",
        )
