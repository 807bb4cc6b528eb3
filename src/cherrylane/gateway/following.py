"""Which hosts follow the store; the others hear from them.

Every call of the store counts, a waiting watch as one, and its rates grow more slowly than the
fleet. So a few hosts follow it: those that come first in a rendezvous order of the live ones, which
all hosts know without an election. A host that has not heard any of them confirm its knowledge for
a while follows by itself.
"""

import asyncio
from random import Random

from attrs import define, field

from cherrylane.gossip.members import SMALL_FLEET, Members
from cherrylane.gossip.messages import NEVER_MS, Heartbeat
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.async_watcher import AsyncWatcher

# Hosts of a large fleet that follow. A store that turns a third of all hosts away turns away all
# six once in 700 times; the others then follow by themselves.
FOLLOWERS = 6
# Seconds without a confirmation after which a host follows by itself; four heartbeats in a fleet
# of fifty are missed.
UNCONFIRMED_AFTER_S = 1.2
# Seconds that a host goes on after it is not needed any more; 5 s cost a large fleet 2,000 calls at
# its start.
LINGER_S = 1.0
# Seconds between decisions; hosts decide at different moments.
INTERVAL_S = 0.3
RANKING_KEY = "followers of the store"


@define
class Following:
    """Decides whether this host follows the store."""

    members: Members
    followers: list[AsyncWatcher]
    _confirmed_at: float = float("-inf")
    _needed_at: float = float("-inf")
    is_following: bool = False
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Decide from time to time, for ever."""
        while True:
            now = asyncio.get_running_loop().time()
            if self._is_needed(now):
                self._needed_at = now
            self.is_following = now - self._needed_at <= LINGER_S
            for follower in self.followers:
                follower.set_watching(self.is_following)
            await asyncio.sleep(INTERVAL_S * self._random.uniform(0.7, 1.3))

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in how long ago another host's knowledge was confirmed."""
        now = asyncio.get_running_loop().time()
        self._confirmed_at = max(self._confirmed_at, now - heartbeat.confirmed_ms / 1000)

    @property
    def is_followed_by_others(self) -> bool:
        """Whether there are hosts that do not follow and have to be told of changes."""
        return self.is_following and len(self.members) >= SMALL_FLEET

    def read_age_ms(self, now: float) -> int:
        """Return how long ago this host's knowledge was confirmed."""
        if all(follower.is_confirmed for follower in self.followers):
            return 0
        age_s = now - self._confirmed_at
        return min(NEVER_MS, round(age_s * 1000)) if age_s != float("inf") else NEVER_MS

    def _is_needed(self, now: float) -> bool:
        own = self.members.own_address
        hosts = [own, *(member.address for member in self.members.live(now))]
        if len(hosts) <= SMALL_FLEET:
            return True
        is_first = own in rank_names(RANKING_KEY, hosts)[:FOLLOWERS]
        return is_first or now - self._confirmed_at > UNCONFIRMED_AFTER_S
