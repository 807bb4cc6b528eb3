"""Operator endpoints of a daemon: health, status, metrics, and explanations of routing."""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import asdict, evolve
from result import Err, Ok

from cherrylane.delivery.pools import MAX_POOLS
from cherrylane.delivery.responses import CallerResponse, make_json_response, make_refusal_response
from cherrylane.errors import Refusal
from cherrylane.http.requests import CallerRequest, read_request
from cherrylane.http.server import Environ, StartResponse, write_response
from cherrylane.limits.homes import LocalHomes
from cherrylane.limits.work import AccountShare, AdmissionRequest
from cherrylane.routing.chat import hash_chat
from cherrylane.routing.homes import PoolKey
from cherrylane.routing.view import FleetView, ServiceView
from cherrylane.telemetry.metrics import Metrics

MAX_BODY_BYTES = 64 * 1024
EXPLAINED_PROMPT_TOKENS = 1000

StatusReader = Callable[[], dict[str, Any]]


class OperatorApplication:
    """WSGI application that serves operators."""

    def __init__(
        self,
        read_view: Callable[[], FleetView],
        read_status: StatusReader,
        homes: LocalHomes,
        metrics: Metrics,
    ) -> None:
        self._homes = homes
        self._read_view = read_view
        self._read_status = read_status
        self._metrics = metrics

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        match read_request(environ, MAX_BODY_BYTES):
            case Err(refusal):
                response = make_refusal_response(refusal)
            case Ok(request):
                response = self._route(request)
        return write_response(response, start_response)

    def _route(self, request: CallerRequest) -> CallerResponse:
        match request.path:
            case "/health":
                status = self._read_status()
                return make_json_response(
                    {"serving": status["serving"]}, 200 if status["serving"] else 503
                )
            case "/status":
                return make_json_response(self._read_status())
            case "/metrics":
                headers = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
                return CallerResponse(200, headers, self._metrics.render())
            case "/explain":
                return self._explain(request)
            case path:
                return make_refusal_response(
                    Refusal(
                        status=404,
                        code="not_found",
                        message=f"unknown path {path[:100]!r}",
                        remedy="use /health, /status, /metrics or /explain",
                    )
                )

    def _explain(self, request: CallerRequest) -> CallerResponse:
        view = self._read_view()
        model = request.parameter("model")
        entry = view.configuration.services_by_model.get(model)
        if entry is None:
            known = ", ".join(sorted(view.configuration.services_by_model))
            return make_refusal_response(
                Refusal(
                    status=404,
                    code="model_not_found",
                    message=f"unknown model {model[:100]!r}",
                    remedy=f"known models: {known or 'none yet; apply a configuration first'}",
                )
            )
        admission_request = _make_admission_request(
            request, entry.name, entry.service.expected_answer_tokens
        )
        return make_json_response(
            self._explain_pools(view, view.services[entry.name], admission_request)
        )

    def _explain_pools(
        self, view: FleetView, service: ServiceView, admission_request: AdmissionRequest
    ) -> dict[str, Any]:
        pools = [
            self._explain_pool(service, evolve(admission_request, pool=pool))
            for pool in service.rank_pools(
                admission_request.chat, MAX_POOLS, model=admission_request.model
            )
        ]
        return {
            "chat": f"{admission_request.chat:016x}",
            "service": service.entry.name,
            "generation": view.configuration.generation,
            "pools": pools,
        }

    def _explain_pool(
        self, service: ServiceView, admission_request: AdmissionRequest
    ) -> dict[str, Any]:
        home = service.homes.get(admission_request.pool)
        engines = self._homes.explain(admission_request)
        return {
            "pool": str(admission_request.pool),
            "home": home.name if home is not None else "",
            "engines": None if engines is None else [asdict(engine) for engine in engines],
        }


def _make_admission_request(
    request: CallerRequest, service: str, answer_tokens: int
) -> AdmissionRequest:
    account = request.parameter("account")
    return AdmissionRequest(
        id="explain",
        pool=PoolKey(service, 0),
        account=AccountShare(name=account),
        chat=hash_chat(account, request.parameter("chat")),
        model=request.parameter("model"),
        prompt_tokens=EXPLAINED_PROMPT_TOKENS,
        answer_tokens=answer_tokens,
    )
