"""Synchronization with other hosts: loads and caches by heartbeat, newer state by HTTP."""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from json import dumps
from typing import Any, TypeVar

from attrs import define, field
from logbook import Logger

from cherrylane.errors import DECODING_ERRORS, UpstreamError
from cherrylane.fields import read_count, read_name
from cherrylane.gateway.calls import call
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import Heartbeat
from cherrylane.http.messages import Request, Response
from cherrylane.http.responder import Responder
from cherrylane.placement.caches import CachedPart, CacheMap
from cherrylane.placement.loads import LoadTracker
from cherrylane.platform.partial import load_partly
from cherrylane.platform.versions import StoreVersion
from cherrylane.relay.stream_origins import StreamOrigin, StreamOrigins
from cherrylane.settings.schema import Endpoint

# Seconds that a follower waits before it fetches newer state from a peer; the store usually sends
# the change sooner.
PEER_FETCH_DELAY_S = 0.4
# Time limit of one call to a peer, in seconds.
PEER_CALL_TIMEOUT_S = 1.0
# Largest state that is taken from a peer, decompressed, in bytes.
MAX_STATE_BYTES = 64 * 1024 * 1024

# Levels down to which a peer's state is taken apart if it cannot be read as a whole: to the entries
# of upstreams, and to the items of a list.
STATE_LEVELS = 2
ITEM_LEVELS = 1

CONFIG_PATH = b"/config"
UPSTREAMS_PATH = b"/upstreams"
CACHED_PATH = b"/cached"
STREAMS_PATH = b"/streams"

T = TypeVar("T")

log = Logger("cherrylane.gossip")


