"""For how long a missing upstream is kept after this host has lost the store.

Entries that lapsed while the store was away return within a while of its own return. If the store
has served a peer all the time, only this host was cut off, no entry has lapsed for that, and what
is missing has left.
"""

from attrs import define

from cherrylane.gateway.routing_state import REMOVAL_GRACE_S
from cherrylane.membership.store_contacts import StoreContacts
from cherrylane.platform.async_watcher import AsyncWatcher


@define
class RemovalGrace:
    """The grace period of missing upstreams, by the ``watcher`` of upstreams and what peers tell.

    Example::

        grace = RemovalGrace(watcher, StoreContacts())
        grace.find_remaining_s(now=100.0)  # 0.0 unless the store was lost lately
    """

    watcher: AsyncWatcher
    contacts: StoreContacts

    def find_remaining_s(self, now: float) -> float:
        """Return the seconds for which an upstream that is missing now is kept."""
        watcher = self.watcher
        is_lost = watcher.unavailable_since is not None
        ends_at = now + REMOVAL_GRACE_S if is_lost else watcher.recovered_at + REMOVAL_GRACE_S
        if ends_at <= now or self.contacts.was_serving(watcher.lost_at, now):
            return 0.0
        return ends_at - now
