"""Selection of the hosts that follow (list and watch) the platform's store for the fleet.

Every call to the store counts, a pending watch as one call, and the call rate that the store
allows grows more slowly than the fleet. So in a large fleet only a few hosts follow the store, and
the others get changes from them by gossip. The followers are the first hosts in a rendezvous
ranking of the live ones, which every host computes identically without an election. A host
whose state none of them has confirmed for a while follows the store itself.
"""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field

from cherrylane.gossip.members import SMALL_FLEET_HOSTS, Members
from cherrylane.gossip.messages import UNCONFIRMED_MS, Heartbeat
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.async_watcher import AsyncWatcher

# Number of followers in a large fleet. A store that rejects a third of all hosts rejects all six
# followers once in 700 cases; the other hosts then follow it themselves.
FOLLOWER_COUNT = 6
# Seconds without a confirmation after which a host follows the store itself; in a fleet of fifty
# hosts that is four missed heartbeats.
CONFIRMATION_TIMEOUT_S = 1.2
# Seconds that a host keeps following after it is no longer needed; at 5 s the start of a large
# fleet took 2,000 store calls.
LINGER_S = 1.0
# Mean seconds between decisions; jitter keeps hosts from deciding at the same moment.
DECISION_INTERVAL_S = 0.3
# Hash key of the ranking; it must be the same on all hosts.
RANKING_KEY = "followers of the store"


@define
class FollowerSelection:
    """Decides whether this host follows the store, and starts or stops its ``watchers``.

    ``find_silent_since`` returns since when the store does not answer probes, None while it does: a
    watch that is pending may never be answered.
    """

    members: Members
    watchers: list[AsyncWatcher]
    find_silent_since: Callable[[float], float | None] = lambda now: None
    _confirmed_at: float = float("-inf")
    _needed_at: float = float("-inf")
    is_following: bool = False
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Decide at regular intervals until cancelled."""
        while True:
            now = asyncio.get_running_loop().time()
            if self._is_needed(now):
                self._needed_at = now
            self.is_following = now - self._needed_at <= LINGER_S
            for watcher in self.watchers:
                watcher.set_watching(self.is_following)
            await asyncio.sleep(DECISION_INTERVAL_S * self._random.uniform(0.7, 1.3))

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the time of the last confirmation, if the peer's state was confirmed later."""
        now = asyncio.get_running_loop().time()
        self._confirmed_at = max(self._confirmed_at, now - heartbeat.confirmation_age_ms / 1000)

    @property
    def must_notify_peers(self) -> bool:
        """Whether this host follows the store for others, which it must notify of changes."""
        return self.is_following and len(self.members) >= SMALL_FLEET_HOSTS

    def get_state_age_ms(self, now: float) -> int:
        """Return how long ago the state of this host was confirmed, in milliseconds.

        It is 0 while this host watches the store and the store answers it, and ``UNCONFIRMED_MS``
        if it never was confirmed.
        """
        confirmed_at = self._confirmed_at
        if all(watcher.is_confirmed for watcher in self.watchers):
            silent_since = self._find_first_silence(now)
            if silent_since is None:
                return 0
            confirmed_at = max(confirmed_at, silent_since)
        age_s = now - confirmed_at
        return min(UNCONFIRMED_MS, round(age_s * 1000)) if age_s != float("inf") else UNCONFIRMED_MS

    def get_contact_s(self, now: float) -> float:
        """Return for how many seconds the store has answered this host without a failure.

        It is 0 while it does not, and while this host does not watch it.
        """
        watchers = self.watchers
        if not watchers or not all(watcher.is_confirmed for watcher in watchers):
            return 0.0
        if self._find_first_silence(now) is not None:
            return 0.0
        return max(0.0, now - max(watcher.contact_since for watcher in watchers))

    def _find_first_silence(self, now: float) -> float | None:
        """Return since when a probe or a watch is overdue, None if none is."""
        found = [
            self.find_silent_since(now),
            *(watcher.find_silent_since(now) for watcher in self.watchers),
        ]
        return min((since for since in found if since is not None), default=None)

    def _is_needed(self, now: float) -> bool:
        own = self.members.own_address
        hosts = [own, *(member.address for member in self.members.live(now))]
        if len(hosts) <= SMALL_FLEET_HOSTS:
            return True
        is_selected = own in rank_names(RANKING_KEY, hosts)[:FOLLOWER_COUNT]
        return is_selected or now - self._confirmed_at > CONFIRMATION_TIMEOUT_S
