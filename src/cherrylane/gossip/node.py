"""Sending and receiving heartbeats over UDP."""

import asyncio
from collections.abc import Callable
from math import ceil
from random import Random

from attrs import define, evolve, field
from logbook import Logger

from cherrylane.errors import PeerMessageError
from cherrylane.gossip.decoding import decode_heartbeat
from cherrylane.gossip.delays import ArrivalDelays, read_stamp_ms
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import Heartbeat, PeerLiveness
from cherrylane.settings.schema import Endpoint

# Seconds between rounds of heartbeats; a load that peers do not know yet is at most this old.
HEARTBEAT_INTERVAL_S = 0.25
# Dormant hosts are sent a heartbeat once in this many rounds.
DORMANT_EVERY_ROUNDS = 8
# Number of other hosts that a heartbeat lists, by which all hosts discover each other.
PEERS_PER_HEARTBEAT = 12
# Maximum number of hosts that are sent a heartbeat in one round. A larger fleet is reached over
# several rounds; meanwhile its hosts get each other's liveness from the heartbeats of third hosts.
FAN_OUT = 12
# Milliseconds beyond which a heartbeat counts as late: it waited in a buffer, here or on its way.
LATE_MS = 500

log = Logger("cherrylane.gossip")


@define
class GossipNode:
    """Sends the heartbeats of this host and receives those of others.

    ``make_heartbeat`` returns the heartbeat to send, without the list of hosts. ``on_heartbeat`` is
    called for each one received with the sender's address, the heartbeat, and whether the sender
    was unknown, silent or has restarted.
    """

    listen: Endpoint
    members: Members
    make_heartbeat: Callable[[], Heartbeat]
    on_heartbeat: Callable[[str, Heartbeat, bool], None]
    sent_bytes: int = 0
    received_bytes: int = 0
    _transport: asyncio.DatagramTransport | None = None
    _random: Random = field(factory=Random, repr=False)
    _rounds: int = 0
    _live: set[str] = field(factory=set)
    _pending: list[str] = field(factory=list)
    _delays: ArrivalDelays = field(factory=ArrivalDelays)

    @property
    def rounds_to_reach_all(self) -> int:
        """Number of rounds in which every known host is sent a heartbeat."""
        return max(1, ceil(len(self.members) / FAN_OUT))

    async def start(self) -> None:
        """Open the UDP socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _HeartbeatProtocol(self), local_addr=(self.listen.address, self.listen.port)
        )

    async def run(self) -> None:
        """Send heartbeats at regular intervals until cancelled."""
        while True:
            self.send_round()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send_round(self, *, to_all: bool = False) -> None:
        """Send one heartbeat to the hosts of this round, or to all."""
        now = asyncio.get_running_loop().time()
        self._rounds += 1
        include_dormant = self._rounds % DORMANT_EVERY_ROUNDS == 1
        addresses = self.members.heartbeat_targets(now, include_dormant=include_dormant)
        if len(addresses) > FAN_OUT and not to_all:
            addresses = self._next_targets(addresses)
        self._log_silent(now)
        data = self._encode(now)
        for address in addresses:
            self._send(data, address)

    def _next_targets(self, addresses: list[str]) -> list[str]:
        """Return the next addresses, so that all are reached in as few rounds as possible."""
        candidates = set(addresses)
        self._pending = [address for address in self._pending if address in candidates]
        if len(self._pending) < FAN_OUT:
            rest = sorted(candidates.difference(self._pending))
            self._random.shuffle(rest)
            self._pending += rest
        taken, self._pending = self._pending[:FAN_OUT], self._pending[FAN_OUT:]
        return taken

    def _encode(self, now: float) -> bytes:
        heartbeat = self.make_heartbeat()
        live = self.members.live(now)
        sample = self._random.sample(live, min(PEERS_PER_HEARTBEAT, len(live)))
        hosts = [
            PeerLiveness(member.address, round((now - member.last_heard_at) * 1000))
            for member in sample
        ]
        return evolve(heartbeat, hosts=tuple(hosts), stamp_ms=read_stamp_ms()).encode()

    def _send(self, data: bytes, address: str) -> None:
        assert self._transport is not None
        self.sent_bytes += len(data)
        self._transport.sendto(data, (address, self.listen.port))

    def _log_silent(self, now: float) -> None:
        for member in self.members.silent(now):
            if member.address in self._live and member.heartbeat is not None:
                self._live.discard(member.address)
                log.warning(
                    "host silent",
                    extra={
                        "peer": member.heartbeat.host,
                        "silent_s": round(now - member.last_heard_at, 3),
                    },
                )

    def receive(self, data: bytes, address: str) -> None:
        """Process a datagram; an invalid one is logged and ignored."""
        self.received_bytes += len(data)
        try:
            heartbeat = decode_heartbeat(data)
        except PeerMessageError as error:
            log.warning("invalid datagram ignored", extra={"peer": address, "reason": str(error)})
            return
        now = asyncio.get_running_loop().time()
        delay_ms = self._find_delay_ms(heartbeat)
        if delay_ms > LATE_MS:
            heartbeat = heartbeat.make_older(delay_ms)
            now -= delay_ms / 1000
        is_new = self.members.record_heartbeat(address, heartbeat, now)
        if is_new:
            now = asyncio.get_running_loop().time()
            self._live.add(address)
            # Respond at once, so that a host that has just started need not wait for a round.
            self._send(self._encode(now), address)
            log.info("host live", extra={"peer": heartbeat.host, "boot": heartbeat.boot_id})
        self.on_heartbeat(address, heartbeat, is_new)

    def _find_delay_ms(self, heartbeat: Heartbeat) -> int:
        """Return for how long a heartbeat waited, 0 if its sender does not stamp it."""
        if not heartbeat.stamp_ms:
            return 0
        sender = f"{heartbeat.host}/{heartbeat.boot_id}"
        return self._delays.estimate_ms(sender, heartbeat.stamp_ms, read_stamp_ms())


class _HeartbeatProtocol(asyncio.DatagramProtocol):
    def __init__(self, node: GossipNode) -> None:
        self._node = node

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._node.receive(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        # Nothing listens at the destination; the heartbeat timeout covers that case.
        log.debug("datagram not delivered", extra={"reason": str(exc)})
