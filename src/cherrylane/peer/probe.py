"""Health probes of peers, which also exchange the state that peers share."""

from collections.abc import Callable, Iterable
from threading import Lock

import grpc
from attrs import field, frozen

from cherrylane.limits.ledger import LoadTotals
from cherrylane.peer import peer_pb2 as wire
from cherrylane.peer.identity import PeerIdentity, make_metadata
from cherrylane.peer.link import CHANNEL_OPTIONS
from cherrylane.peer.messages import pool_from_wire, pool_to_wire
from cherrylane.peer.peer_pb2_grpc import PeerStub
from cherrylane.routing.homes import PoolKey
from cherrylane.telemetry.traffic import TrafficCounter


@frozen
class SharedState:
    """What a host reports to its peers: its configuration generation and its pools' loads."""

    generation: int = 0
    loads: dict[PoolKey, LoadTotals] = field(factory=dict)


@frozen
class ProbeAnswer:
    """The reply of a probed peer.

    ``acknowledged`` says whether it counts towards the sender's lease. ``target_heard`` is True
    only if the probe named a target that the peer has not declared dead.
    """

    identity: PeerIdentity
    acknowledged: bool
    target_heard: bool
    shared_state: SharedState


class ProbeClient:
    """Probes peers; keeps one channel open to each."""

    def __init__(
        self, read_identity: Callable[[], PeerIdentity], key: str, traffic: TrafficCounter
    ) -> None:
        self._read_identity = read_identity
        self._key = key
        self._traffic = traffic
        self._channels: dict[str, grpc.Channel] = {}
        self._lock = Lock()

    def probe(
        self, endpoint: str, state: SharedState, *, timeout_s: float, target: str = ""
    ) -> ProbeAnswer | None:
        """Probe the daemon at ``endpoint``; returns None if it did not reply within ``timeout_s``.

        ``target`` is the holder text of an incarnation of a host; the reply says whether the daemon
        has declared it dead.
        """
        identity = self._read_identity()
        request = wire.ProbeRequest(
            host=identity.name,
            incarnation=identity.incarnation,
            target=target,
            generation=state.generation,
            loads=loads_to_wire(state.loads),
        )
        self._traffic.count_sent("probe", request.ByteSize())
        try:
            stub = PeerStub(self._get_channel(endpoint))
            reply = stub.Probe(
                request, timeout=timeout_s, metadata=make_metadata(identity, self._key)
            )
        except (grpc.RpcError, ValueError):
            return None
        self._traffic.count_received("probe", reply.ByteSize())
        return ProbeAnswer(
            identity=PeerIdentity(reply.host, reply.incarnation),
            acknowledged=reply.acknowledged,
            target_heard=reply.target_heard,
            shared_state=SharedState(reply.generation, loads_from_wire(reply.loads)),
        )

    def forget(self, endpoint: str) -> None:
        """Close the channel to a removed host."""
        with self._lock:
            channel = self._channels.pop(endpoint, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close every channel."""
        for endpoint in list(self._channels):
            self.forget(endpoint)

    def _get_channel(self, endpoint: str) -> grpc.Channel:
        with self._lock:
            channel = self._channels.get(endpoint)
            if channel is None:
                channel = grpc.insecure_channel(endpoint, options=CHANNEL_OPTIONS)
                self._channels[endpoint] = channel
            return channel


def loads_to_wire(loads: dict[PoolKey, LoadTotals]) -> list[wire.PoolLoad]:
    """Return pool loads as messages."""
    return [
        wire.PoolLoad(pool=pool_to_wire(pool), load=load.load, weight=load.weight)
        for pool, load in loads.items()
    ]


def loads_from_wire(messages: Iterable[wire.PoolLoad]) -> dict[PoolKey, LoadTotals]:
    """Return the pool loads in messages."""
    return {
        pool_from_wire(message.pool): LoadTotals(load=message.load, weight=message.weight)
        for message in messages
    }
