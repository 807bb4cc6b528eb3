"""Delivery of chat completion requests to engines."""

from json import loads
from socket import socket
from time import perf_counter
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from cherrylane.configuration.documents import ServiceKind
from cherrylane.configuration.merging import SiteAccount, SiteService
from cherrylane.delivery.accounts import account_key, make_account_share, may_use
from cherrylane.delivery.attempts import (
    AttemptRunner,
    DeliveryTask,
    GrantedExchange,
    refuse_upstream,
)
from cherrylane.delivery.exchange import UpstreamRequest
from cherrylane.delivery.relay import StreamRelay
from cherrylane.delivery.responses import JSON_TYPE, CallerResponse
from cherrylane.delivery.streams import StreamLoop
from cherrylane.errors import DECODING_ERRORS, Refusal, UpstreamError
from cherrylane.http.messages import EVENT_STREAM_TYPE
from cherrylane.limits.work import AdmissionRequest
from cherrylane.routing.chat import ChatCall, read_chat_call
from cherrylane.routing.hint import Hint, RecentHints, read_hint, sign_hint
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import FleetView
from cherrylane.telemetry.metrics import Metrics

USAGE_TAIL_BYTES = 1024
CHAT_PATH = "/v1/chat/completions"
HINT_HEADER = "Cherrylane-Hint"
ENGINE_HEADER = "Cherrylane-Engine"


@frozen
class ChatRequest:
    """A chat completion request as received from a caller."""

    request_id: str
    account: SiteAccount
    body: bytes
    chat_id: str | None
    hint: str
    caller: socket | None = None


class ChatDelivery:
    """Selects the engine for a chat request and relays its response."""

    def __init__(
        self,
        attempts: AttemptRunner,
        loop: StreamLoop,
        metrics: Metrics,
        *,
        zone: str,
        silence_timeout_s: float,
    ) -> None:
        self._loop = loop
        self._silence_timeout_s = silence_timeout_s
        self._attempts = attempts
        self._metrics = metrics
        self._zone = zone
        self._recent_hints = RecentHints()

    def deliver(self, request: ChatRequest, view: FleetView) -> Result[CallerResponse, Refusal]:
        """Return the response to ``request``, or a refusal that says whether it was run."""
        started = perf_counter()
        match _parse(request.body):
            case Err(refusal):
                return Err(refusal)
            case Ok(body):
                pass
        match find_model_service(view, request.account, body):
            case Err(refusal):
                return Err(refusal)
            case Ok(entry):
                pass
        match read_chat_call(
            body,
            account=account_key(request.account),
            chat_id=request.chat_id,
            expected_answer_tokens=entry.service.expected_answer_tokens,
        ):
            case Err(refusal):
                return Err(refusal)
            case Ok(call):
                pass
        self._metrics.count("requests", entry.name)
        task = self._make_task(request, call, view, entry)
        match self._attempts.run(task, view, view.services[entry.name]):
            case Err(refusal):
                return Err(refusal)
            case Ok(granted):
                self._count_prompt_tokens(entry, call, granted)
        try:
            return self._respond(granted, call, view, entry, started)
        except BaseException:
            granted.finish()
            raise

    def _make_task(
        self, request: ChatRequest, call: ChatCall, view: FleetView, entry: SiteService
    ) -> DeliveryTask:
        hint = self._read_hint(request, call, view, entry)
        admission_request = AdmissionRequest(
            id=request.request_id,
            pool=PoolKey(entry.name, 0),
            account=make_account_share(request.account),
            chat=call.key,
            model=call.model,
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
            hinted=hint.engine if hint else "",
            hinted_tokens=hint.cached_tokens if hint else 0,
            zone=self._zone,
            wait_s=entry.service.queue.max_wait_s,
        )
        headers = {"Content-Type": JSON_TYPE, "Accept": f"{EVENT_STREAM_TYPE}, {JSON_TYPE}"}
        upstream_request = UpstreamRequest("POST", CHAT_PATH, headers, request.body)
        return DeliveryTask(
            admission_request,
            upstream_request,
            request.request_id,
            repeatable=True,
            caller=request.caller,
        )

    def _read_hint(
        self, request: ChatRequest, call: ChatCall, view: FleetView, entry: SiteService
    ) -> Hint | None:
        """Return the caller's hint if it is validly signed, else the one recorded on this host."""
        key = view.configuration.hint_keys.get(entry.site)
        given = read_hint(request.hint, key, chat=call.key) if key else None
        return given or self._recent_hints.find(call.key)

    def _respond(
        self,
        granted: GrantedExchange,
        call: ChatCall,
        view: FleetView,
        entry: SiteService,
        started: float,
    ) -> Result[CallerResponse, Refusal]:
        exchange = granted.exchange
        content_type = exchange.headers.get("Content-Type", JSON_TYPE)
        headers = {"Content-Type": content_type, ENGINE_HEADER: granted.grant.engine}
        headers.update(self._hint_headers(granted, call, view, entry))
        if content_type.startswith(EVENT_STREAM_TYPE):
            relay = StreamRelay(
                granted,
                self._loop,
                self._metrics,
                started=started,
                service=entry.name,
                silence_timeout_s=self._silence_timeout_s,
            )
            return Ok(CallerResponse(exchange.status, headers, relay))
        try:
            body = exchange.read_full_body()
            granted.record_usage(body[-USAGE_TAIL_BYTES:])
        except UpstreamError as error:
            granted.record_failure()
            return Err(refuse_upstream(error, exchange.runner))
        finally:
            granted.finish()
        self._metrics.first_token.record(perf_counter() - started)
        self._metrics.count("answers", entry.name)
        return Ok(CallerResponse(exchange.status, headers, body))

    def _hint_headers(
        self, granted: GrantedExchange, call: ChatCall, view: FleetView, entry: SiteService
    ) -> dict[str, str]:
        if granted.exchange.status != 200:
            return {}
        hint = Hint(call.key, granted.grant.engine, call.prompt_tokens)
        self._recent_hints.add(hint)
        key = view.configuration.hint_keys.get(entry.site)
        return {HINT_HEADER: sign_hint(hint, key)} if key else {}

    def _count_prompt_tokens(
        self, entry: SiteService, call: ChatCall, granted: GrantedExchange
    ) -> None:
        cached = min(call.prompt_tokens, granted.grant.cached_tokens)
        self._metrics.count("prompt_tokens", entry.name, call.prompt_tokens)
        self._metrics.count("cached_tokens", entry.name, cached)


def find_model_service(
    view: FleetView, account: SiteAccount, body: Any
) -> Result[SiteService, Refusal]:
    """Return the service for the model that the request ``body`` names."""
    model = body.get("model") if isinstance(body, dict) else None
    if not isinstance(model, str):
        return Err(
            Refusal(
                status=400,
                code="invalid_request",
                message="the body is not a JSON object with a string under 'model'",
                remedy="use a model that GET /v1/models lists",
            )
        )
    entry = view.configuration.services_by_model.get(model)
    if entry is None or entry.service.kind is not ServiceKind.MODEL or not may_use(account, entry):
        return Err(
            Refusal(
                status=404,
                code="model_not_found",
                message=f"model {model[:100]!r} does not exist or is not available to this account",
                remedy="use a model that GET /v1/models lists",
            )
        )
    return Ok(entry)


def _parse(body: bytes) -> Result[Any, Refusal]:
    try:
        return Ok(loads(body))
    except DECODING_ERRORS as error:
        return Err(
            Refusal(
                status=400,
                code="invalid_json",
                message=f"the body is not valid JSON ({type(error).__name__})",
                remedy="send a single JSON object in UTF-8",
            )
        )
