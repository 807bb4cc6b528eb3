"""Learning from other hosts: their loads from heartbeats, newer knowledge by asking them."""

import asyncio
from json import dumps, loads
from typing import Any

from attrs import define, field
from logbook import Logger

from cherrylane.errors import UpstreamError
from cherrylane.gateway.knowledge import Knowledge
from cherrylane.gossip.messages import Heartbeat
from cherrylane.http.inbound import Responder
from cherrylane.http.messages import Request, Response, encode_request
from cherrylane.http.outbound import open_connection
from cherrylane.placement.caches import CachedPart, CacheMap
from cherrylane.placement.loads import LoadBoard
from cherrylane.settings.schema import Endpoint

# Seconds for which a peer may be ahead before it is asked; the store usually tells sooner.
PATIENCE_S = 0.4
# Seconds that a peer's answer may take.
ASK_TIMEOUT_S = 1.0

KNOWLEDGE_PATH = b"/knowledge"

log = Logger("cherrylane.gossip")


@define
class PeerKnowledge:
    """Compares what others know with what this host knows, and asks where it is behind."""

    knowledge: Knowledge
    board: LoadBoard
    caches: CacheMap
    peers_port: int
    _behind_since: float | None = None
    _is_empty: bool = True
    _asking: asyncio.Task[None] | None = field(default=None, repr=False)

    def take_heartbeat(self, address: str, heartbeat: Heartbeat, is_new: bool) -> None:
        """Take in a peer's loads, and ask it if it has been ahead for a while."""
        now = asyncio.get_running_loop().time()
        self.board.take_peer(address, dict(heartbeat.loads), now)
        for cached in heartbeat.cached:
            self._take_cached(cached)
        if self._is_empty and heartbeat.config_version:
            # A host that has just started asks once for what is cached where.
            self._is_empty = False
            self._begin_asking(address)
        if not self._is_ahead(heartbeat):
            return
        if self._behind_since is None:
            self._behind_since = now
        is_unconfigured = self.knowledge.snapshot.table is None
        if not is_unconfigured and now - self._behind_since < PATIENCE_S:
            return
        self._begin_asking(address)

    def _begin_asking(self, address: str) -> None:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.get_running_loop().create_task(self._ask(address))

    def note_snapshot(self) -> None:
        """Note that something was learnt, so that being behind is timed anew."""
        self._behind_since = None

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer another host that asks what is known here."""
        if request.head.target != KNOWLEDGE_PATH:
            responder.send(Response(404))
            return
        body = {
            "config": self.knowledge.config_document,
            "upstreams_version": self.knowledge.snapshot.upstreams_version,
            "upstreams": self.knowledge.entries,
            "cached": [(one.upstream, one.key, one.tokens) for one in self.caches.list_all()],
        }
        responder.send(
            Response(200, ((b"Content-Type", b"application/json"),), dumps(body).encode())
        )

    def _is_ahead(self, heartbeat: Heartbeat) -> bool:
        snapshot = self.knowledge.snapshot
        return (
            heartbeat.config_version > snapshot.config_version
            or heartbeat.upstreams_version > snapshot.upstreams_version
        )

    async def _ask(self, address: str) -> None:
        endpoint = Endpoint(address, self.peers_port)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                body = await _fetch(endpoint)
            self._take(loads(body))
        except (UpstreamError, TimeoutError, ValueError, KeyError, TypeError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("peer did not tell", extra={"peer": address, "reason": reason})

    def _take(self, told: dict[str, Any]) -> None:
        if told["config"] is not None:
            self.knowledge.take_config(told["config"], source="peer")
        self.knowledge.take_peer_entries(dict(told["upstreams"]), int(told["upstreams_version"]))
        for upstream, key, tokens in told["cached"]:
            self._take_cached(CachedPart(str(upstream), str(key), int(tokens)))

    def _take_cached(self, cached: CachedPart) -> None:
        memory_tokens = self.knowledge.snapshot.memory_of(cached.upstream)
        if memory_tokens:
            self.caches.note_peer(cached, memory_tokens)


async def _fetch(endpoint: Endpoint) -> bytes:
    connection = await open_connection(endpoint, ASK_TIMEOUT_S)
    try:
        host = (b"Host", str(endpoint).encode())
        connection.send(encode_request(b"GET", KNOWLEDGE_PATH, [host], b"", has_body=False))
        await connection.read_head()
        return await connection.read_body()
    finally:
        connection.close()
