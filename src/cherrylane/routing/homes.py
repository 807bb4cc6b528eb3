"""Homes: the one host that admits work to the engines of a pool.

The engines of a service are split into as many pools as its settings say. Each pool has one home,
chosen by rendezvous hash over the hosts of the service's site, so every host names the same home
from the same roster and a host's leaving moves only the pools it was home of.
"""

from attrs import frozen

from cherrylane.membership.roster import HostRecord, Roster
from cherrylane.routing.rendezvous import RendezvousTable, hash_text


@frozen
class PoolKey:
    """The name of a pool: its service and its number within the service."""

    service: str
    number: int

    def __str__(self) -> str:
        return f"{self.service}/{self.number}"


def pool_of(service: str, runner: str, pools: int) -> PoolKey:
    """Return the pool that ``runner`` belongs to when its service has ``pools`` of them."""
    return PoolKey(service=service, number=hash_text(runner) % pools)


def home_of(pool: PoolKey, site: str, roster: Roster) -> HostRecord | None:
    """Return the home of ``pool``, or None when its site has no host that takes work."""
    hosts = roster.list_active(site)
    if not hosts:
        return None
    by_name = {host.name: host for host in hosts}
    return by_name[RendezvousTable(list(by_name)).rank(hash_text(str(pool)), 1)[0]]
