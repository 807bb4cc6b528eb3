"""Recovery of the cache map from the engines when no host has it any more.

After all hosts were down at once, the engines still hold their caches, but no host knows which
engine has cached a chat's prompt. Each engine then lists its cached parts once, for one host,
which sends the list to the others. Listing costs the engine some work, so a host that can get
the map from a peer does not list. In a large fleet a few hosts list all engines, and the others
fetch the map from one of these once it is complete.
"""

import asyncio
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import UpstreamError
from cherrylane.gateway.calls import call
from cherrylane.gateway.peer_sync import PeerSync
from cherrylane.gateway.routing_state import RoutingState
from cherrylane.gossip.members import SMALL_FLEET_HOSTS, Members
from cherrylane.http.limits import ResponseLimits
from cherrylane.placement.caches import CachedPart
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.caches import CACHE_LIST_PATH, decode_cache_list
from cherrylane.routing.upstreams import Upstream

# Seconds after the start in which other hosts respond to the first heartbeats.
HEARTBEAT_WAIT_S = 0.1
# Time limit in seconds for the wait for the host registry after that. Without the registry, each
# host of a large fleet that starts at once would assume a small fleet, and all would list.
REGISTRY_WAIT_S = 1.0
# Number of hosts that list the engines in a large fleet; each host derives them from the registry.
LISTING_HOSTS = 6
# Minimum delay in seconds after which any other host lists the engines that no peer has reported.
FALLBACK_DELAY_S = 2.0
# Hash key of the ranking of these hosts; it must be the same on all hosts.
LISTING_HOSTS_KEY = "listers of caches"
# Seconds between the attempts of successive hosts to list an engine; sending a list to the peers
# takes a tenth of that.
STAGGER_S = 0.05
# Polling interval while the engines are not known yet, in seconds.
POLL_S = 0.05
# Time limit for the list of one engine, in seconds.
LIST_TIMEOUT_S = 1.0
# A list has some 60 bytes for each cached part of a prompt.
LIST_LIMITS = ResponseLimits(max_body_bytes=4 * 1024 * 1024)

log = Logger("cherrylane.recovery")


@define
class CacheRecovery:
    """Rebuilds the cache map when a host starts.

    Engines in evacuated failure domains are left out; nothing waits for their return.
    ``registry_loaded`` is set when the hosts of the platform's registry are known.
    """

    routing_state: RoutingState
    members: Members
    peer_sync: PeerSync
    registry_loaded: asyncio.Event = field(factory=asyncio.Event)
    random: Random = field(factory=Random)

    async def run(self) -> None:
        """Wait for the map of a peer; if none has it, list the engines assigned to this host."""
        await asyncio.sleep(HEARTBEAT_WAIT_S)
        await self._wait_for_registry()
        while not self._find_engines():
            await asyncio.sleep(POLL_S)
        if self.members.own_address not in self._find_listing_hosts():
            await asyncio.sleep(FALLBACK_DELAY_S * (1 + self.random.random()))
        if self.peer_sync.has_full_cache_map:
            return
        await asyncio.gather(
            *(self._list_unless_reported(engine) for engine in self._find_engines())
        )
        self.peer_sync.has_full_cache_map = True

    async def _wait_for_registry(self) -> None:
        try:
            async with asyncio.timeout(REGISTRY_WAIT_S):
                await self.registry_loaded.wait()
        except TimeoutError:
            log.warning("host registry not loaded in time", extra={"waited_s": REGISTRY_WAIT_S})

    def _find_listing_hosts(self) -> list[str]:
        """Return the hosts that list engines.

        In a large fleet they are chosen from all registered hosts, since it is not yet known which
        of these are live.
        """
        own, known = self.members.own_address, self.members.all_addresses()
        if len(known) >= SMALL_FLEET_HOSTS:
            return rank_names(LISTING_HOSTS_KEY, [own, *known])[:LISTING_HOSTS]
        now = asyncio.get_running_loop().time()
        return [own, *(member.address for member in self.members.live(now))]

    def _find_engines(self) -> list[Upstream]:
        snapshot = self.routing_state.snapshot
        return [
            known.upstream
            for found in snapshot.upstreams_by_service.values()
            for known in found
            if snapshot.get_kv_cache_tokens(known.upstream.name)
            and snapshot.may_send_to(known.upstream)
        ]

    async def _list_unless_reported(self, engine: Upstream) -> None:
        """List an engine, unless a host that ranks before this one has reported it by then."""
        own = self.members.own_address
        listing_hosts = self._find_listing_hosts()
        position = rank_names(engine.name, listing_hosts).index(own) if own in listing_hosts else 0
        # Hosts that start together know few peers yet, so several may rank themselves first; the
        # random delay separates them.
        await asyncio.sleep((position + self.random.random()) * STAGGER_S)
        if (
            engine.name not in self.peer_sync.reported_engines
            and not self.peer_sync.has_full_cache_map
        ):
            await self._list_cache(engine)

    async def _list_cache(self, engine: Upstream) -> None:
        try:
            body = await call(
                engine.endpoint,
                CACHE_LIST_PATH,
                timeout_s=LIST_TIMEOUT_S,
                may_send=lambda: self.routing_state.snapshot.may_send_to(engine),
                limits=LIST_LIMITS,
            )
            parts = decode_cache_list(body)
        except (UpstreamError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning(
                "cannot list cached parts of engine",
                extra={"upstream": engine.name, "reason": reason},
            )
            return
        cached = [CachedPart(engine.name, part.key, part.tokens) for part in parts]
        self.peer_sync.record_cached_parts(cached)
        tokens = sum(part.tokens for part in parts)
        log.info(
            "cached parts of engine listed",
            extra={"upstream": engine.name, "parts": len(parts), "tokens": tokens},
        )
        await self.peer_sync.broadcast_cached_parts(cached, self.members)
