"""A host's way to a grant: it asks the home of a pool, which may be itself or a peer."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from threading import Condition, Lock
from time import monotonic

from attrs import evolve, frozen
from result import Err, Ok, Result

from cherrylane.idempotency.claims import ClaimAnswer, ClaimAsk, ClaimOutcome
from cherrylane.limits.homes import LocalHomes
from cherrylane.limits.work import HOME_MOVED, UNREPORTED, Ask, Busy, Grant, GrantOutcome
from cherrylane.membership.identity import OwnIdentity
from cherrylane.membership.roster import HostRecord
from cherrylane.peer.link import HomeLink
from cherrylane.peer.messages import HomeReply
from cherrylane.routing.homes import PoolKey, find_home
from cherrylane.routing.view import EMPTY_VIEW, FleetView
from cherrylane.settings.schema import PeerSettings
from cherrylane.telemetry.traffic import TrafficCounter

RETRY_HOME_S = 0.05
ANSWER_SLACK_S = 0.5
RETRY_AFTER_S = 1.0
CLAIMS_SERVICE = "claims"
UNREACHABLE = "home_unreachable"


@frozen
class _Pending:
    home: str
    answer: "Future[HomeReply]"


class AdmissionDesk:
    """Gets grants from homes and gives them back.

    It knows every grant that this host holds, and tells a new home about them when homes move.
    """

    def __init__(
        self,
        identity: OwnIdentity,
        settings: PeerSettings,
        homes: LocalHomes,
        traffic: TrafficCounter,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._homes = homes
        self._traffic = traffic
        self._lock = Lock()
        self._view = EMPTY_VIEW
        self._view_changed = Condition(self._lock)
        self._pending: dict[str, _Pending] = {}
        self._grants: dict[str, Grant] = {}
        self._links: dict[str, HomeLink] = {}

    def update_view(self, view: FleetView) -> None:
        """Follow homes that have moved, and tell the new ones what this host holds."""
        with self._lock:
            before = {pool: home.holder for pool, home in self._view.homes.items()}
            self._view = view
            after = view.homes
            stale = self._drop_dead_links(view)
            moved = [pool for pool, home in after.items() if before.get(pool) != home.holder]
            self._view_changed.notify_all()
        for link in stale:
            link.close()
        self._homes.update_view(view)
        for pool in moved:
            self._report(pool, after[pool])

    def admit(self, ask: Ask) -> Result[Grant, Busy]:
        """Ask for a grant until it comes, the home refuses, or ``ask.wait_s`` has passed."""
        deadline = monotonic() + ask.wait_s
        while (left := deadline - monotonic()) > 0:
            home = self._home_of(ask.pool)
            if home is None:
                self._wait_for_view(left)
                continue
            reply = self._ask_home(home, evolve(ask, holder=self._identity.holder, wait_s=left))
            match reply:
                case Grant():
                    if self._keep(reply, home):
                        return Ok(reply)
                case Busy(code=code) if code in (HOME_MOVED, UNREACHABLE):
                    self._wait_for_view(min(left, RETRY_HOME_S))
                case Busy():
                    return Err(reply)
        message = "the home of the service's engines could not be reached in time"
        return Err(Busy(ask.id, UNREACHABLE, message, RETRY_AFTER_S))

    def release(self, grant: Grant, outcome: GrantOutcome = UNREPORTED) -> None:
        """Give ``grant`` back to whoever is home now, with what came of it."""
        with self._lock:
            if self._grants.pop(grant.id, None) is None:
                return
            home = self._view.homes.get(grant.pool)
        self._send_release(grant, home, outcome)

    def claim(self, ask: ClaimAsk, wait_s: float) -> ClaimOutcome:
        """Ask the home of the claim's shard; unavailable when no answer came in ``wait_s``."""
        deadline = monotonic() + wait_s
        while (left := deadline - monotonic()) > 0:
            home = self._claim_home_of(ask)
            if home is None:
                self._wait_for_view(left)
                continue
            reply = self._exchange(home, ask, left)
            if isinstance(reply, ClaimAnswer) and reply.outcome is not ClaimOutcome.UNAVAILABLE:
                return reply.outcome
            self._wait_for_view(min(left, RETRY_HOME_S))
        return ClaimOutcome.UNAVAILABLE

    def handle_reply(self, reply: HomeReply) -> None:
        """Take a home's answer; a grant that nobody waits for any more is given back."""
        with self._lock:
            pending = self._pending.pop(reply.id, None)
        if pending is not None:
            pending.answer.set_result(reply)
        elif isinstance(reply, Grant):
            self._send_release(reply, self._home_of(reply.pool))

    def held(self) -> int:
        """Return how many grants this host holds."""
        with self._lock:
            return len(self._grants)

    def renew_links(self) -> None:
        """Talk to every home anew, under this host's new run."""
        self.stop()

    def stop(self) -> None:
        """Close every link."""
        with self._lock:
            links, self._links = list(self._links.values()), {}
        for link in links:
            link.close()

    def _ask_home(self, home: HostRecord, ask: Ask) -> HomeReply:
        return self._exchange(home, ask, ask.wait_s + ANSWER_SLACK_S)

    def _exchange(self, home: HostRecord, ask: Ask | ClaimAsk, wait_s: float) -> HomeReply:
        """Bring an ask to ``home``, which may be this host, and wait for its answer."""
        answer: Future[HomeReply] = Future()
        with self._lock:
            self._pending[ask.id] = _Pending(home.holder, answer)
        is_own = home.holder == self._identity.holder
        match ask:
            case Ask() if is_own:
                self._homes.handle_ask(ask, self.handle_reply)
            case ClaimAsk() if is_own:
                self._homes.handle_claim(ask, self.handle_reply)
            case Ask():
                self._link_to(home).ask(ask)
            case ClaimAsk():
                self._link_to(home).claim(ask)
        try:
            return answer.result(timeout=wait_s)
        except FutureTimeoutError:
            return self._give_up(ask.id, answer)

    def _give_up(self, ask_id: str, answer: "Future[HomeReply]") -> HomeReply:
        with self._lock:
            withdrawn = self._pending.pop(ask_id, None)
        if withdrawn is None:
            return answer.result()
        return Busy(ask_id, UNREACHABLE, "the home did not answer", RETRY_AFTER_S)

    def _claim_home_of(self, ask: ClaimAsk) -> HostRecord | None:
        with self._lock:
            roster = self._view.roster
        return find_home(PoolKey(CLAIMS_SERVICE, ask.claim.shard), ask.site, roster)

    def _keep(self, grant: Grant, home: HostRecord) -> bool:
        """Hold ``grant``, unless its home has moved: the new one was told that it isn't held."""
        with self._lock:
            current = self._view.homes.get(grant.pool)
            if current is not None and current.holder == home.holder:
                self._grants[grant.id] = grant
                return True
        self._send_release(grant, home)
        return False

    def _send_release(
        self, grant: Grant, home: HostRecord | None, outcome: GrantOutcome = UNREPORTED
    ) -> None:
        if home is None:
            return
        if home.holder == self._identity.holder:
            self._homes.handle_release(grant.pool, grant.id, outcome)
        else:
            self._link_to(home).release(grant, outcome)

    def _report(self, pool: PoolKey, home: HostRecord) -> None:
        with self._lock:
            held = [grant for grant in self._grants.values() if grant.pool == pool]
        if home.holder == self._identity.holder:
            self._homes.handle_holdings(pool, self._identity.holder, held)
        else:
            self._link_to(home).report_holdings(pool, held)

    def _home_of(self, pool: PoolKey) -> HostRecord | None:
        with self._lock:
            return self._view.homes.get(pool)

    def _wait_for_view(self, seconds: float) -> None:
        with self._lock:
            self._view_changed.wait(seconds)

    def _link_to(self, home: HostRecord) -> HomeLink:
        holder = home.holder
        with self._lock:
            link = self._links.get(holder)
            if link is None:
                link = HomeLink(
                    str(home.peers),
                    self._identity.current,
                    self._settings.shared_key,
                    list_holdings=lambda: self._holdings_for(holder),
                    on_reply=self.handle_reply,
                    on_down=lambda: self._fail_pending(holder),
                    traffic=self._traffic,
                )
                self._links[holder] = link
            return link

    def _holdings_for(self, holder: str) -> dict[PoolKey, list[Grant]]:
        with self._lock:
            pools = [pool for pool, home in self._view.homes.items() if home.holder == holder]
            holdings: dict[PoolKey, list[Grant]] = {pool: [] for pool in pools}
            for grant in self._grants.values():
                if grant.pool in holdings:
                    holdings[grant.pool].append(grant)
        return holdings

    def _fail_pending(self, holder: str) -> None:
        with self._lock:
            failed = {ask: item for ask, item in self._pending.items() if item.home == holder}
            for ask in failed:
                del self._pending[ask]
        for ask, item in failed.items():
            item.answer.set_result(Busy(ask, UNREACHABLE, "the link to the home broke", 0.0))

    def _drop_dead_links(self, view: FleetView) -> list[HomeLink]:
        alive = {host.holder for host in view.roster.hosts.values()}
        return [self._links.pop(holder) for holder in list(self._links) if holder not in alive]
