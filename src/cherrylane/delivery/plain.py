"""Delivery of requests to plain services; some of these requests must not run twice."""

from collections.abc import Iterator, Mapping
from socket import socket

from attrs import frozen
from result import Err, Ok, Result

from cherrylane.configuration.documents import ServiceKind
from cherrylane.configuration.merging import SiteAccount
from cherrylane.delivery.accounts import account_key, make_account_share, may_use
from cherrylane.delivery.attempts import (
    AttemptRunner,
    DeliveryTask,
    GrantedExchange,
    refuse_upstream,
)
from cherrylane.delivery.chats import ENGINE_HEADER
from cherrylane.delivery.exchange import UpstreamRequest
from cherrylane.delivery.responses import CallerResponse, StreamingBody
from cherrylane.errors import Refusal, UpstreamError
from cherrylane.fields import read_digits
from cherrylane.idempotency.claims import make_claim
from cherrylane.idempotency.guard import IdempotencyGuard
from cherrylane.limits.work import AdmissionRequest
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.rendezvous import hash_text
from cherrylane.routing.view import FleetView, ServiceView
from cherrylane.telemetry.metrics import Metrics

PLAIN_REQUEST_WORK = 1
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
UNFORWARDED_HEADERS = frozenset({"authorization", "cherrylane-chat", "cherrylane-hint"})
ACCOUNT_HEADER = "Cherrylane-Account"


@frozen
class PlainRequest:
    """A request to ``/<service>/<path>`` as received from a caller."""

    request_id: str
    account: SiteAccount
    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    caller: socket | None = None
    idempotency_key: str = ""


class PlainDelivery:
    """Forwards requests to the upstreams of plain services."""

    def __init__(
        self, attempts: AttemptRunner, guard: IdempotencyGuard, metrics: Metrics, *, zone: str
    ) -> None:
        self._guard = guard
        self._attempts = attempts
        self._metrics = metrics
        self._zone = zone

    def deliver(self, request: PlainRequest, view: FleetView) -> Result[CallerResponse, Refusal]:
        """Return the response to ``request``, or a refusal that says whether it was run."""
        service = view.services.get(request.service)
        if service is None or service.entry.service.kind is not ServiceKind.PLAIN:
            return Err(_make_not_found_refusal(request.service))
        if not may_use(request.account, service.entry):
            return Err(_make_not_found_refusal(request.service))
        self._metrics.count("requests", request.service)
        repeatable = request.method in service.entry.service.repeatable_methods
        if repeatable or not request.idempotency_key:
            return self._run_attempts(request, view, service, repeatable=repeatable)
        claim = make_claim(
            account_key(request.account),
            request.service,
            request.idempotency_key,
            claimant=request.request_id,
            request=b"\n".join((request.method.encode(), request.path.encode(), request.body)),
        )
        return self._guard.run(
            claim,
            lambda: self._run_attempts(request, view, service, repeatable=False),
            site=service.entry.site,
        )

    def _run_attempts(
        self, request: PlainRequest, view: FleetView, service: ServiceView, *, repeatable: bool
    ) -> Result[CallerResponse, Refusal]:
        task = self._make_task(request, service, repeatable=repeatable)
        match self._attempts.run(task, view, service):
            case Err(refusal):
                return Err(refusal)
            case Ok(granted):
                return self._respond(request, granted)

    def _make_task(
        self, request: PlainRequest, service: ServiceView, *, repeatable: bool
    ) -> DeliveryTask:
        settings = service.entry.service
        admission_request = AdmissionRequest(
            id=request.request_id,
            pool=PoolKey(request.service, 0),
            account=make_account_share(request.account),
            chat=hash_text(request.request_id),
            model="",
            prompt_tokens=0,
            answer_tokens=PLAIN_REQUEST_WORK,
            zone=self._zone,
            wait_s=settings.queue.max_wait_s,
        )
        upstream_request = UpstreamRequest(
            request.method, request.path, _make_upstream_headers(request), request.body
        )
        return DeliveryTask(
            admission_request,
            upstream_request,
            request.request_id,
            repeatable=repeatable,
            # A request that may not be repeated is completed even if its caller disconnects.
            caller=request.caller if repeatable else None,
        )

    def _respond(
        self, request: PlainRequest, granted: GrantedExchange
    ) -> Result[CallerResponse, Refusal]:
        exchange = granted.exchange
        headers = {
            name: value
            for name, value in exchange.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        }
        headers[ENGINE_HEADER] = granted.grant.engine
        length = exchange.headers.get("Content-Length", "")
        if _is_large(length):
            headers["Content-Length"] = length
            body = StreamingBody(self._relay(request, granted), granted.finish)
            return Ok(CallerResponse(exchange.status, headers, body))
        try:
            response_body = exchange.read_full_body()
        except UpstreamError as error:
            granted.record_failure()
            return Err(refuse_upstream(error, exchange.runner))
        finally:
            granted.finish()
        self._metrics.count("answers", request.service)
        return Ok(CallerResponse(exchange.status, headers, response_body))

    def _relay(self, request: PlainRequest, granted: GrantedExchange) -> Iterator[bytes]:
        try:
            yield from granted.exchange.chunks()
            self._metrics.count("answers", request.service)
        finally:
            granted.finish()


def _is_large(length: str) -> bool:
    """Return whether a Content-Length announces a body that is not buffered."""
    try:
        return bool(length) and read_digits(length) > MAX_BUFFERED_RESPONSE_BYTES
    except ValueError:
        return False


def _make_upstream_headers(request: PlainRequest) -> dict[str, str]:
    headers = {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in UNFORWARDED_HEADERS
    }
    headers[ACCOUNT_HEADER] = account_key(request.account)
    return headers


def _make_not_found_refusal(service: str) -> Refusal:
    return Refusal(
        status=404,
        code="service_not_found",
        message=f"service {service[:100]!r} does not exist or is not available to this account",
        remedy="check the service name, which is the first segment of the path",
    )
