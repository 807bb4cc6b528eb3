"""Client side of admission: requests grants from the home of a pool.

The home is the host that admits requests to the engines of a pool. It may be this host, which is
called directly, or a peer, which is called over a gRPC link.
"""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from threading import Condition, Lock
from time import monotonic

from attrs import evolve, frozen
from result import Err, Ok, Result

from cherrylane.idempotency.claims import ClaimAnswer, ClaimOutcome, ClaimRequest
from cherrylane.limits.homes import LocalHomes
from cherrylane.limits.work import (
    HOME_MOVED,
    UNREPORTED,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
)
from cherrylane.membership.identity import LocalIdentity
from cherrylane.membership.roster import HostRecord
from cherrylane.peer.link import HomeLink
from cherrylane.peer.messages import HomeReply
from cherrylane.routing.homes import PoolKey, find_home
from cherrylane.routing.view import EMPTY_VIEW, FleetView
from cherrylane.settings.schema import PeerSettings
from cherrylane.telemetry.traffic import TrafficCounter

HOME_RETRY_INTERVAL_S = 0.05
REPLY_GRACE_S = 0.5
RETRY_AFTER_S = 1.0
CLAIMS_SERVICE = "claims"
UNREACHABLE = "home_unreachable"


@frozen
class _Pending:
    home: str
    reply_future: "Future[HomeReply]"


