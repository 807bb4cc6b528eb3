"""Learning from other hosts: their loads from heartbeats, newer knowledge by asking them."""

import asyncio
from collections.abc import Iterable
from json import dumps, loads
from typing import Any

from attrs import define, field
from logbook import Logger

from cherrylane.errors import UpstreamError
from cherrylane.gateway.calls import call
from cherrylane.gateway.knowledge import Knowledge
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import Heartbeat
from cherrylane.http.inbound import Responder
from cherrylane.http.messages import Request, Response
from cherrylane.placement.caches import CachedPart, CacheMap
from cherrylane.placement.loads import LoadBoard
from cherrylane.settings.schema import Endpoint

# Seconds for which a peer may be ahead before it is asked; the store usually tells sooner.
PATIENCE_S = 0.4
# Seconds that a peer's answer may take.
ASK_TIMEOUT_S = 1.0

KNOWLEDGE_PATH = b"/knowledge"
CACHED_PATH = b"/cached"

log = Logger("cherrylane.gossip")


@define
class PeerKnowledge:
    """Compares what others know with what this host knows, and asks where it is behind.

    ``knows_caches`` says whether this host knows what was cached where before its own start.
    """

    knowledge: Knowledge
    board: LoadBoard
    caches: CacheMap
    peers_port: int
    knows_caches: bool = False
    _behind_since: float | None = None
    _asking: asyncio.Task[None] | None = field(default=None, repr=False)

    def take_heartbeat(self, address: str, heartbeat: Heartbeat, is_new: bool) -> None:
        """Take in a peer's loads and caches, and ask it if it has been ahead for a while."""
        now = asyncio.get_running_loop().time()
        self.board.take_peer(address, dict(heartbeat.loads), now)
        self.take_cached(heartbeat.cached)
        if heartbeat.knows_caches and not self.knows_caches:
            self._begin_asking(address)
        if not self._is_ahead(heartbeat):
            return
        if self._behind_since is None:
            self._behind_since = now
        is_unconfigured = self.knowledge.snapshot.table is None
        if not is_unconfigured and now - self._behind_since < PATIENCE_S:
            return
        self._begin_asking(address)

    def note_snapshot(self) -> None:
        """Note that something was learnt, so that being behind is timed anew."""
        self._behind_since = None

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer another host that asks what is known here, or tells what is cached."""
        match request.head.method, request.head.target:
            case b"GET", target if target == KNOWLEDGE_PATH:
                headers = ((b"Content-Type", b"application/json"),)
                responder.send(Response(200, headers, self._encode_knowledge()))
            case b"POST", target if target == CACHED_PATH:
                responder.send(Response(self._take_told(request.body)))
            case _:
                responder.send(Response(404))

    def take_cached(self, cached: Iterable[CachedPart]) -> None:
        """Take in what is cached at engines that are known here."""
        for part in cached:
            memory_tokens = self.knowledge.snapshot.memory_of(part.upstream)
            if memory_tokens:
                self.caches.note_peer(part, memory_tokens)

    async def tell_cached(self, cached: Iterable[CachedPart], members: Members) -> None:
        """Tell all live hosts what is cached at an engine."""
        body = dumps([(one.upstream, one.key, one.tokens) for one in cached]).encode()
        now = asyncio.get_running_loop().time()
        addresses = [member.address for member in members.live(now)]
        await asyncio.gather(*(self._tell(address, body) for address in addresses))

    async def _tell(self, address: str, body: bytes) -> None:
        endpoint = Endpoint(address, self.peers_port)
        try:
            await call(endpoint, CACHED_PATH, body=body, timeout_s=ASK_TIMEOUT_S)
        except (UpstreamError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("peer not told", extra={"peer": address, "reason": reason})

    def _take_told(self, body: bytes) -> int:
        try:
            self.take_cached(_decode_cached(loads(body)))
        except (ValueError, TypeError) as error:
            log.warning("what a peer tells is not understood", extra={"reason": str(error)})
            return 400
        return 204

    def _encode_knowledge(self) -> bytes:
        body = {
            "config": self.knowledge.config_document,
            "upstreams_version": self.knowledge.snapshot.upstreams_version,
            "upstreams": self.knowledge.entries,
            "knows_caches": self.knows_caches,
            "cached": [(one.upstream, one.key, one.tokens) for one in self.caches.list_all()],
        }
        return dumps(body).encode()

    def _is_ahead(self, heartbeat: Heartbeat) -> bool:
        snapshot = self.knowledge.snapshot
        return (
            heartbeat.config_version > snapshot.config_version
            or heartbeat.upstreams_version > snapshot.upstreams_version
        )

    def _begin_asking(self, address: str) -> None:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.get_running_loop().create_task(self._ask(address))

    async def _ask(self, address: str) -> None:
        endpoint = Endpoint(address, self.peers_port)
        try:
            self._take(loads(await call(endpoint, KNOWLEDGE_PATH, timeout_s=ASK_TIMEOUT_S)))
        except (UpstreamError, TimeoutError, ValueError, KeyError, TypeError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("peer did not tell", extra={"peer": address, "reason": reason})

    def _take(self, told: dict[str, Any]) -> None:
        if told["config"] is not None:
            self.knowledge.take_config(told["config"], source="peer")
        self.knowledge.take_peer_entries(dict(told["upstreams"]), int(told["upstreams_version"]))
        self.take_cached(_decode_cached(told["cached"]))
        self.knows_caches = self.knows_caches or bool(told["knows_caches"])


def _decode_cached(wire: list[tuple[str, str, int]]) -> list[CachedPart]:
    return [CachedPart(str(upstream), str(key), int(tokens)) for upstream, key, tokens in wire]
