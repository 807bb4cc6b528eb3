"""Client side of the admission stream to one home."""

from collections.abc import Callable, Iterator
from queue import SimpleQueue
from threading import Event, Thread

import grpc
from logbook import Logger

from cherrylane.idempotency.claims import ClaimRequest
from cherrylane.limits.work import AdmissionRequest, Grant, GrantOutcome
from cherrylane.peer import peer_pb2 as wire
from cherrylane.peer.identity import PeerIdentity, make_metadata
from cherrylane.peer.messages import (
    HomeReply,
    admission_request_to_wire,
    claim_to_wire,
    holdings_to_wire,
    release_to_wire,
    reply_from_wire,
)
from cherrylane.peer.peer_pb2_grpc import PeerStub
from cherrylane.routing.homes import PoolKey
from cherrylane.telemetry.traffic import TrafficCounter

RECONNECT_DELAY_S = 0.1
CHANNEL_OPTIONS = [
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
]

log = Logger("cherrylane.peer")


class HomeLink:
    """Keeps a stream to one home open, and reconnects after errors, until it is closed.

    ``list_holdings`` is called when the stream opens. The grants that it returns are sent first, so
    that the home counts exactly what this host holds. ``on_down`` is called each time the stream
    breaks.
    """

    def __init__(
        self,
        endpoint: str,
        identity: PeerIdentity,
        key: str,
        *,
        list_holdings: Callable[[], dict[PoolKey, list[Grant]]],
        on_reply: Callable[[HomeReply], None],
        on_down: Callable[[], None],
        traffic: TrafficCounter,
    ) -> None:
        self._endpoint = endpoint
        self._identity = identity
        self._metadata = make_metadata(identity, key)
        self._list_holdings = list_holdings
        self._on_reply = on_reply
        self._on_down = on_down
        self._traffic = traffic
        self._outgoing: SimpleQueue[wire.ToHome | None] = SimpleQueue()
        self._stopping = Event()
        self._failure_logged = False
        self._channel = grpc.insecure_channel(endpoint, options=CHANNEL_OPTIONS)
        self._thread = Thread(target=self._run, name=f"home-{endpoint}", daemon=True)
        self._thread.start()

    def request_admission(self, request: AdmissionRequest) -> None:
        """Send ``request``; later, either ``on_reply`` gets the reply or ``on_down`` is called."""
        self._send(wire.ToHome(ask=admission_request_to_wire(request)))

    def release(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Release ``grant``, and report its outcome."""
        self._outgoing.put(release_to_wire(grant, outcome))

    def claim(self, request: ClaimRequest) -> None:
        """Send a claim request; its reply arrives like that to :meth:`request_admission`."""
        self._send(claim_to_wire(request))

    def report_holdings(self, pool: PoolKey, grants: list[Grant]) -> None:
        """Report this host's grants of ``pool`` to a home that has just taken it over."""
        self._outgoing.put(holdings_to_wire(pool, grants))

    def close(self) -> None:
        """Close the stream and the channel."""
        self._stopping.set()
        self._outgoing.put(None)
        self._channel.close()

    def _send(self, message: wire.ToHome) -> None:
        self._outgoing.put(message)
        if self._stopping.is_set():
            self._on_down()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._converse(self._outgoing)
            # Messages queued from now on go to the next stream; requests on this one have failed.
            self._outgoing = SimpleQueue()
            self._on_down()
            self._stopping.wait(RECONNECT_DELAY_S)
        self._on_down()

    def _converse(self, outgoing: "SimpleQueue[wire.ToHome | None]") -> None:
        try:
            replies = PeerStub(self._channel).Converse(
                self._generate_messages(outgoing), metadata=self._metadata
            )
            for message in replies:
                self._traffic.count_received("admission", message.ByteSize())
                self._failure_logged = False
                self._on_reply(reply_from_wire(message, self._identity.holder))
        except (grpc.RpcError, ValueError) as error:
            if not self._stopping.is_set() and not self._failure_logged:
                self._failure_logged = True
                log.notice(f"stream to home {self._endpoint} broke: {_describe_error(error)}")
        finally:
            outgoing.put(None)

    def _generate_messages(
        self, outgoing: "SimpleQueue[wire.ToHome | None]"
    ) -> Iterator[wire.ToHome]:
        for pool, grants in self._list_holdings().items():
            yield self._count_sent(holdings_to_wire(pool, grants))
        while (message := outgoing.get()) is not None:
            yield self._count_sent(message)

    def _count_sent(self, message: wire.ToHome) -> wire.ToHome:
        self._traffic.count_sent("admission", message.ByteSize())
        return message


def _describe_error(error: Exception) -> str:
    if isinstance(error, grpc.RpcError) and isinstance(error, grpc.Call):
        return f"{error.code().name}: {error.details()}"
    return str(error)