class AdmissionClient:
    """Requests grants from homes and releases them.

    Tracks every grant that this host holds, and reports them to the new home when the home of a
    pool changes.
    """

    def __init__(
        self,
        identity: LocalIdentity,
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
        """Apply a new view, and report the grants that this host holds to each new home."""
        with self._lock:
            before = {pool: home.holder for pool, home in self._view.homes.items()}
            self._view = view
            after = view.homes
            stale = self._remove_stale_links(view)
            moved = [pool for pool, home in after.items() if before.get(pool) != home.holder]
            self._view_changed.notify_all()
        for link in stale:
            link.close()
        self._homes.update_view(view)
        for pool in moved:
            self._report_holdings(pool, after[pool])

    def admit(self, request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
        """Request a grant, and try again until ``request.wait_s`` has passed.

        Retries only when the home has moved or is unreachable; any other refusal is returned.
        """
        deadline = monotonic() + request.wait_s
        while (left := deadline - monotonic()) > 0:
            home = self._find_home(request.pool)
            if home is None:
                self._wait_for_view_change(left)
                continue
            reply = self._request_from_home(
                home, evolve(request, holder=self._identity.holder, wait_s=left)
            )
            match reply:
                case Grant():
                    if self._record_grant(reply, home):
                        return Ok(reply)
                case AdmissionRefusal(code=code) if code in (HOME_MOVED, UNREACHABLE):
                    self._wait_for_view_change(min(left, HOME_RETRY_INTERVAL_S))
                case AdmissionRefusal():
                    return Err(reply)
        message = (
            f"no host that admits requests to service {request.pool.service} "
            f"was reachable within {request.wait_s:g} s"
        )
        return Err(AdmissionRefusal(request.id, UNREACHABLE, message, RETRY_AFTER_S))

    def release(self, grant: Grant, outcome: GrantOutcome = UNREPORTED) -> None:
        """Release ``grant`` at the current home of its pool, and report its outcome.

        Does nothing if the grant was released before.
        """
        with self._lock:
            if self._grants.pop(grant.id, None) is None:
                return
            home = self._view.homes.get(grant.pool)
        self._send_release(grant, home, outcome)

    def claim(self, request: ClaimRequest, wait_s: float) -> ClaimOutcome:
        """Send a claim to the home of its shard.

        Returns ``UNAVAILABLE`` when no home decided the claim within ``wait_s`` seconds.
        """
        deadline = monotonic() + wait_s
        while (left := deadline - monotonic()) > 0:
            home = self._find_claim_home(request)
            if home is None:
                self._wait_for_view_change(left)
                continue
            reply = self._exchange(home, request, left)
            if isinstance(reply, ClaimAnswer) and reply.outcome is not ClaimOutcome.UNAVAILABLE:
                return reply.outcome
            self._wait_for_view_change(min(left, HOME_RETRY_INTERVAL_S))
        return ClaimOutcome.UNAVAILABLE

    def handle_reply(self, reply: HomeReply) -> None:
        """Complete the pending request with a home's reply; release a grant that came too late."""
        with self._lock:
            pending = self._pending.pop(reply.id, None)
        if pending is not None:
            pending.reply_future.set_result(reply)
        elif isinstance(reply, Grant):
            self._send_release(reply, self._find_home(reply.pool))

    def count_held_grants(self) -> int:
        """Return the number of grants that this host holds."""
        with self._lock:
            return len(self._grants)

    def reset_links(self) -> None:
        """Close every link, so that new ones are opened with this host's new incarnation."""
        self.stop()

    def stop(self) -> None:
        """Close every link."""
        with self._lock:
            links, self._links = list(self._links.values()), {}
        for link in links:
            link.close()

    def _request_from_home(self, home: HostRecord, request: AdmissionRequest) -> HomeReply:
        return self._exchange(home, request, request.wait_s + REPLY_GRACE_S)

    def _exchange(
        self, home: HostRecord, request: AdmissionRequest | ClaimRequest, wait_s: float
    ) -> HomeReply:
        """Send a request to ``home``, which may be this host, and wait for its reply."""
        reply_future: Future[HomeReply] = Future()
        with self._lock:
            self._pending[request.id] = _Pending(home.holder, reply_future)
        is_own = home.holder == self._identity.holder
        match request:
            case AdmissionRequest() if is_own:
                self._homes.handle_admission_request(request, self.handle_reply)
            case ClaimRequest() if is_own:
                self._homes.handle_claim(request, self.handle_reply)
            case AdmissionRequest():
                self._get_link(home).request_admission(request)
            case ClaimRequest():
                self._get_link(home).claim(request)
        try:
            return reply_future.result(timeout=wait_s)
        except FutureTimeoutError:
            return self._abandon_request(request.id, reply_future)

    def _abandon_request(self, request_id: str, reply_future: "Future[HomeReply]") -> HomeReply:
        with self._lock:
            pending = self._pending.pop(request_id, None)
        if pending is None:
            return reply_future.result()
        return AdmissionRefusal(
            request_id, UNREACHABLE, f"no reply to {request_id} in time", RETRY_AFTER_S
        )

    def _find_claim_home(self, request: ClaimRequest) -> HostRecord | None:
        with self._lock:
            roster = self._view.roster
        return find_home(PoolKey(CLAIMS_SERVICE, request.claim.shard), request.site, roster)

    def _record_grant(self, grant: Grant, home: HostRecord) -> bool:
        """Record ``grant`` as held and return True, unless the home of its pool has changed.

        The holdings reported to the new home did not include the grant, so it is released instead.
        """
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
            self._get_link(home).release(grant, outcome)

    def _report_holdings(self, pool: PoolKey, home: HostRecord) -> None:
        with self._lock:
            held = [grant for grant in self._grants.values() if grant.pool == pool]
        if home.holder == self._identity.holder:
            self._homes.handle_holdings(pool, self._identity.holder, held)
        else:
            self._get_link(home).report_holdings(pool, held)

    def _find_home(self, pool: PoolKey) -> HostRecord | None:
        with self._lock:
            return self._view.homes.get(pool)

    def _wait_for_view_change(self, seconds: float) -> None:
        with self._lock:
            self._view_changed.wait(seconds)

    def _get_link(self, home: HostRecord) -> HomeLink:
        holder = home.holder
        with self._lock:
            link = self._links.get(holder)
            if link is None:
                link = HomeLink(
                    str(home.peers),
                    self._identity.current,
                    self._settings.shared_key,
                    list_holdings=lambda: self._list_holdings(holder),
                    on_reply=self.handle_reply,
                    on_down=lambda: self._fail_pending_requests(holder),
                    traffic=self._traffic,
                )
                self._links[holder] = link
            return link

    def _list_holdings(self, holder: str) -> dict[PoolKey, list[Grant]]:
        with self._lock:
            pools = [pool for pool, home in self._view.homes.items() if home.holder == holder]
            holdings: dict[PoolKey, list[Grant]] = {pool: [] for pool in pools}
            for grant in self._grants.values():
                if grant.pool in holdings:
                    holdings[grant.pool].append(grant)
        return holdings

    def _fail_pending_requests(self, holder: str) -> None:
        with self._lock:
            failed = {
                request_id: item
                for request_id, item in self._pending.items()
                if item.home == holder
            }
            for request_id in failed:
                del self._pending[request_id]
        for request_id, item in failed.items():
            item.reply_future.set_result(
                AdmissionRefusal(request_id, UNREACHABLE, f"the link to {holder} failed", 0.0)
            )

    def _remove_stale_links(self, view: FleetView) -> list[HomeLink]:
        alive = {host.holder for host in view.roster.hosts.values()}
        return [self._links.pop(holder) for holder in list(self._links) if holder not in alive]
