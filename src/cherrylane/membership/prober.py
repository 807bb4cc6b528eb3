"""Probes this host's witnesses, one thread for each, and removes unresponsive hosts."""

from collections.abc import Callable
from threading import Event, Lock, Thread
from time import monotonic

from logbook import Logger

from cherrylane.errors import PlatformError
from cherrylane.membership.failure_detector import FailureDetector, find_witnesses
from cherrylane.membership.identity import LocalIdentity
from cherrylane.membership.lease import HomeLease
from cherrylane.membership.roster import HostRecord, Roster, remove_host
from cherrylane.peer.identity import PeerIdentity
from cherrylane.peer.probe import ProbeAnswer, ProbeClient, SharedState
from cherrylane.platform.client import PlatformClient
from cherrylane.settings.schema import PeerSettings

log = Logger("cherrylane.membership")


class Prober:
    """Maintains this host's lease, and watches the hosts that it is a witness of.

    ``read_shared_state`` returns the state to send to peers, and ``on_peer_state`` is called with
    the name and the state of each peer. ``on_declared_dead`` is called when a majority of this host
    and its witnesses has declared this incarnation of the host dead.
    """

    def __init__(
        self,
        identity: LocalIdentity,
        site: str,
        settings: PeerSettings,
        *,
        client: ProbeClient,
        platform: PlatformClient,
        lease: HomeLease,
        read_shared_state: Callable[[], SharedState],
        on_peer_state: Callable[[str, SharedState], None],
        on_declared_dead: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._site = site
        self._settings = settings
        self._client = client
        self._platform = platform
        self._lease = lease
        self._read_shared_state = read_shared_state
        self._on_peer_state = on_peer_state
        self._on_declared_dead = on_declared_dead
        self._failure_detector = FailureDetector(settings.suspect_after_s)
        self._roster = Roster()
        self._lock = Lock()
        self._stopping = Event()
        self._probe_stops: dict[str, Event] = {}
        self._rejected_by: set[str] = set()
        self._watch_thread = Thread(target=self._watch_hosts, name="liveness", daemon=True)

    def start(self) -> None:
        """Start to watch hosts."""
        self._watch_thread.start()

    def stop(self) -> None:
        """Stop watching, and stop every probing thread."""
        self._stopping.set()
        with self._lock:
            for stop in self._probe_stops.values():
                stop.set()

    def update_roster(self, roster: Roster) -> None:
        """Apply a roster: probe this host's witnesses, and watch the hosts it is a witness of."""
        own_witnesses = find_witnesses(self._identity.name, self._site, roster)
        watched = [
            host.holder
            for host in roster.hosts.values()
            if host.site == self._site and self._is_witness_of(host, roster)
        ]
        self._lease.set_peers(host.name for host in own_witnesses)
        self._failure_detector.watch(watched)
        wanted = {host.holder: host for host in own_witnesses}
        with self._lock:
            self._roster = roster
            for holder in [known for known in self._probe_stops if known not in wanted]:
                self._probe_stops.pop(holder).set()
            for holder, host in wanted.items():
                if holder not in self._probe_stops:
                    self._start_probing(holder, host)

    def handle_probe(self, peer: PeerIdentity, target: str, state: SharedState) -> ProbeAnswer:
        """Return the reply to a peer's probe.

        If the probe names a ``target`` holder that this host watches but has received no probe from
        for ``suspect_after_s``, the target is declared dead, and the reply's ``target_heard`` is
        False.
        """
        acknowledged = self._failure_detector.acknowledge(peer)
        self._on_peer_state(peer.name, state)
        target_heard = bool(target) and not self._failure_detector.declare_dead_if_silent(target)
        return ProbeAnswer(
            identity=self._identity.current,
            acknowledged=acknowledged,
            target_heard=target_heard,
            shared_state=self._read_shared_state(),
        )

    def _is_witness_of(self, host: HostRecord, roster: Roster) -> bool:
        if host.name == self._identity.name:
            return False
        names = {witness.name for witness in find_witnesses(host.name, self._site, roster)}
        return self._identity.name in names

    def _start_probing(self, holder: str, host: HostRecord) -> None:
        stop = Event()
        self._probe_stops[holder] = stop
        Thread(
            target=self._probe_host, args=(host, stop), name=f"probe-{host.name}", daemon=True
        ).start()

    def _probe_host(self, host: HostRecord, stop: Event) -> None:
        while not stop.is_set():
            sent_at = monotonic()
            answer = self._client.probe(
                str(host.peers),
                self._read_shared_state(),
                timeout_s=self._settings.probe_timeout_s,
            )
            if answer is not None and answer.identity.incarnation == host.incarnation:
                self._handle_answer(host, answer, sent_at)
            stop.wait(self._settings.probe_interval_s)

    def _handle_answer(self, host: HostRecord, answer: ProbeAnswer, sent_at: float) -> None:
        self._on_peer_state(host.name, answer.shared_state)
        if answer.acknowledged:
            self._lease.acknowledge(host.name, sent_at)
            return
        with self._lock:
            self._rejected_by.add(host.name)
            voters = len(self._probe_stops) + 1
            declared_dead = 2 * len(self._rejected_by) > voters
            if declared_dead:
                self._rejected_by.clear()
        if declared_dead:
            log.warning("declared dead by a majority of witnesses; rejoining the roster")
            self._on_declared_dead()

    def _watch_hosts(self) -> None:
        while not self._stopping.wait(self._settings.probe_interval_s):
            for holder in self._failure_detector.find_suspects():
                host = self._find_host(holder)
                if host is not None:
                    self._confirm_and_remove(host, holder)

    def _confirm_and_remove(self, host: HostRecord, holder: str) -> None:
        if not self._failure_detector.declare_dead_if_silent(holder):
            return
        witnesses = find_witnesses(host.name, self._site, self._roster)
        votes = 1
        for witness in witnesses:
            if witness.name != self._identity.name and self._confirms_dead(witness, holder):
                votes += 1
        if 2 * votes <= len(witnesses) + 1:
            log.notice(
                f"host {host.name} sends no probes here, but has only {votes} of "
                f"{len(witnesses) + 1} votes for its removal; not removed"
            )
            return
        try:
            if remove_host(self._platform, host):
                log.warning(
                    f"removed unresponsive host {host.name} from the roster ({votes} votes)"
                )
        except PlatformError as error:
            log.warning(f"could not remove unresponsive host {host.name} from the roster: {error}")

    def _confirms_dead(self, witness: HostRecord, holder: str) -> bool:
        answer = self._client.probe(
            str(witness.peers),
            self._read_shared_state(),
            timeout_s=self._settings.probe_timeout_s,
            target=holder,
        )
        return answer is not None and not answer.target_heard

    def _find_host(self, holder: str) -> HostRecord | None:
        with self._lock:
            for host in self._roster.hosts.values():
                if host.holder == holder:
                    return host
        return None
