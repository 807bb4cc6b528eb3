"""Learning what engines have cached when no host remembers it.

After all hosts were down at once, the engines still have their caches, but nobody knows where a
chat's prompt is. Each engine is then asked once, by one host, which tells the others. A list
costs the engine some work, so it is not asked for where another host can tell. In a large fleet a
few hosts list for all, and the others ask one of these once it knows.
"""

import asyncio
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import UpstreamError
from cherrylane.gateway.calls import call
from cherrylane.gateway.knowledge import Knowledge
from cherrylane.gateway.peers import PeerKnowledge
from cherrylane.gossip.members import SMALL_FLEET, Members
from cherrylane.placement.caches import CachedPart
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.caches import CACHE_LIST_PATH, decode_cache_list
from cherrylane.routing.upstreams import Upstream

# Seconds after the start in which other hosts answer the first heartbeats.
WAIT_FOR_HOSTS_S = 0.1
# Seconds after that for which the roster is waited for; without it all hosts of a large fleet that
# starts at once would list, since each takes the fleet for small.
WAIT_FOR_ROSTER_S = 1.0
# Hosts of a large fleet that list the engines; each host knows from the roster which ones.
LISTERS = 6
# Seconds after which a host that is none of them lists what nobody has told.
LISTERS_LATE_S = 2.0
LISTERS_KEY = "listers of caches"
# Seconds between the turns of the hosts that could list an engine; telling takes a tenth of that.
TURN_S = 0.05
# Seconds between looks whether the engines are known yet.
POLL_S = 0.05
# Seconds that an engine's list may take.
LIST_TIMEOUT_S = 1.0

log = Logger("cherrylane.recovery")


@define
class CacheRecovery:
    """Learns at the start of a host what was cached before."""

    knowledge: Knowledge
    members: Members
    peers: PeerKnowledge
    roster_read: asyncio.Event = field(factory=asyncio.Event)
    random: Random = field(factory=Random)

    async def run(self) -> None:
        """Wait for other hosts to tell; if none can, list the engines that fall to this one."""
        await asyncio.sleep(WAIT_FOR_HOSTS_S)
        await self._wait_for_roster()
        while not self._find_engines():
            await asyncio.sleep(POLL_S)
        if self.members.own_address not in self._find_listers():
            await asyncio.sleep(LISTERS_LATE_S * (1 + self.random.random()))
        if self.peers.knows_caches:
            return
        await asyncio.gather(*(self._list_in_turn(engine) for engine in self._find_engines()))
        self.peers.knows_caches = True

    async def _wait_for_roster(self) -> None:
        try:
            async with asyncio.timeout(WAIT_FOR_ROSTER_S):
                await self.roster_read.wait()
        except TimeoutError:
            log.warning("roster not read in time", extra={"waited_s": WAIT_FOR_ROSTER_S})

    def _find_listers(self) -> list[str]:
        """Return the hosts that list engines; who is alive is not known yet in a large fleet."""
        own, known = self.members.own_address, self.members.known()
        if len(known) >= SMALL_FLEET:
            return rank_names(LISTERS_KEY, [own, *known])[:LISTERS]
        now = asyncio.get_running_loop().time()
        return [own, *(member.address for member in self.members.live(now))]

    def _find_engines(self) -> list[Upstream]:
        snapshot = self.knowledge.snapshot
        return [
            known.upstream
            for found in snapshot.upstreams_by_service.values()
            for known in found
            if snapshot.get_kv_cache_tokens(known.upstream.name)
        ]

    async def _list_in_turn(self, engine: Upstream) -> None:
        """List an engine unless a host that comes before this one has told by then."""
        own = self.members.own_address
        listers = self._find_listers()
        turn = rank_names(engine.name, listers).index(own) if own in listers else 0
        # Hosts that start together know few others yet, so several may think that they are first.
        await asyncio.sleep((turn + self.random.random()) * TURN_S)
        if engine.name not in self.peers.told_engines and not self.peers.knows_caches:
            await self._list(engine)

    async def _list(self, engine: Upstream) -> None:
        try:
            body = await call(engine.endpoint, CACHE_LIST_PATH, timeout_s=LIST_TIMEOUT_S)
            parts = decode_cache_list(body)
        except (UpstreamError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("caches not listed", extra={"upstream": engine.name, "reason": reason})
            return
        cached = [CachedPart(engine.name, part.key, part.tokens) for part in parts]
        self.peers.take_cached(cached)
        tokens = sum(part.tokens for part in parts)
        log.info(
            "caches listed",
            extra={"upstream": engine.name, "parts": len(parts), "tokens": tokens},
        )
        await self.peers.tell_cached(cached, self.members)
