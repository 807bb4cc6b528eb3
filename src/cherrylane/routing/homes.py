"""The home of a pool: the one host that admits requests to the pool's engines.

The engines of a service are split into the number of pools that its settings give. The home of a
pool is chosen by rendezvous hashing over the hosts of the service's site: hosts with the same
roster agree on it, and when a host leaves, only the pools that it was the home of move.
"""

from attrs import frozen

from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.routing.rendezvous import RendezvousTable, hash_text


@frozen
class PoolKey:
    """Identifies a pool by its service and its number within the service, from 0."""

    service: str
    number: int

    def __str__(self) -> str:
        return f"{self.service}/{self.number}"


def find_pool(service: str, runner: str, pools: int) -> PoolKey:
    """Return the pool of ``runner`` in a service that is split into ``pools`` pools."""
    return PoolKey(service=service, number=hash_text(runner) % pools)


def find_home(pool: PoolKey, site: str, roster: Roster) -> HostRecord | None:
    """Return the home of ``pool``, or None if its site has no host that accepts requests."""
    hosts = roster.list_active(site)
    if not hosts:
        return None
    by_name = {host.name: host for host in hosts}
    return by_name[RendezvousTable(list(by_name)).rank(hash_text(str(pool)), 1)[0]]
