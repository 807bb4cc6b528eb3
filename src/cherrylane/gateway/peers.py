"""Learning from other hosts: their loads from heartbeats, newer knowledge by asking them."""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from json import dumps, loads
from typing import Any

from attrs import define, field
from logbook import Logger

from cherrylane.errors import UpstreamError
from cherrylane.gateway.calls import call
from cherrylane.gateway.knowledge import Knowledge
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import Heartbeat
from cherrylane.http.messages import Request, Response
from cherrylane.http.responder import Responder
from cherrylane.placement.caches import CachedPart, CacheMap
from cherrylane.placement.loads import LoadBoard
from cherrylane.settings.schema import Endpoint

# Seconds for which a peer may be ahead before it is asked; the store usually tells sooner.
PATIENCE_S = 0.4
# Seconds that a peer's answer may take.
ASK_TIMEOUT_S = 1.0

CONFIG_PATH = b"/config"
UPSTREAMS_PATH = b"/upstreams"
CACHED_PATH = b"/cached"

log = Logger("cherrylane.gossip")


@define
class PeerKnowledge:
    """Compares what others know with what this host knows, and asks where it is behind.

    A host that follows the store waits a little before it asks, since the store tells it as well.
    ``told_engines`` are those whose whole list of cached parts another host has told.
    ``knows_caches`` says whether this host knows what was cached where before its own start.
    """

    knowledge: Knowledge
    board: LoadBoard
    caches: CacheMap
    peers_port: int
    knows_caches: bool = False
    is_following: Callable[[], bool] = lambda: True
    told_engines: set[str] = field(factory=set)
    _behind_since: float | None = None
    _asking: asyncio.Task[None] | None = field(default=None, repr=False)

    def take_heartbeat(self, address: str, heartbeat: Heartbeat, is_new: bool) -> None:
        """Take in a peer's loads and caches, and ask it if it has been ahead for a while."""
        now = asyncio.get_running_loop().time()
        self.board.take_peer(address, dict(heartbeat.loads), now)
        self.take_cached(heartbeat.cached)
        wanted = self._find_ahead(heartbeat)
        if wanted and self._behind_since is None:
            self._behind_since = now
        if wanted and self._may_hear_from_store(now):
            wanted = []
        if heartbeat.knows_caches and not self.knows_caches:
            wanted.append(CACHED_PATH)
        if wanted and (self._asking is None or self._asking.done()):
            work = self._ask(Endpoint(address, self.peers_port), wanted)
            self._asking = asyncio.get_running_loop().create_task(work)

    def note_snapshot(self) -> None:
        """Note that something was learnt, so that being behind is timed anew."""
        self._behind_since = None

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer another host that asks what is known here, or tells what is cached."""
        target = request.head.target
        if request.head.method == b"POST" and target == CACHED_PATH:
            responder.send(Response(self._take_told(request.body)))
            return
        body = self._encode(target)
        if body is None:
            responder.send(Response(404))
            return
        headers = ((b"Content-Type", b"application/octet-stream"),)
        responder.send(Response(200, headers, zlib.compress(dumps(body).encode())))

    def take_cached(self, cached: Iterable[CachedPart]) -> None:
        """Take in what is cached at engines that are known here."""
        for part in cached:
            memory_tokens = self.knowledge.snapshot.get_kv_cache_tokens(part.upstream)
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
            told = _decode_cached(loads(body))
            self.told_engines.update(part.upstream for part in told)
            self.take_cached(told)
        except (ValueError, TypeError) as error:
            log.warning("what a peer tells is not understood", extra={"reason": str(error)})
            return 400
        return 204

    def _encode(self, target: bytes) -> Any:
        if target == CONFIG_PATH:
            return self.knowledge.config_document
        if target == UPSTREAMS_PATH:
            return {
                "version": self.knowledge.snapshot.upstreams_version,
                "entries": self.knowledge.entries,
            }
        if target == CACHED_PATH:
            return [(one.upstream, one.key, one.tokens) for one in self.caches.list_all()]
        return None

    def _may_hear_from_store(self, now: float) -> bool:
        if self.knowledge.snapshot.table is None or not self.is_following():
            return False
        return self._behind_since is not None and now - self._behind_since < PATIENCE_S

    def _find_ahead(self, heartbeat: Heartbeat) -> list[bytes]:
        snapshot = self.knowledge.snapshot
        ahead = []
        if heartbeat.config_version > snapshot.config_version:
            ahead.append(CONFIG_PATH)
        if heartbeat.upstreams_version > snapshot.upstreams_version:
            ahead.append(UPSTREAMS_PATH)
        return ahead

    async def _ask(self, endpoint: Endpoint, targets: list[bytes]) -> None:
        try:
            for target in targets:
                body = await call(endpoint, target, timeout_s=ASK_TIMEOUT_S)
                self._take(target, loads(zlib.decompress(body)))
        except (UpstreamError, TimeoutError, ValueError, KeyError, TypeError, zlib.error) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("peer did not tell", extra={"peer": str(endpoint), "reason": reason})

    def _take(self, target: bytes, told: Any) -> None:
        if target == CONFIG_PATH:
            self.knowledge.take_config(told, source="peer")
        elif target == UPSTREAMS_PATH:
            self.knowledge.take_peer_entries(dict(told["entries"]), int(told["version"]))
        else:
            self.take_cached(_decode_cached(told))
            self.knows_caches = True


def _decode_cached(wire: list[tuple[str, str, int]]) -> list[CachedPart]:
    return [CachedPart(str(upstream), str(key), int(tokens)) for upstream, key, tokens in wire]
