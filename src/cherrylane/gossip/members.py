"""Which other hosts there are, from their heartbeats and from the platform's roster.

Hosts are known by their address, since a replaced host comes back under a new one.
"""

from attrs import define, field

from cherrylane.gossip.messages import Heartbeat, HostState, PeerLiveness

# Hosts up to which each does by itself what a few do for all in a larger fleet.
SMALL_FLEET_HOSTS = 12
# Seconds without a heartbeat after which a host is no longer given to callers: four are missed.
HEARTBEAT_TIMEOUT_S = 1.1
# Seconds after which a silent host is spoken to only seldom, in case it comes back.
DORMANT_AFTER_S = 10.0


@define
class Member:
    """One other host; ``last_heard_at`` is in seconds of the loop's clock."""

    address: str
    heartbeat: Heartbeat | None = None
    last_heard_at: float = float("-inf")

    def is_live(self, now: float) -> bool:
        """Whether a heartbeat came lately."""
        return now - self.last_heard_at <= HEARTBEAT_TIMEOUT_S


@define
class Members:
    """All other hosts by their address."""

    own_address: str
    _by_address: dict[str, Member] = field(factory=dict)

    def add(self, address: str) -> None:
        """Learn that there may be a host at ``address``."""
        if address != self.own_address:
            self._by_address.setdefault(address, Member(address))

    def remove(self, address: str) -> None:
        """Drop a host that was taken off the roster, unless it still speaks."""
        self._by_address.pop(address, None)

    def record_heartbeat(self, address: str, heartbeat: Heartbeat, now: float) -> bool:
        """Take in a heartbeat; says whether its host was silent, unknown or started again."""
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
        member.last_heard_at = now
        return is_new

    def _record_liveness(self, other: PeerLiveness, now: float) -> None:
        """Take in that another host has heard from a third one lately."""
        self.add(other.address)
        known = self._by_address.get(other.address)
        # A host that was never heard itself is not believed to be alive: nothing is known of it.
        if known is not None and known.heartbeat is not None:
            known.last_heard_at = max(known.last_heard_at, now - other.age_ms / 1000)

    def all_addresses(self) -> list[str]:
        """Return the addresses of all hosts, silent ones too."""
        return list(self._by_address)

    def live(self, now: float) -> list[Member]:
        """Return the hosts that were heard lately."""
        return [member for member in self._by_address.values() if member.is_live(now)]

    def ready(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeats of the live hosts that serve callers."""
        return [
            member.heartbeat
            for member in self.live(now)
            if member.heartbeat is not None and member.heartbeat.state is HostState.READY
        ]

    def silent(self, now: float) -> list[Member]:
        """Return the hosts that were heard once and are silent now."""
        return [
            member
            for member in self._by_address.values()
            if member.heartbeat is not None and not member.is_live(now)
        ]

    def heartbeat_targets(self, now: float, *, include_dormant: bool) -> list[str]:
        """Return whom to send a heartbeat to; ``include_dormant`` adds those silent for long."""
        return [
            member.address
            for member in self._by_address.values()
            if include_dormant or now - member.last_heard_at <= DORMANT_AFTER_S
        ]

    def __len__(self) -> int:
        return len(self._by_address)
