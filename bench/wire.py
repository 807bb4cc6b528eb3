"""Both ends of a gRPC link between daemons on loopback, with a forwarder that counts bytes."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from socket import create_connection, create_server, socket
from threading import Event, Thread
from time import process_time
from types import TracebackType

import grpc

from bench.decision import make_home, make_view
from bench.services import SERVICE
from cherrylane.configuration.documents import BoundSettings
from cherrylane.idempotency.claims import ClaimRequest
from cherrylane.idempotency.shards import ClaimReply
from cherrylane.limits.pool import PoolHome
from cherrylane.limits.waiting import Reply
from cherrylane.limits.work import AccountShare, AdmissionRequest, Grant, GrantOutcome
from cherrylane.peer import peer_pb2 as wire
from cherrylane.peer.identity import PeerIdentity
from cherrylane.peer.link import HomeLink
from cherrylane.peer.messages import HomeReply
from cherrylane.peer.probe import ProbeAnswer, ProbeClient, SharedState
from cherrylane.peer.server import PeerServer
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.rendezvous import hash_text
from cherrylane.settings.schema import Endpoint, PeerSettings
from cherrylane.telemetry.traffic import TrafficCounter

SHARED_KEY = "bench-peer-key-0001"
POOL = PoolKey(SERVICE, 0)
WAIT_S = 10.0
PROBE_TIMEOUT_S = 5.0


class SinglePoolHome:
    """Handles a server's messages with the home of a single pool."""

    def __init__(self) -> None:
        self.home: PoolHome = make_home(POOL, make_view(6, BoundSettings()))

    def handle_admission_request(self, request: AdmissionRequest, reply: Reply) -> None:
        """Submit a peer's admission request to the home."""
        self.home.submit(request, reply)

    def handle_release(self, pool: PoolKey, grant_id: str, outcome: GrantOutcome) -> None:
        """Release a peer's grant."""
        self.home.release(grant_id, outcome)

    def handle_holdings(self, pool: PoolKey, holder: str, grants: list[Grant]) -> None:
        """Do nothing: the benchmark leaves out the grants that peers already hold."""

    def handle_claim(self, request: ClaimRequest, reply: ClaimReply) -> None:
        """Do nothing: the benchmark makes no claims."""

    def handle_link_down(self, reply: Reply) -> None:
        """Do nothing: no request is waiting."""


