"""Membership of the fleet, from heartbeats and from the platform's host registry.

Hosts are identified by their address, since a replaced host comes back under a new one.
"""

from attrs import define, field

from cherrylane.gossip.messages import Heartbeat, HostState, PeerLiveness
from cherrylane.placement.ranking import rank_names

# Largest fleet in which each host does for itself what a few hosts do for all in a larger one.
SMALL_FLEET_HOSTS = 12
# Seconds without a heartbeat after which callers are no longer given a host's address: four
# heartbeats are missed by then.
HEARTBEAT_TIMEOUT_S = 1.1
# Seconds without a heartbeat after which a host is sent heartbeats only rarely, in case it returns.
DORMANT_AFTER_S = 10.0


@define
class Member:
    """One other host.

    ``last_heard_at`` is when it was last known to be alive, in seconds of the loop's clock.
    """

    address: str
    heartbeat: Heartbeat | None = None
    last_heard_at: float = float("-inf")

    def is_live(self, now: float) -> bool:
        """Whether it was known to be alive within the last ``HEARTBEAT_TIMEOUT_S`` seconds."""
        return now - self.last_heard_at <= HEARTBEAT_TIMEOUT_S


@define
class Members:
    """All other known hosts by address."""

    own_address: str
    _by_address: dict[str, Member] = field(factory=dict)

    def add(self, address: str) -> None:
        """Add the address of a possible host; a known one or this host's own changes nothing."""
        if address != self.own_address:
            self._by_address.setdefault(address, Member(address))

    def remove(self, address: str) -> None:
        """Remove a host whose registry entry is deleted; its next heartbeat would add it again."""
        self._by_address.pop(address, None)

    def record_heartbeat(self, address: str, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat that was sent at ``now`` or a little before.

        Returns whether its host was unknown, silent or has restarted.
        """
        if address == self.own_address:
            return False
        self.add(address)
        for other in heartbeat.hosts:
            self._record_liveness(other, now)
        member = self._by_address[address]
        is_new = (
            member.heartbeat is None
            or member.heartbeat.boot_id != heartbeat.boot_id
            or not member.is_live(now)
        )
        member.heartbeat = heartbeat
        member.last_heard_at = max(now, member.last_heard_at)
        return is_new

    def _record_liveness(self, other: PeerLiveness, now: float) -> None:
        """Record a peer's report that a third host is alive."""
        self.add(other.address)
        member = self._by_address.get(other.address)
        # A host counts as live only after its own first heartbeat: before, its state is unknown.
        if member is not None and member.heartbeat is not None:
            member.last_heard_at = max(member.last_heard_at, now - other.age_ms / 1000)

    def all_addresses(self) -> list[str]:
        """Return the addresses of all known hosts, including silent ones."""
        return list(self._by_address)

    def is_first_for(self, key: str, now: float) -> bool:
        """Return whether this host is the one of all live ones that acts for ``key``."""
        addresses = [self.own_address, *(member.address for member in self.live(now))]
        return rank_names(key, addresses)[0] == self.own_address

    def live(self, now: float) -> list[Member]:
        """Return the live hosts."""
        return [member for member in self._by_address.values() if member.is_live(now)]

    def ready(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeat of each live host that serves callers."""
        return [
            member.heartbeat
            for member in self.live(now)
            if member.heartbeat is not None and member.heartbeat.state is HostState.READY
        ]

    def ready_addresses(self, now: float) -> list[str]:
        """Return the addresses of the live hosts that serve callers."""
        return [
            member.address
            for member in self.live(now)
            if member.heartbeat is not None and member.heartbeat.state is HostState.READY
        ]

    def silent(self, now: float) -> list[Member]:
        """Return the hosts that have sent heartbeats but are not live now."""
        return [
            member
            for member in self._by_address.values()
            if member.heartbeat is not None and not member.is_live(now)
        ]

    def heartbeat_targets(self, now: float, *, include_dormant: bool) -> list[str]:
        """Return the addresses to send a heartbeat to.

        ``include_dormant`` adds those last known to be alive over ``DORMANT_AFTER_S`` seconds ago.
        """
        return [
            member.address
            for member in self._by_address.values()
            if include_dormant or now - member.last_heard_at <= DORMANT_AFTER_S
        ]

    def __len__(self) -> int:
        return len(self._by_address)
