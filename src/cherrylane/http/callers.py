"""Caller endpoints: chat completions, models, addresses and plain services."""

from collections.abc import Callable, Iterable

from logbook import Logger
from result import Err, Ok, Result

from cherrylane.configuration.documents import ServiceKind
from cherrylane.configuration.merging import SiteAccount
from cherrylane.delivery.accounts import may_use
from cherrylane.delivery.chats import CHAT_PATH, HINT_HEADER, ChatDelivery, ChatRequest
from cherrylane.delivery.plain import PlainDelivery, PlainRequest
from cherrylane.delivery.responses import CallerResponse, make_json_response, make_refusal_response
from cherrylane.errors import CallerDisconnectedError, Execution, Refusal
from cherrylane.http.requests import (
    CHAT_HEADER,
    IDEMPOTENCY_HEADER,
    CallerRequest,
    authenticate,
    read_identifier,
    read_request,
)
from cherrylane.http.server import Environ, StartResponse, write_response
from cherrylane.routing.addresses import rank_addresses
from cherrylane.routing.view import FleetView
from cherrylane.settings.schema import CallerSettings, HostSettings
from cherrylane.telemetry.metrics import Metrics

MODELS_PATH = "/v1/models"
ADDRESS_PATH = "/v1/address"
REQUEST_HEADER = "Cherrylane-Request"

log = Logger("cherrylane.http")


class CallerApplication:
    """WSGI application that serves callers."""

    def __init__(
        self,
        settings: CallerSettings,
        host: HostSettings,
        read_view: Callable[[], FleetView],
        chats: ChatDelivery,
        plain: PlainDelivery,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._host = host
        self._read_view = read_view
        self._chats = chats
        self._plain = plain
        self._metrics = metrics

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        match read_request(environ, self._settings.max_body_bytes):
            case Err(refusal):
                return write_response(self._refuse(refusal), start_response)
            case Ok(request):
                pass
        response = self._respond(request)
        response.headers[REQUEST_HEADER] = request.id
        return write_response(response, start_response)

    def _respond(self, request: CallerRequest) -> CallerResponse:
        try:
            match self._route(request):
                case Ok(response):
                    return response
                case Err(refusal):
                    return self._refuse(refusal)
        except CallerDisconnectedError:
            self._metrics.count("dropped_answers", "caller_gone")
            log.info(
                "caller closed the connection; request cancelled", extra={"request": request.id}
            )
            return CallerResponse(400, {}, b"")
        except Exception:
            log.exception("unhandled error in a request", extra={"request": request.id})
            return self._refuse(_INTERNAL_ERROR)

    def _route(self, request: CallerRequest) -> Result[CallerResponse, Refusal]:
        view = self._read_view()
        match authenticate(request, view.configuration):
            case Err(refusal):
                return Err(refusal)
            case Ok(account):
                pass
        match (request.method, request.path):
            case ("POST", path) if path == CHAT_PATH:
                return self._deliver_chat(request, account, view)
            case ("GET", path) if path == MODELS_PATH:
                return Ok(self._list_models(account, view))
            case ("GET", path) if path == ADDRESS_PATH:
                return Ok(self._list_addresses(request, view))
            case (method, path) if path in (CHAT_PATH, MODELS_PATH, ADDRESS_PATH):
                return Err(_make_method_refusal(method, path))
            case (_, path):
                return self._deliver_plain(request, account, view, path)

    def _deliver_chat(
        self, request: CallerRequest, account: SiteAccount, view: FleetView
    ) -> Result[CallerResponse, Refusal]:
        match read_identifier(request, CHAT_HEADER):
            case Err(refusal):
                return Err(refusal)
            case Ok(chat_id):
                pass
        chat = ChatRequest(
            request_id=request.id,
            account=account,
            body=request.body,
            chat_id=chat_id or None,
            hint=request.header(HINT_HEADER),
            caller=request.caller,
        )
        return self._chats.deliver(chat, view)

    def _deliver_plain(
        self, request: CallerRequest, account: SiteAccount, view: FleetView, path: str
    ) -> Result[CallerResponse, Refusal]:
        match read_identifier(request, IDEMPOTENCY_HEADER):
            case Err(refusal):
                return Err(refusal)
            case Ok(idempotency_key):
                pass
        _, service, *rest = path.split("/", 2)
        target = "/" + (rest[0] if rest else "")
        plain = PlainRequest(
            request_id=request.id,
            account=account,
            service=service,
            method=request.method,
            path=f"{target}?{request.query}" if request.query else target,
            headers=request.headers,
            body=request.body,
            caller=request.caller,
            idempotency_key=idempotency_key,
        )
        return self._plain.deliver(plain, view)

    def _list_models(self, account: SiteAccount, view: FleetView) -> CallerResponse:
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": entry.site}
            for model, entry in sorted(view.configuration.services_by_model.items())
            if entry.service.kind is ServiceKind.MODEL and may_use(account, entry)
        ]
        return make_json_response({"object": "list", "data": models})

    def _list_addresses(self, request: CallerRequest, view: FleetView) -> CallerResponse:
        model = request.parameter("model")
        entry = view.configuration.services_by_model.get(model)
        name = entry.name if entry is not None else request.parameter("service")
        hosts = rank_addresses(view, self._host, service=name)
        addresses = [
            {"host": host.name, "zone": host.zone, "url": f"http://{host.callers}"}
            for host in hosts
        ]
        lifetime_s = self._settings.address_lifetime_s
        return make_json_response({"addresses": addresses, "lifetime_s": lifetime_s})

    def _refuse(self, refusal: Refusal) -> CallerResponse:
        self._metrics.count("refusals", refusal.code)
        return make_refusal_response(refusal)


def _make_method_refusal(method: str, path: str) -> Refusal:
    return Refusal(
        status=405,
        code="method_not_allowed",
        message=f"method {method} is not allowed for {path}",
        remedy="use POST for chat completions and GET for lists",
    )


_INTERNAL_ERROR = Refusal(
    status=500,
    code="internal_error",
    message="internal error while handling the request",
    remedy="check whether the request was executed before sending it again",
    execution=Execution.UNKNOWN,
)
