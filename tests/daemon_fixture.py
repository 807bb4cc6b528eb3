"""The thread daemon's caller side in front of one scripted upstream, without peers and platform."""

from hashlib import sha256
from socket import SO_LINGER, SOL_SOCKET, create_connection, socket
from threading import Event
from typing import Any, cast

from attrs import define
from result import Err, Ok, Result
from testtools import TestCase

from cherrylane.configuration.documents import (
    Base,
    ClientAccount,
    Overlay,
    ServiceKind,
    ServiceOverlay,
    SiteEntry,
)
from cherrylane.configuration.merging import merge_documents
from cherrylane.delivery.admission import AdmissionClient
from cherrylane.delivery.attempts import AttemptRunner
from cherrylane.delivery.chats import ChatDelivery
from cherrylane.delivery.exchange import UpstreamClient
from cherrylane.delivery.plain import PlainDelivery
from cherrylane.delivery.streams import StreamLoop
from cherrylane.http.callers import CallerApplication
from cherrylane.http.inbound import RESET_ON_CLOSE
from cherrylane.http.server import HttpServer
from cherrylane.idempotency.claims import Claim, ClaimOutcome, ClaimRequest
from cherrylane.idempotency.guard import IdempotencyGuard
from cherrylane.limits.work import (
    UNREPORTED,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
)
from cherrylane.routing.view import build_view
from cherrylane.settings.schema import CallerSettings, Endpoint, HostSettings, UpstreamSettings
from cherrylane.telemetry.metrics import Metrics
from cherrylane.telemetry.traffic import TrafficCounter
from tests.builders import MODEL, SERVICE, SITE, make_roster, make_runner
from tests.scripted import ScriptedUpstream
from tests.wire import LOOPBACK

KEY = "key"
PLAIN_SERVICE = "cases"
WAIT_S = 10.0


class GrantAll:
    """Admits each request to the only upstream, and stores claims in memory."""

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self.outcomes: list[GrantOutcome] = []

    def admit(self, request: AdmissionRequest) -> Result[Grant, AdmissionRefusal]:
        if request.excluded:
            return Err(AdmissionRefusal(request.id, "no_engine", "no other upstream", 1.0))
        return Ok(Grant(request.id, "h", request.pool, request.pool.service, "a", 1.0))

    def release(self, grant: Grant, outcome: GrantOutcome = UNREPORTED) -> None:
        self.outcomes.append(outcome)

    def claim(self, request: ClaimRequest, wait_s: float) -> ClaimOutcome:
        if request.withdraw:
            self.claims.pop(request.claim.key, None)
            return ClaimOutcome.WITHDRAWN
        known = self.claims.setdefault(request.claim.key, request.claim)
        return ClaimOutcome.FRESH if known == request.claim else ClaimOutcome.TAKEN


@define
class Answer:
    """What the upstream sends to the next request; ``resets`` if it ends with a TCP reset."""

    data: bytes = b""
    resets: bool = False

    def send(self, connection: socket, closing: Event) -> None:
        connection.sendall(self.data)
        if self.resets:
            connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
            connection.close()


class DaemonTest(TestCase):
    """A test with a caller side in front of one upstream, which sends ``answer``."""

    def setUp(self) -> None:
        super().setUp()
        self.answer = Answer()
        self.upstream = ScriptedUpstream(self.serve)
        self.addCleanup(self.upstream.close)
        self.grants = GrantAll()
        metrics = Metrics(TrafficCounter())
        admission = cast(AdmissionClient, self.grants)
        attempts = AttemptRunner(admission, UpstreamClient(UpstreamSettings()), metrics)
        loop = StreamLoop()
        loop.start()
        self.addCleanup(loop.stop)
        callers = CallerSettings(Endpoint(LOOPBACK, 0), threads=8)
        view = self.make_view()
        application = CallerApplication(
            callers,
            HostSettings("host-1", SITE, "hsinchu-a"),
            lambda: view,
            ChatDelivery(attempts, loop, metrics, zone="hsinchu-a", silence_timeout_s=WAIT_S),
            PlainDelivery(attempts, IdempotencyGuard(self.grants), metrics, zone="hsinchu-a"),
            metrics,
        )
        self.server = HttpServer(
            callers.listen,
            application,
            threads=callers.threads,
            idle_timeout_s=WAIT_S,
            max_header_bytes=callers.max_header_bytes,
            name="callers",
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def serve(self, connection: socket, closing: Event) -> None:
        self.answer.send(connection, closing)

    def make_view(self) -> Any:
        services = {
            SERVICE: ServiceOverlay(ServiceKind.MODEL, models=[MODEL]),
            PLAIN_SERVICE: ServiceOverlay(ServiceKind.PLAIN),
        }
        account = ClientAccount("union-desk", sha256(KEY.encode()).hexdigest())
        overlay = Overlay(SITE, "a-hint-key-for-tests", services, [account])
        base = Base(sites={SITE: SiteEntry(firm="hsinchu")})
        configuration = merge_documents(base, [overlay], generation=1).unwrap()
        port = self.upstream.runner.port
        runners = {name: make_runner(name, service=name, port=port) for name in services}
        return build_view(configuration, make_roster("host-1"), runners)

    def fetch(
        self, method: str = "GET", *, extra: str = "", body: bytes = b"", protocol: str = "1.1"
    ) -> bytes:
        """Send a request to the plain service, and return all that the caller receives."""
        return self.send(f"{method} /{PLAIN_SERVICE}/x HTTP/{protocol}", extra, body)

    def fetch_stream(self, *, protocol: str = "1.1") -> bytes:
        """Send a chat request, and return all that the caller receives."""
        message = b'{"role": "user", "content": "hello"}'
        body = b'{"model": "%b", "stream": true, "messages": [%b]}' % (MODEL.encode(), message)
        return self.send(f"POST /v1/chat/completions HTTP/{protocol}", "", body)

    def send(self, line: str, extra: str, body: bytes) -> bytes:
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = f"{line}\r\nHost: h\r\nAuthorization: Bearer {KEY}\r\n{length}{extra}"
        received = b""
        with create_connection((LOOPBACK, self.server.port), WAIT_S) as connection:
            connection.sendall(f"{head}Connection: close\r\n\r\n".encode() + body)
            while part := connection.recv(65536):
                received += part
        return received