@define
class PeerSync:
    """Compares the versions of peers with its own and fetches newer state from them.

    A host that follows the store waits a little before it fetches, since the store notifies it as
    well. ``reported_engines`` are the engines whose full list of cached parts a peer has sent.
    ``has_full_cache_map`` says whether this host also knows what was cached before it started, and
    ``has_streams`` whether it knows the streams that had begun before.
    """

    routing_state: RoutingState
    load_tracker: LoadTracker
    caches: CacheMap
    peers_port: int
    stream_origins: StreamOrigins = field(factory=StreamOrigins)
    has_full_cache_map: bool = False
    has_streams: bool = False
    is_following: Callable[[], bool] = lambda: True
    reported_engines: set[str] = field(factory=set)
    _behind_since: float | None = None
    _fetch_task: asyncio.Task[None] | None = field(default=None, repr=False)

    def handle_heartbeat(self, address: str, heartbeat: Heartbeat, is_new: bool) -> None:
        """Record a peer's loads and cached parts, and fetch from it what this host lacks.

        That is newer state, for which a follower waits ``PEER_FETCH_DELAY_S`` first, the cache map,
        and the streams that had begun before this host started.
        """
        now = asyncio.get_running_loop().time()
        self.load_tracker.update_peer(address, dict(heartbeat.loads), now)
        self.record_cached_parts(heartbeat.cached)
        targets = self._find_newer(heartbeat)
        if targets and self._behind_since is None:
            self._behind_since = now
        if targets and self._should_wait_for_store(now):
            targets = []
        if heartbeat.has_full_cache_map and not self.has_full_cache_map:
            targets.append(CACHED_PATH)
        if heartbeat.knows_versions and not self.has_streams:
            targets.append(STREAMS_PATH)
        if targets and (self._fetch_task is None or self._fetch_task.done()):
            fetch = self._fetch(Endpoint(address, self.peers_port), targets)
            self._fetch_task = asyncio.get_running_loop().create_task(fetch)

    def reset_lag_timer(self) -> None:
        """Restart the delay before a fetch, after this host's state has changed."""
        self._behind_since = None

    def handle_request(self, request: Request, responder: Responder) -> None:
        """Handle a peer's request for state, or its POST of an engine's cached parts."""
        target = request.head.target
        if request.head.method == b"POST" and target == CACHED_PATH:
            responder.send(Response(self._receive_cached_parts(request.body)))
            return
        body = self._encode(target)
        if body is None:
            responder.send(Response(404))
            return
        headers = ((b"Content-Type", b"application/octet-stream"),)
        try:
            data = dumps(body).encode()
        except DECODING_ERRORS as error:
            # Such as nesting that is deeper than what was decoded at a lower depth of calls.
            reason = f"{type(error).__name__}: {error}"
            log.error("state cannot be sent", extra={"target": target.decode(), "reason": reason})
            responder.send(Response(500))
            return
        responder.send(Response(200, headers, zlib.compress(data)))

    def record_cached_parts(self, cached: Iterable[CachedPart]) -> None:
        """Record cached parts; those of engines unknown to this host are skipped."""
        for part in cached:
            kv_cache_tokens = self.routing_state.snapshot.get_kv_cache_tokens(part.upstream)
            if kv_cache_tokens:
                self.caches.record_peer(part, kv_cache_tokens)

    async def broadcast_cached_parts(self, cached: Iterable[CachedPart], members: Members) -> None:
        """Send cached parts to all live hosts."""
        body = dumps([(part.upstream, part.key, part.tokens) for part in cached]).encode()
        now = asyncio.get_running_loop().time()
        addresses = [member.address for member in members.live(now)]
        await asyncio.gather(*(self._send_cached_parts(address, body) for address in addresses))

    async def _send_cached_parts(self, address: str, body: bytes) -> None:
        endpoint = Endpoint(address, self.peers_port)
        try:
            await call(endpoint, CACHED_PATH, body=body, timeout_s=PEER_CALL_TIMEOUT_S)
        except (UpstreamError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning(
                "cannot send cached parts to peer", extra={"peer": address, "reason": reason}
            )

    def _receive_cached_parts(self, body: bytes) -> int:
        try:
            parts = _decode_all(load_partly(body, ITEM_LEVELS), _decode_cached)
            self.reported_engines.update(part.upstream for part in parts)
            self.record_cached_parts(parts)
        except DECODING_ERRORS as error:
            log.warning("invalid list of cached parts from a peer", extra={"reason": str(error)})
            return 400
        return 204

    def _encode(self, target: bytes) -> Any:
        if target == CONFIG_PATH:
            return self.routing_state.config_document
        if target == UPSTREAMS_PATH:
            return {
                "version": self.routing_state.snapshot.upstreams_version.revision,
                "era": self.routing_state.snapshot.upstreams_version.era,
                "entries": self.routing_state.list_entries(),
            }
        if target == CACHED_PATH:
            return [(part.upstream, part.key, part.tokens) for part in self.caches.list_all()]
        if target == STREAMS_PATH:
            return [
                (key, origin.service, origin.software)
                for key, origin in self.stream_origins.list_all()
            ]
        return None

    def _should_wait_for_store(self, now: float) -> bool:
        if self.routing_state.snapshot.table is None or not self.is_following():
            return False
        return self._behind_since is not None and now - self._behind_since < PEER_FETCH_DELAY_S

    def _find_newer(self, heartbeat: Heartbeat) -> list[bytes]:
        snapshot = self.routing_state.snapshot
        targets = []
        if heartbeat.config_version > snapshot.config_version:
            targets.append(CONFIG_PATH)
        if heartbeat.upstreams_version > snapshot.upstreams_version:
            targets.append(UPSTREAMS_PATH)
        return targets

    async def _fetch(self, endpoint: Endpoint, targets: list[bytes]) -> None:
        try:
            for target in targets:
                body = await call(endpoint, target, timeout_s=PEER_CALL_TIMEOUT_S)
                self._apply_state(target, body)
        except (UpstreamError, TimeoutError, zlib.error, *DECODING_ERRORS) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning(
                "cannot fetch state from peer", extra={"peer": str(endpoint), "reason": reason}
            )

    def _apply_state(self, target: bytes, body: bytes) -> None:
        """Take over a peer's response; raises one of ``DECODING_ERRORS`` if it is malformed."""
        document = load_partly(_decompress(body), STATE_LEVELS)
        if target == CONFIG_PATH:
            self.routing_state.apply_config(document, source="peer")
        elif target == UPSTREAMS_PATH:
            version = StoreVersion(
                read_count(document.get("era", 0)), read_count(document["version"])
            )
            self.routing_state.apply_peer_entries(dict(document["entries"]), version)
        elif target == STREAMS_PATH:
            now = asyncio.get_running_loop().time()
            for key, origin in _decode_all(document, _decode_stream):
                self.stream_origins.record(key, origin, now)
            self.has_streams = True
        else:
            self.record_cached_parts(_decode_all(document, _decode_cached))
            self.has_full_cache_map = True


def _decompress(body: bytes) -> bytes:
    """Decompress a peer's response; raises ``ValueError`` if it is too large."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_STATE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"state of more than {MAX_STATE_BYTES} bytes")
    if not decompressor.eof:
        raise ValueError("state ends early")
    return data


def _decode_all(items: Any, decode: Callable[[Any], T]) -> list[T]:
    """Decode the items of a peer's list; malformed ones are left out."""
    decoded = []
    left_out = 0
    for item in items:
        try:
            decoded.append(decode(item))
        except DECODING_ERRORS:
            left_out += 1
    if left_out:
        log.warning("malformed items of a peer left out", extra={"count": left_out})
    return decoded


def _decode_cached(item: Any) -> CachedPart:
    upstream, key, tokens = item
    return CachedPart(read_name(upstream), read_name(key), read_count(tokens))


def _decode_stream(item: Any) -> tuple[str, StreamOrigin]:
    key, service, software = item
    return read_name(key), StreamOrigin(read_name(service), read_name(software))
