"""The daemon's gRPC server: admission streams from other hosts, and probes."""

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue
from threading import Thread
from typing import Any, Protocol

import grpc
from logbook import Logger

from cherrylane.errors import SettingsError
from cherrylane.idempotency.claims import ClaimRequest
from cherrylane.idempotency.shards import ClaimReply
from cherrylane.limits.waiting import Reply
from cherrylane.limits.work import AdmissionRequest, Grant, GrantOutcome
from cherrylane.peer import peer_pb2 as wire
from cherrylane.peer.identity import PeerIdentity, read_metadata
from cherrylane.peer.messages import (
    HomeReply,
    admission_request_from_wire,
    claim_from_wire,
    grant_from_wire,
    outcome_from_wire,
    pool_from_wire,
    reply_to_wire,
)
from cherrylane.peer.peer_pb2_grpc import PeerServicer, add_PeerServicer_to_server
from cherrylane.peer.probe import ProbeAnswer, SharedState, loads_from_wire, loads_to_wire
from cherrylane.routing.homes import PoolKey
from cherrylane.settings.schema import PeerSettings
from cherrylane.telemetry.traffic import TrafficCounter

SERVER_THREADS = 256
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STOP_GRACE_S = 0.5

log = Logger("cherrylane.peer")


class HomeHandler(Protocol):
    """Handles peers' messages to the homes on this host."""

    def handle_admission_request(self, request: AdmissionRequest, reply: Reply) -> None:
        """Admit a peer's request, or refuse it."""

    def handle_release(self, pool: PoolKey, grant_id: str, outcome: GrantOutcome) -> None:
        """Release a peer's grant."""

    def handle_holdings(self, pool: PoolKey, holder: str, grants: list[Grant]) -> None:
        """Count the grants that a peer holds."""

    def handle_claim(self, request: ClaimRequest, reply: ClaimReply) -> None:
        """Decide on a peer's claim."""

    def handle_link_down(self, reply: Reply) -> None:
        """Drop the pending requests of a peer's stream that has ended, which ``reply`` answered."""


ProbeHandler = Callable[[PeerIdentity, str, SharedState], ProbeAnswer]


class PeerServer:
    """Serves peers; calls without the shared key and an identity are rejected."""

    def __init__(
        self,
        settings: PeerSettings,
        homes: HomeHandler,
        handle_probe: ProbeHandler,
        traffic: TrafficCounter,
    ) -> None:
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=SERVER_THREADS, thread_name_prefix="peer"),
            options=[
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
                ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
                ("grpc.keepalive_time_ms", 5_000),
                ("grpc.keepalive_timeout_ms", 2_000),
            ],
        )
        servicer = _PeerService(settings.shared_key, homes, handle_probe, traffic)
        add_PeerServicer_to_server(servicer, self._server)
        try:
            self.port = self._server.add_insecure_port(str(settings.listen))
        except RuntimeError as error:
            raise SettingsError(
                f"peers.listen: cannot listen on {settings.listen} ({error})",
                remedy="choose a free port or an address of this host",
            ) from error

    def start(self) -> None:
        """Start to serve peers."""
        self._server.start()

    def stop(self) -> None:
        """End all streams and stop the server."""
        self._server.stop(STOP_GRACE_S).wait(2 * STOP_GRACE_S)


class _PeerService(PeerServicer):
    def __init__(
        self, key: str, homes: HomeHandler, handle_probe: ProbeHandler, traffic: TrafficCounter
    ) -> None:
        self._key = key
        self._homes = homes
        self._handle_probe = handle_probe
        self._traffic = traffic

    def Converse(  # noqa: N802
        self, request_iterator: Iterator[wire.ToHome], context: Any
    ) -> Iterator[wire.FromHome]:
        """Serve one host's admission stream until either side ends it."""
        peer = self._authenticate(context)
        outgoing: SimpleQueue[wire.FromHome | None] = SimpleQueue()
        reader = Thread(
            target=self._read_messages,
            args=(peer, request_iterator, outgoing),
            name=f"host-{peer.name}",
            daemon=True,
        )
        reader.start()
        while (message := outgoing.get()) is not None:
            self._traffic.count_sent("admission", message.ByteSize())
            yield message

    def Probe(self, request: wire.ProbeRequest, context: Any) -> wire.ProbeReply:  # noqa: N802
        """Reply to a probe."""
        peer = self._authenticate(context)
        self._traffic.count_received("probe", request.ByteSize())
        state = SharedState(request.generation, loads_from_wire(request.loads))
        answer = self._handle_probe(peer, request.target, state)
        reply = wire.ProbeReply(
            host=answer.identity.name,
            incarnation=answer.identity.incarnation,
            target_heard=answer.target_heard,
            generation=answer.shared_state.generation,
            loads=loads_to_wire(answer.shared_state.loads),
            acknowledged=answer.acknowledged,
        )
        self._traffic.count_sent("probe", reply.ByteSize())
        return reply

    def _authenticate(self, context: Any) -> PeerIdentity:
        peer = read_metadata(context.invocation_metadata(), self._key)
        if peer is None:
            log.warning(f"rejected a call from {context.peer()}: shared key or identity invalid")
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "shared key or identity invalid")
            raise AssertionError("abort always raises")
        return peer

    def _read_messages(
        self,
        peer: PeerIdentity,
        requests: Iterator[wire.ToHome],
        outgoing: "SimpleQueue[wire.FromHome | None]",
    ) -> None:
        def reply(answer: HomeReply) -> None:
            outgoing.put(reply_to_wire(answer))

        try:
            for message in requests:
                self._traffic.count_received("admission", message.ByteSize())
                self._handle(peer, message, reply)
        except grpc.RpcError:
            log.notice(f"stream from host {peer.name} ended")
        finally:
            self._homes.handle_link_down(reply)
            outgoing.put(None)

    def _handle(
        self, peer: PeerIdentity, message: wire.ToHome, reply: Callable[[HomeReply], None]
    ) -> None:
        match message.WhichOneof("body"):
            case "ask":
                self._homes.handle_admission_request(
                    admission_request_from_wire(message.ask, peer.holder), reply
                )
            case "claim":
                self._homes.handle_claim(claim_from_wire(message.claim), reply)
            case "release":
                pool = pool_from_wire(message.release.pool)
                outcome = outcome_from_wire(message.release)
                self._homes.handle_release(pool, message.release.id, outcome)
            case "holdings":
                pool = pool_from_wire(message.holdings.pool)
                grants = [grant_from_wire(item, peer.holder) for item in message.holdings.grants]
                self._homes.handle_holdings(pool, peer.holder, grants)
