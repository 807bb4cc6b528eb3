"""Delivery of chat requests to engines."""

from json import JSONDecodeError, loads
from socket import socket
from time import perf_counter
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from cherrylane.configuration.documents import ServiceKind
from cherrylane.configuration.merging import SiteAccount, SiteService
from cherrylane.delivery.accounts import account_key, may_use, share_of
from cherrylane.delivery.answers import EVENT_STREAM_TYPE, JSON_TYPE, Answer
from cherrylane.delivery.attempts import Attempts, Delivered, Task, refuse_upstream
from cherrylane.delivery.exchange import UpstreamRequest
from cherrylane.delivery.relay import StreamRelay
from cherrylane.delivery.streams import StreamLoop
from cherrylane.errors import Refusal, UpstreamError
from cherrylane.limits.work import Ask
from cherrylane.routing.chat import ChatCall, read_chat_call
from cherrylane.routing.hint import Hint, RecentHints, read_hint, sign_hint
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import FleetView
from cherrylane.telemetry.metrics import Metrics

USAGE_BYTES = 1024
CHAT_PATH = "/v1/chat/completions"
HINT_HEADER = "Cherrylane-Hint"
ENGINE_HEADER = "Cherrylane-Engine"


@frozen
class ChatRequest:
    """A chat request as it came from a caller."""

    request_id: str
    account: SiteAccount
    body: bytes
    chat_id: str | None
    hint: str
    caller: socket | None = None


class ChatDelivery:
    """Finds the engine for a chat and relays its answer."""

    def __init__(
        self,
        attempts: Attempts,
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
        self._recent = RecentHints()

    def deliver(self, request: ChatRequest, view: FleetView) -> Result[Answer, Refusal]:
        """Answer ``request``, or refuse it with whether it was run."""
        started = perf_counter()
        match _parse(request.body):
            case Err(refusal):
                return Err(refusal)
            case Ok(body):
                pass
        match find_model(view, request.account, body):
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
            case Ok(delivered):
                self._count_cache(entry, call, delivered)
        try:
            return self._answer(delivered, call, view, entry, started)
        except BaseException:
            delivered.finish()
            raise

    def _make_task(
        self, request: ChatRequest, call: ChatCall, view: FleetView, entry: SiteService
    ) -> Task:
        hint = self._read_hint(request, call, view, entry)
        ask = Ask(
            id=request.request_id,
            pool=PoolKey(entry.name, 0),
            account=share_of(request.account),
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
        return Task(
            ask, upstream_request, request.request_id, repeatable=True, caller=request.caller
        )

    def _read_hint(
        self, request: ChatRequest, call: ChatCall, view: FleetView, entry: SiteService
    ) -> Hint | None:
        """The caller's hint, else what this host remembers of the chat."""
        key = view.configuration.hint_keys.get(entry.site)
        given = read_hint(request.hint, key, chat=call.key) if key else None
        return given or self._recent.find(call.key)

    def _answer(
        self,
        delivered: Delivered,
        call: ChatCall,
        view: FleetView,
        entry: SiteService,
        started: float,
    ) -> Result[Answer, Refusal]:
        exchange = delivered.exchange
        content_type = exchange.headers.get("Content-Type", JSON_TYPE)
        headers = {"Content-Type": content_type, ENGINE_HEADER: delivered.grant.engine}
        headers.update(self._hint_headers(delivered, call, view, entry))
        if content_type.startswith(EVENT_STREAM_TYPE):
            relay = StreamRelay(
                delivered,
                self._loop,
                self._metrics,
                started=started,
                service=entry.name,
                silence_timeout_s=self._silence_timeout_s,
            )
            return Ok(Answer(exchange.status, headers, relay))
        try:
            body = exchange.read_whole()
            delivered.note_usage(body[-USAGE_BYTES:])
        except UpstreamError as error:
            delivered.note_failure()
            return Err(refuse_upstream(error, exchange.runner))
        finally:
            delivered.finish()
        self._metrics.first_token.record(perf_counter() - started)
        self._metrics.count("answers", entry.name)
        return Ok(Answer(exchange.status, headers, body))

    def _hint_headers(
        self, delivered: Delivered, call: ChatCall, view: FleetView, entry: SiteService
    ) -> dict[str, str]:
        if delivered.exchange.status != 200:
            return {}
        hint = Hint(call.key, delivered.grant.engine, call.prompt_tokens)
        self._recent.add(hint)
        key = view.configuration.hint_keys.get(entry.site)
        return {HINT_HEADER: sign_hint(hint, key)} if key else {}

    def _count_cache(self, entry: SiteService, call: ChatCall, delivered: Delivered) -> None:
        cached = min(call.prompt_tokens, delivered.grant.cached_tokens)
        self._metrics.count("prompt_tokens", entry.name, call.prompt_tokens)
        self._metrics.count("cached_tokens", entry.name, cached)


def find_model(view: FleetView, account: SiteAccount, body: Any) -> Result[SiteService, Refusal]:
    """Return the service that serves the model that ``body`` names."""
    model = body.get("model") if isinstance(body, dict) else None
    if not isinstance(model, str):
        return Err(
            Refusal(
                status=400,
                code="invalid_request",
                message="the body is not an object with a text under 'model'",
                remedy="name a model that GET /v1/models lists",
            )
        )
    entry = view.configuration.services_by_model.get(model)
    if entry is None or entry.service.kind is not ServiceKind.MODEL or not may_use(account, entry):
        return Err(
            Refusal(
                status=404,
                code="model_not_found",
                message=f"there is no model {model[:100]!r} for this account",
                remedy="name a model that GET /v1/models lists",
            )
        )
    return Ok(entry)


def _parse(body: bytes) -> Result[Any, Refusal]:
    try:
        return Ok(loads(body))
    except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(
            Refusal(
                status=400,
                code="invalid_json",
                message=f"the body is not valid JSON ({type(error).__name__})",
                remedy="send one JSON object in UTF-8",
            )
        )
