"""What operators can ask of one daemon: health, status, metrics, and why a chat goes where."""

from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok

from cherrylane.delivery.answers import Answer, answer_json, answer_refusal
from cherrylane.errors import Refusal
from cherrylane.http.requests import CallerRequest, read_request
from cherrylane.http.server import Environ, StartResponse, write_answer
from cherrylane.routing.rendezvous import hash_text
from cherrylane.routing.view import FleetView, ServiceView
from cherrylane.telemetry.metrics import Metrics

MAX_BODY_BYTES = 64 * 1024
EXPLAIN_RANKS = 5

StatusReader = Callable[[], dict[str, Any]]


class OperatorApplication:
    """The WSGI application on the operators' side."""

    def __init__(
        self, read_view: Callable[[], FleetView], read_status: StatusReader, metrics: Metrics
    ) -> None:
        self._read_view = read_view
        self._read_status = read_status
        self._metrics = metrics

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        match read_request(environ, MAX_BODY_BYTES):
            case Err(refusal):
                answer = answer_refusal(refusal)
            case Ok(request):
                answer = self._route(request)
        return write_answer(answer, start_response)

    def _route(self, request: CallerRequest) -> Answer:
        match request.path:
            case "/health":
                status = self._read_status()
                return answer_json(
                    {"serving": status["serving"]}, 200 if status["serving"] else 503
                )
            case "/status":
                return answer_json(self._read_status())
            case "/metrics":
                headers = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
                return Answer(200, headers, self._metrics.render())
            case "/explain":
                return self._explain(request)
            case path:
                return answer_refusal(
                    Refusal(
                        status=404,
                        code="not_found",
                        message=f"there is no {path[:100]!r} here",
                        remedy="ask for /health, /status, /metrics or /explain",
                    )
                )

    def _explain(self, request: CallerRequest) -> Answer:
        view = self._read_view()
        model = request.parameter("model")
        entry = view.configuration.services_by_model.get(model)
        if entry is None:
            known = ", ".join(sorted(view.configuration.services_by_model))
            return answer_refusal(
                Refusal(
                    status=404,
                    code="model_not_found",
                    message=f"there is no model {model[:100]!r}",
                    remedy=f"name one of {known or 'none yet: apply a configuration first'}",
                )
            )
        key = hash_text(f"{request.parameter('account')}\n{request.parameter('chat')}")
        return answer_json(explain_chat(view, view.services[entry.name], model, key))


def explain_chat(view: FleetView, service: ServiceView, model: str, key: int) -> dict[str, Any]:
    """Return where the chat with hash ``key`` would go, and why."""
    ranked = service.rank(key, EXPLAIN_RANKS, model=model)
    order = [_explain_engine(service, name, rank) for rank, name in enumerate(ranked, start=1)]
    reason = (
        "the order is a rendezvous hash of the chat and the engines; the home takes the engine "
        "where the chat ran last, else the first within the load bound"
    )
    return {
        "chat": f"{key:016x}",
        "service": service.entry.name,
        "generation": view.configuration.generation,
        "order": order,
        "reason": reason,
    }


def _explain_engine(service: ServiceView, name: str, rank: int) -> dict[str, Any]:
    pool = service.pools[name]
    home = service.homes.get(pool)
    return {
        "rank": rank,
        "engine": name,
        "zone": service.runners[name].zone,
        "home": home.name if home is not None else "",
    }