class CountingForwarder:
    """Forwards TCP connections and counts the bytes in both directions."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._listener = create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.count = 0
        Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client_side, _ = self._listener.accept()
            except OSError:
                return
            server_side = create_connection(("127.0.0.1", self._target))
            Thread(target=self._forward, args=(client_side, server_side), daemon=True).start()
            Thread(target=self._forward, args=(server_side, client_side), daemon=True).start()

    def _forward(self, source: socket, target: socket) -> None:
        try:
            while data := source.recv(65536):
                self.count += len(data)
                target.sendall(data)
        except OSError:
            return


class WireBench:
    """A peer server with a byte-counting forwarder, and measurements by clients of both."""

    def __init__(self) -> None:
        self._traffic = TrafficCounter()
        self._identity = PeerIdentity("host-1", "0123456789abcdef")
        settings = PeerSettings(listen=Endpoint("127.0.0.1", 0), shared_key=SHARED_KEY)
        self._server = PeerServer(settings, SinglePoolHome(), self._answer_probe, self._traffic)
        self._server.start()
        self._forwarder = CountingForwarder(self._server.port)
        self._reply_count = 0
        self._reply_arrived = Event()

    @property
    def port(self) -> int:
        """The server's port."""
        port: int = self._server.port
        return port

    def __enter__(self) -> "WireBench":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._forwarder.close()
        self._server.stop()

    def measure_probe_bytes(self, count: int) -> float:
        """Return the bytes on the wire per probe and its answer, both directions."""
        client = ProbeClient(lambda: self._identity, SHARED_KEY, self._traffic)
        endpoint = f"127.0.0.1:{self._forwarder.port}"
        client.probe(endpoint, SharedState(), timeout_s=PROBE_TIMEOUT_S)
        before = self._forwarder.count
        for _ in range(count):
            client.probe(endpoint, SharedState(generation=7), timeout_s=PROBE_TIMEOUT_S)
        spent = self._forwarder.count - before
        client.close()
        return spent / count

    def time_probes(self, count: int) -> float:
        """Return the processor seconds per probe, both sides."""
        client = ProbeClient(lambda: self._identity, SHARED_KEY, self._traffic)
        endpoint = f"127.0.0.1:{self._server.port}"
        client.probe(endpoint, SharedState(), timeout_s=PROBE_TIMEOUT_S)
        started = process_time()
        for _ in range(count):
            client.probe(endpoint, SharedState(generation=7), timeout_s=PROBE_TIMEOUT_S)
        spent = process_time() - started
        client.close()
        return spent / count

    def measure_admission_bytes(self, count: int) -> float:
        """Return the bytes on the wire per admission request, grant and release."""
        before = self._forwarder.count
        self.time_admissions(count, self._forwarder.port)
        return (self._forwarder.count - before) / count

    def time_admissions(self, count: int, port: int = 0) -> float:
        """Admit and release ``count`` requests; return processor seconds per request, both sides.

        Raises :class:`TimeoutError` if the home does not answer within ``WAIT_S``.
        """
        link = HomeLink(
            f"127.0.0.1:{port or self._server.port}",
            self._identity,
            SHARED_KEY,
            list_holdings=dict,
            on_reply=self._handle_reply,
            on_down=lambda: None,
            traffic=self._traffic,
        )
        started = process_time()
        for number in range(count):
            self._reply_arrived.clear()
            link.request_admission(make_admission_request(number))
            if not self._reply_arrived.wait(WAIT_S):
                raise TimeoutError(f"the home did not answer request {number} within {WAIT_S:g} s")
            link.release(self._last_grant, GrantOutcome(found_tokens=900))
        spent = process_time() - started
        link.close()
        return spent / count

    def _handle_reply(self, reply: HomeReply) -> None:
        assert isinstance(reply, Grant)
        self._last_grant = reply
        self._reply_arrived.set()

    def _answer_probe(
        self, peer: PeerIdentity, target: str, shared_state: SharedState
    ) -> ProbeAnswer:
        return ProbeAnswer(
            identity=PeerIdentity("host-2", "0123456789abcdef"),
            acknowledged=True,
            target_heard=False,
            shared_state=shared_state,
        )


def make_admission_request(number: int) -> AdmissionRequest:
    """Return an admission request as an entry host sends it."""
    return AdmissionRequest(
        id=f"{number:016x}.1",
        pool=POOL,
        account=AccountShare(name="tw-north/union-desk"),
        chat=hash_text(str(number)),
        model="",
        prompt_tokens=4000,
        answer_tokens=250,
        zone="hsinchu-a",
    )


def time_forwarded_events(events: int) -> float:
    """Return the processor seconds per 200-byte event on a gRPC stream, both sides."""

    def send_all(request: wire.ToHome, context: object) -> Iterator[wire.FromHome]:
        for _ in range(events):
            yield wire.FromHome(busy=wire.Busy(message="x" * 200))

    handler = grpc.unary_stream_rpc_method_handler(
        send_all,
        request_deserializer=wire.ToHome.FromString,
        response_serializer=wire.FromHome.SerializeToString,
    )
    server = grpc.server(ThreadPoolExecutor(2))
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("bench.Stream", {"Run": handler}),)
    )
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_stream(
            "/bench.Stream/Run",
            request_serializer=wire.ToHome.SerializeToString,
            response_deserializer=wire.FromHome.FromString,
        )
        started = process_time()
        received = sum(1 for _ in call(wire.ToHome()))
        spent = process_time() - started
    server.stop(0)
    return spent / received
