"""Probing of this host's witnesses, one thread for each, and removal of hosts that fell silent."""

from collections.abc import Callable
from threading import Event, Lock, Thread
from time import monotonic

from logbook import Logger

from cherrylane.errors import PlatformError
from cherrylane.membership.identity import OwnIdentity
from cherrylane.membership.lease import HomeLease
from cherrylane.membership.liveness import Liveness, witnesses_of
from cherrylane.membership.roster import HostRecord, Roster, remove_host
from cherrylane.peer.identity import PeerIdentity
from cherrylane.peer.probe import ProbeAnswer, ProbeClient, SharedState
from cherrylane.platform.client import PlatformClient
from cherrylane.settings.schema import PeerSettings

log = Logger("cherrylane.membership")


class Prober:
    """Keeps this host's lease, and watches the hosts whose witness it is.

    ``read_knowledge`` gives what peers are told, ``learn`` takes what they tell, ``on_given_up``
    is called when most of the witnesses have given this run of the host up.
    """

    def __init__(
        self,
        identity: OwnIdentity,
        site: str,
        settings: PeerSettings,
        *,
        client: ProbeClient,
        platform: PlatformClient,
        lease: HomeLease,
        read_knowledge: Callable[[], SharedState],
        learn: Callable[[str, SharedState], None],
        on_given_up: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._site = site
        self._settings = settings
        self._client = client
        self._platform = platform
        self._lease = lease
        self._read_knowledge = read_knowledge
        self._learn = learn
        self._on_given_up = on_given_up
        self._liveness = Liveness(settings.suspect_after_s)
        self._roster = Roster()
        self._lock = Lock()
        self._stopping = Event()
        self._probing: dict[str, Event] = {}
        self._refusals: set[str] = set()
        self._watcher = Thread(target=self._watch_all, name="liveness", daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._watcher.start()

    def stop(self) -> None:
        """End every probing thread."""
        self._stopping.set()
        with self._lock:
            for stop in self._probing.values():
                stop.set()

    def update_roster(self, roster: Roster) -> None:
        """Follow the roster: probe this host's witnesses, watch the hosts it is witness of."""
        own = witnesses_of(self._identity.name, self._site, roster)
        watched = {
            host.holder
            for host in roster.hosts.values()
            if host.site == self._site and self._is_witness_of(host, roster)
        }
        self._lease.set_peers(host.name for host in own)
        self._liveness.watch(watched)
        wanted = {host.holder: host for host in own}
        with self._lock:
            self._roster = roster
            for holder in set(self._probing) - set(wanted):
                self._probing.pop(holder).set()
            for holder in set(wanted) - set(self._probing):
                self._start_probing(holder, wanted[holder])

    def handle_probe(self, peer: PeerIdentity, target: str, knowledge: SharedState) -> ProbeAnswer:
        """Answer a peer's probe, and its question about ``target`` if it asks one."""
        acknowledged = self._liveness.acknowledge(peer)
        self._learn(peer.name, knowledge)
        target_heard = bool(target) and not self._liveness.give_up_if_silent(target)
        return ProbeAnswer(
            identity=self._identity.current,
            acknowledged=acknowledged,
            target_heard=target_heard,
            shared_state=self._read_knowledge(),
        )

    def _is_witness_of(self, host: HostRecord, roster: Roster) -> bool:
        if host.name == self._identity.name:
            return False
        names = {witness.name for witness in witnesses_of(host.name, self._site, roster)}
        return self._identity.name in names

    def _start_probing(self, holder: str, host: HostRecord) -> None:
        stop = Event()
        self._probing[holder] = stop
        Thread(
            target=self._probe_one, args=(host, stop), name=f"probe-{host.name}", daemon=True
        ).start()

    def _probe_one(self, host: HostRecord, stop: Event) -> None:
        while not stop.is_set():
            sent_at = monotonic()
            answer = self._client.probe(
                str(host.peers),
                self._read_knowledge(),
                timeout_s=self._settings.probe_timeout_s,
            )
            if answer is not None and answer.identity.incarnation == host.incarnation:
                self._take_answer(host, answer, sent_at)
            stop.wait(self._settings.probe_interval_s)

    def _take_answer(self, host: HostRecord, answer: ProbeAnswer, sent_at: float) -> None:
        self._learn(host.name, answer.shared_state)
        if answer.acknowledged:
            self._lease.acknowledge(host.name, sent_at)
            return
        with self._lock:
            self._refusals.add(host.name)
            electorate = len(self._probing) + 1
            given_up = 2 * len(self._refusals) > electorate
            if given_up:
                self._refusals.clear()
        if given_up:
            log.warning("most witnesses have given this host up; joining the roster anew")
            self._on_given_up()

    def _watch_all(self) -> None:
        while not self._stopping.wait(self._settings.probe_interval_s):
            for holder in self._liveness.find_silent():
                host = self._find_host(holder)
                if host is not None:
                    self._confirm_and_remove(host, holder)

    def _confirm_and_remove(self, host: HostRecord, holder: str) -> None:
        if not self._liveness.give_up_if_silent(holder):
            return
        witnesses = witnesses_of(host.name, self._site, self._roster)
        votes = 1
        for witness in witnesses:
            if witness.name != self._identity.name and self._ask_about(witness, holder):
                votes += 1
        if 2 * votes <= len(witnesses) + 1:
            log.notice(f"host {host.name} is silent here, but others hear it; leaving it in place")
            return
        try:
            if remove_host(self._platform, host):
                log.warning(f"took silent host {host.name} out of the roster ({votes} agreed)")
        except PlatformError as error:
            log.warning(f"could not take silent host {host.name} out of the roster: {error}")

    def _ask_about(self, witness: HostRecord, holder: str) -> bool:
        answer = self._client.probe(
            str(witness.peers),
            self._read_knowledge(),
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
