"""The running daemon: creates its components from the settings, starts and stops them in order."""

from threading import Event, Lock
from time import sleep
from typing import Any

from logbook import Logger

from cherrylane import __version__
from cherrylane.daemon.fleet import FleetWatcher
from cherrylane.delivery.admission import AdmissionClient
from cherrylane.delivery.attempts import AttemptRunner
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
from cherrylane.limits.ledger import LoadTotals
from cherrylane.membership.identity import LocalIdentity
from cherrylane.membership.lease import HomeLease
from cherrylane.membership.prober import Prober
from cherrylane.membership.roster import HostRecord, RosterEntry, make_incarnation
from cherrylane.peer.probe import ProbeClient, SharedState
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
TAKEOVER_MARGIN_S = 1.0

log = Logger("cherrylane.daemon")


class Daemon:
    """One host's daemon.

    The constructor binds the listening sockets; :meth:`start` joins the roster and starts to serve.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self._stopping = Event()
        self._rejoin_lock = Lock()
        self._serving = False
        self._peer_loads: dict[PoolKey, LoadTotals] = {}
        self._traffic = TrafficCounter()
        self.metrics = Metrics(self._traffic)
        self._platform = PlatformClient(settings.platform)
        self.identity = LocalIdentity(settings.host.name, make_incarnation())
        self._lease = HomeLease(settings.peers.lease_s)
        self.homes = LocalHomes(
            self.identity,
            ClaimShards(self._platform),
            takeover_s=settings.peers.suspect_after_s + TAKEOVER_MARGIN_S,
            may_admit=self._lease.is_held,
        )
        self.metrics.set_loads_reader(self.homes.loads)
        self.admission = AdmissionClient(self.identity, settings.peers, self.homes, self._traffic)
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
            read_shared_state=self._read_shared_state,
            on_peer_state=self._update_peer_loads,
            on_declared_dead=self._rejoin,
        )
        self._fleet_watcher = FleetWatcher(
            self._platform, self._apply_view, self._handle_restored_store
        )
        self._peer_server = PeerServer(
            settings.peers, self.homes, self._prober.handle_probe, self._traffic
        )
        self._streams = StreamLoop()
        self._idempotency_guard = IdempotencyGuard(self.admission)
        self._callers = self._make_caller_server()
        self._operators = self._make_operator_server()
        self._roster_entry = RosterEntry(
            self._platform, self._make_record(self.identity.current.incarnation)
        )

    @property
    def record(self) -> HostRecord:
        """This host's entry in the roster."""
        return self._roster_entry.record

    def start(self) -> None:
        """Load the configuration, join the roster, and serve."""
        self._operators.start()
        self._peer_server.start()
        self.homes.start()
        self._streams.start()
        self._idempotency_guard.start()
        self._fleet_watcher.start()
        while not self._fleet_watcher.wait_until_listed(PLATFORM_RETRY_S):
            if self._stopping.is_set():
                return
        self._join()
        if self._stopping.is_set():
            return
        self._prober.start()
        self._callers.start()
        self._serving = True
        log.notice(f"serving callers on {self.record.callers}")

    def stop(self) -> None:
        """Drain: mark the host as draining, finish running requests, leave the roster, and close.

        Callers that still hold an address list with this host are served until it expires. From
        then on no request is taken, so that none begins that would not be finished.
        """
        self._stopping.set()
        self._serving = False
        try:
            self._roster_entry.mark_draining()
        except PlatformError as error:
            log.warning(f"could not mark this host as draining: {error}")
        self._callers.close_after_responses()
        sleep(self.settings.callers.address_lifetime_s)
        self._callers.stop()
        self._wait_for_streams()
        try:
            self._roster_entry.leave()
        except PlatformError as error:
            log.warning(f"could not leave the roster: {error}")
        self._streams.stop()
        self._idempotency_guard.stop()
        self._prober.stop()
        self.homes.stop()
        self.admission.stop()
        self._probe_client.close()
        self._fleet_watcher.stop()
        self._peer_server.stop()
        self._operators.stop()

    def status(self) -> dict[str, Any]:
        """Return the status that operators read."""
        view = self._fleet_watcher.view
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
            "grants_held": self.admission.count_held_grants(),
            "services": {
                name: {"runners": sorted(service.runners)}
                for name, service in sorted(view.services.items())
            },
        }

    def _wait_for_streams(self) -> None:
        """Wait for the streams, which run outside the server of callers and hold grants."""
        while self.admission.count_held_grants():
            sleep(DRAIN_POLL_S)

    def _join(self) -> None:
        while not self._stopping.is_set():
            try:
                self._roster_entry.join()
                return
            except PlatformError as error:
                log.warning(f"could not join the roster, retrying: {error}")
                self._stopping.wait(PLATFORM_RETRY_S)

    def _rejoin(self) -> None:
        """Rejoin under a new incarnation after a majority declared the old one dead."""
        if not self._rejoin_lock.acquire(blocking=False):
            return
        try:
            incarnation = make_incarnation()
            self.identity.renew(incarnation)
            self.admission.reset_links()
            self._roster_entry = RosterEntry(self._platform, self._make_record(incarnation))
            self._join()
        finally:
            self._rejoin_lock.release()

    def _handle_restored_store(self) -> None:
        """Write again what this host has written to a store that came back from an older copy."""
        self.homes.restore_claims()
        try:
            self._roster_entry.restore()
        except PlatformError as error:
            log.error(
                f"roster entry not written again: {error}; restart this host if it is missing"
            )

    def _apply_view(self, view: FleetView) -> None:
        self._prober.update_roster(view.roster)
        self.admission.update_view(view)

    def _read_shared_state(self) -> SharedState:
        generation = self._fleet_watcher.view.configuration.generation
        return SharedState(generation=generation, loads=self.homes.totals())

    def _update_peer_loads(self, peer: str, state: SharedState) -> None:
        if not state.loads:
            return
        self._peer_loads = {**self._peer_loads, **state.loads}
        self.homes.set_other_pools({**self._peer_loads, **self.homes.totals()})

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
        attempts = AttemptRunner(self.admission, UpstreamClient(settings.upstreams), self.metrics)
        application = CallerApplication(
            settings.callers,
            settings.host,
            lambda: self._fleet_watcher.view,
            ChatDelivery(
                attempts,
                self._streams,
                self.metrics,
                zone=settings.host.zone,
                silence_timeout_s=settings.upstreams.silence_timeout_s,
            ),
            PlainDelivery(attempts, self._idempotency_guard, self.metrics, zone=settings.host.zone),
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
            lambda: self._fleet_watcher.view, self.status, self.homes, self.metrics
        )
        return HttpServer(
            self.settings.operators.listen,
            application,
            threads=OPERATOR_THREADS,
            idle_timeout_s=self.settings.callers.idle_timeout_s,
            max_header_bytes=self.settings.callers.max_header_bytes,
            name="operators",
        )
