"""Asks the store, or peers, whether this host knows all software versions that are in use.

A stream of unknown origin goes on where only one version can have begun it. This host may have been
cut off, or have stood still, when another version came into use, so it asks before each such
decision; streams that are taken up at the same time share a question. The store tells the changes
of the upstreams since the list that this host has. If it does not answer, peers do, which ask the
store themselves.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from json import dumps, loads
from typing import Any

from attrs import define, field
from logbook import Logger

from cherrylane.errors import (
    DECODING_ERRORS,
    PlatformError,
    SettingsError,
    UpstreamError,
    WatchExpiredError,
)
from cherrylane.fields import read_count, read_name
from cherrylane.gateway.calls import call
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gateway.shared_question import SharedQuestion
from cherrylane.gateway.version_registry import VersionRegistry
from cherrylane.gossip.members import SMALL_FLEET_HOSTS, Member, Members
from cherrylane.gossip.messages import UNCONFIRMED_MS
from cherrylane.http.messages import Response
from cherrylane.http.responder import Responder
from cherrylane.membership.confirmation import PeerPoll, PeerStatement
from cherrylane.membership.software_versions import SoftwareVersions
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.upstreams import decode_upstream
from cherrylane.platform.versions import NO_VERSION, StoreVersion
from cherrylane.settings.schema import Endpoint

VERSIONS_PATH = b"/versions"
# Seconds in which the store alone is asked; it usually responds within milliseconds.
STORE_HEAD_START_S = 0.08
# Seconds after that in which the store or a peer may confirm.
CONFIRM_TIMEOUT_S = 0.5
# Time limit of a question to a peer, in seconds, and of the peer's own wait for the store.
PEER_TIMEOUT_S = 0.3
PEER_STORE_WAIT_S = 0.2
# Seconds without a response after which the store counts as lost.
STORE_TIMEOUT_S = 1.0
# Seconds after a question without an answer in which no other one is put.
RETRY_UNCONFIRMED_S = 0.5
# Seconds that the store waits for a change: it is to tell those that there are already.
WATCH_WAIT_S = 0.001

log = Logger("cherrylane.versions")


@define
class VersionConfirmation:
    """Brings the software versions that a host knows up to date, and says whether they are."""

    client: AsyncPlatformClient
    members: Members
    routing_state: RoutingState
    registry: VersionRegistry
    versions: SoftwareVersions
    peers_port: int
    has_lost_store: bool = False
    _unconfirmed_until: float = float("-inf")
    _question: SharedQuestion = field(init=False)
    _store_question: SharedQuestion = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._question = SharedQuestion(self._ask)
        self._store_question = SharedQuestion(self._ask_store)

    async def confirm(self) -> bool:
        """Return whether all versions that are in use now are known.

        It takes ``STORE_HEAD_START_S + CONFIRM_TIMEOUT_S`` at most, twice that if another question
        was open. After a question without an answer, it is False at once for
        ``RETRY_UNCONFIRMED_S``.
        """
        if asyncio.get_running_loop().time() < self._unconfirmed_until:
            return False
        return await self._question.ask()

    async def handle_request(self, responder: Responder) -> None:
        """Answer a peer's question."""
        store = asyncio.ensure_future(self._store_question.ask())
        async with _cancelling(store):
            await asyncio.wait([store], timeout=PEER_STORE_WAIT_S)
            is_confirmed = _is_true(store)
        now = asyncio.get_running_loop().time()
        statement = {
            "confirmed": is_confirmed,
            "complete": self.versions.knows_all,
            "lost": self.has_lost_store,
            "versions": [
                (service, software, round(age_s * 1000))
                for service, ages in self.versions.list_recent(now).items()
                for software, age_s in ages.items()
            ],
        }
        headers = ((b"Content-Type", b"application/json"),)
        responder.send(Response(200, headers, dumps(statement).encode()))

    async def _ask(self) -> bool:
        store = asyncio.ensure_future(self._store_question.ask())
        async with _cancelling(store):
            await asyncio.wait([store], timeout=STORE_HEAD_START_S)
            if _is_true(store):
                return True
            poll = await self._poll_peers(store)
            is_confirmed = _is_true(store) or poll.is_confirmed or self._is_all_known(poll)
        log.info(
            "software versions not confirmed by the store in time",
            extra={
                "confirmed": is_confirmed,
                "by_peer": poll.is_confirmed,
                "store_lost": self.has_lost_store,
                "asked": poll.asked,
                "live": poll.live,
                "hosts": poll.members + 1,
            },
        )
        if not is_confirmed:
            self._unconfirmed_until = asyncio.get_running_loop().time() + RETRY_UNCONFIRMED_S
        return is_confirmed

    async def _ask_store(self) -> bool:
        """Take over the versions of upstreams that have changed since the list of this host."""
        version = self.routing_state.snapshot.upstreams_version
        if version == NO_VERSION:
            return False
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                self._record_upstreams(await self._read_changes(version))
                is_complete = not self.registry.has_gap or await self.registry.fill_gap()
        except (PlatformError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.info("store does not confirm the software versions", extra={"reason": reason})
            self.has_lost_store = True
            return False
        self.has_lost_store = False
        return is_complete

    async def _read_changes(self, version: StoreVersion) -> list[PlatformObject]:
        try:
            changes = await self.client.watch(Kind.UPSTREAMS, version, wait_s=WATCH_WAIT_S)
        except WatchExpiredError:
            # Versions may have come into use and gone since.
            self.registry.record_gap()
            return (await self.client.list(Kind.UPSTREAMS)).objects
        return [event.object for event in changes.events]

    def _record_upstreams(self, changed: list[PlatformObject]) -> None:
        now = asyncio.get_running_loop().time()
        for item in changed:
            try:
                upstream = decode_upstream(item.name, item.spec)
            except SettingsError:
                continue  # It names no upstream; the watcher logs it.
            self.versions.record_in_use(upstream.service, [upstream.software], now)

    async def _poll_peers(self, store: "asyncio.Future[bool]") -> PeerPoll:
        """Ask live peers until one of them, or the store, confirms the versions."""
        loop = asyncio.get_running_loop()
        live = sorted(self.members.live(loop.time()), key=_get_confirmation_age)
        asked = live[:SMALL_FLEET_HOSTS]
        poll = PeerPoll(len(asked), len(live), len(self.members))
        until = loop.time() + CONFIRM_TIMEOUT_S
        peers = {loop.create_task(self._ask_peer(member.address, poll)) for member in asked}
        async with _cancelling(*peers):
            pending: set[asyncio.Future[Any]] = {*peers, store}
            while pending and loop.time() < until:
                _, pending = await asyncio.wait(
                    pending, timeout=until - loop.time(), return_when=asyncio.FIRST_COMPLETED
                )
                if _is_true(store) or poll.is_confirmed:
                    break
                if pending <= {store} and self._is_all_known(poll):
                    break
        return poll

    def _is_all_known(self, poll: PeerPoll) -> bool:
        """Return whether no host can know of more versions, though the store has not answered."""
        return poll.is_unanimous or (self.has_lost_store and poll.shows_outage)

    async def _ask_peer(self, address: str, poll: PeerPoll) -> None:
        endpoint = Endpoint(address, self.peers_port)
        try:
            body = await call(endpoint, VERSIONS_PATH, timeout_s=PEER_TIMEOUT_S)
            poll.record(self._read_statement(loads(body)))
        except (UpstreamError, TimeoutError, *DECODING_ERRORS) as error:
            reason = f"{type(error).__name__}: {error}"
            log.info(
                "peer does not tell its software versions",
                extra={"peer": address, "reason": reason},
            )

    def _read_statement(self, document: Any) -> PeerStatement:
        now = asyncio.get_running_loop().time()
        for service, software, age_ms in document["versions"]:
            used_at = now - read_count(age_ms) / 1000
            self.versions.record_in_use(read_name(service), [read_name(software)], used_at)
        return PeerStatement(
            is_confirmed=document["confirmed"] is True,
            is_complete=document["complete"] is True,
            has_lost_store=document["lost"] is True,
        )


@asynccontextmanager
async def _cancelling(*tasks: "asyncio.Future[Any]") -> AsyncIterator[None]:
    """Cancel tasks at the end that are still running."""
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def _is_true(answer: "asyncio.Future[bool]") -> bool:
    return answer.done() and not answer.cancelled() and answer.result()


def _get_confirmation_age(member: Member) -> int:
    heartbeat = member.heartbeat
    return UNCONFIRMED_MS if heartbeat is None else heartbeat.confirmation_age_ms
