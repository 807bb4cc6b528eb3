"""Simulates a model engine with the OpenAI chat completions API.

The engine models continuous batching in a simple form (each running request slows down the
others slightly) and has a prefix cache of bounded size. Its load reports are delayed, its cache
events are delayed and may have gaps, and a request is cancelled when its client disconnects. A
completion is a function of the request, so that tests can detect a response to another request.
"""

import asyncio
from argparse import ArgumentParser, Namespace
from collections.abc import AsyncIterator
from hashlib import sha256
from json import dumps
from time import time
from typing import Any

from aiohttp import web
from attrs import define, field

from standins.prefix_cache import PrefixCache
from standins.registration import Registration
from standins.serving import serve_until_signal

CHARACTERS_PER_TOKEN = 4
DEFAULT_COMPLETION_TOKENS = 16


@define
class EngineOptions:
    """Simulated behaviour of the engine.

    ``batch_slowdown`` is the relative increase of the token interval per running request. With
    ``drop_event_every`` set to n, every n-th cache event is lost; 0 loses none.
    """

    name: str
    models: list[str]
    token_interval_s: float = 0.005
    batch_slowdown: float = 0.01
    prefill_tokens_per_s: float = 50_000.0
    cache_blocks: int = 4096
    report_lag_s: float = 1.0
    event_lag_s: float = 0.5
    drop_event_every: int = 0
    refuse_old_orders: bool = False


@define
class LoadReport:
    """The load that the engine publishes, which lags behind its real load."""

    running: int = 0
    tokens: int = 0


@define
class Engine:
    """State and HTTP handlers of the engine."""

    options: EngineOptions
    cache: PrefixCache
    running: int = 0
    served: int = 0
    cancelled: int = 0
    highest_fencing_number: int = 0
    report: LoadReport = field(factory=LoadReport)

    def make_app(self) -> web.Application:
        """Create the web application with all routes."""
        app = web.Application(client_max_size=2**26)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_get("/v1/models", self.list_models)
        app.router.add_get("/load", self.read_load)
        app.router.add_get("/cache/events", self.read_cache_events)
        app.router.add_get("/counts", self.read_counts)
        app.router.add_post("/orders", self.handle_order)
        return app

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Handle a chat completion request, streamed or not."""
        body = await request.json()
        if body["model"] not in self.options.models:
            return web.json_response({"error": {"message": "no such model"}}, status=404)
        self.running += 1
        finished = False
        try:
            response = await self._generate_response(request, body)
            finished = True
            return response
        finally:
            self.running -= 1
            self.served += finished
            self.cancelled += not finished
            asyncio.get_running_loop().call_later(self.options.report_lag_s, self._publish_load)

    async def _generate_response(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        prompt = flatten_messages(body["messages"])
        cached = self.cache.match(prompt)
        await asyncio.sleep(
            (len(prompt) - cached) / CHARACTERS_PER_TOKEN / self.options.prefill_tokens_per_s
        )
        words = make_completion_words(body)
        usage = _make_usage(prompt, cached, len(words))
        if body.get("stream"):
            return await self._stream(request, body, prompt, words, usage)
        async for _ in self._generate(words):
            pass
        self.cache.store(prompt)
        return web.json_response(_make_completion(body["model"], "".join(words), usage))

    async def _stream(
        self,
        request: web.Request,
        body: dict[str, Any],
        prompt: str,
        words: list[str],
        usage: dict[str, Any],
    ) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        completion_id = f"chatcmpl-{time():.6f}"
        async for word in self._generate(words):
            await _write_event(
                response, _make_chunk(completion_id, body["model"], {"content": word}, None)
            )
        self.cache.store(prompt)
        last = _make_chunk(completion_id, body["model"], {}, "stop")
        await _write_event(response, {**last, "usage": usage})
        await response.write(b"data: [DONE]\n\n")
        return response

    async def _generate(self, words: list[str]) -> AsyncIterator[str]:
        for word in words:
            slowdown = 1.0 + self.options.batch_slowdown * self.running
            await asyncio.sleep(self.options.token_interval_s * slowdown)
            yield word

    def _publish_load(self) -> None:
        self.report = LoadReport(
            running=self.running, tokens=self.running * DEFAULT_COMPLETION_TOKENS
        )

    async def list_models(self, request: web.Request) -> web.Response:
        """Return the loaded models."""
        data = [{"id": model, "object": "model"} for model in self.options.models]
        return web.json_response({"object": "list", "data": data})

    async def read_load(self, request: web.Request) -> web.Response:
        """Return the last published load report."""
        return web.json_response({"running": self.report.running, "tokens": self.report.tokens})

    async def read_cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after sequence number ``since``, delayed and with gaps."""
        await asyncio.sleep(self.options.event_lag_s)
        since = int(request.query.get("since", "0"))
        events = [event.to_wire() for event in self.cache.events if event.sequence > since]
        return web.json_response({"events": events})

    async def read_counts(self, request: web.Request) -> web.Response:
        """Return the request counters without delay, for tests."""
        counts = {"running": self.running, "served": self.served, "cancelled": self.cancelled}
        return web.json_response(counts)

    async def handle_order(self, request: web.Request) -> web.Response:
        """Load or unload a model; can be set to refuse an order with an outdated fencing number."""
        order = await request.json()
        number = int(order.get("fencing_number", 0))
        if self.options.refuse_old_orders and number < self.highest_fencing_number:
            return web.json_response({"error": "old fencing number"}, status=409)
        self.highest_fencing_number = max(self.highest_fencing_number, number)
        if order["action"] == "load" and order["model"] not in self.options.models:
            self.options.models.append(order["model"])
        if order["action"] == "unload" and order["model"] in self.options.models:
            self.options.models.remove(order["model"])
        return web.json_response({"models": self.options.models})


def flatten_messages(messages: list[dict[str, Any]]) -> str:
    """Return the messages concatenated into one prompt."""
    return "".join(f"{message['role']}: {message['content']}\n" for message in messages)


def make_completion_words(body: dict[str, Any]) -> list[str]:
    """Return the words of the completion, which depend only on the request."""
    count = body.get("max_tokens") or body.get("max_completion_tokens") or DEFAULT_COMPLETION_TOKENS
    seed = sha256(flatten_messages(body["messages"]).encode()).hexdigest()
    return [f"{seed[:8]}-{index} " for index in range(count)]


def _make_usage(prompt: str, cached: int, completion_tokens: int) -> dict[str, Any]:
    prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached // CHARACTERS_PER_TOKEN},
    }


def _make_completion(model: str, text: str, usage: dict[str, Any]) -> dict[str, Any]:
    message = {"role": "assistant", "content": text}
    return {
        "id": f"chatcmpl-{time():.6f}",
        "object": "chat.completion",
        "created": int(time()),
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": usage,
    }


def _make_chunk(
    completion_id: str, model: str, delta: dict[str, Any], finish_reason: str | None
) -> dict[str, Any]:
    return {
        "id": completion_id,
        "object": "chat.completion.chunk",
        "created": int(time()),
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


async def _write_event(response: web.StreamResponse, event: dict[str, Any]) -> None:
    await response.write(b"data: " + dumps(event).encode() + b"\n\n")


def parse_arguments() -> Namespace:
    """Parse the command line."""
    parser = ArgumentParser(description="Simulates a model engine.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--model", action="append", required=True)
    parser.add_argument("--platform", default="", help="URL of the platform to register with")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--token-interval-s", type=float, default=0.005)
    parser.add_argument("--batch-slowdown", type=float, default=0.01)
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--drop-event-every", type=int, default=0)
    parser.add_argument("--refuse-old-orders", action="store_true")
    return parser.parse_args()


def main() -> None:
    """Serve until SIGINT or SIGTERM."""
    arguments = parse_arguments()
    options = EngineOptions(
        name=arguments.name,
        models=list(arguments.model),
        token_interval_s=arguments.token_interval_s,
        batch_slowdown=arguments.batch_slowdown,
        cache_blocks=arguments.cache_blocks,
        drop_event_every=arguments.drop_event_every,
        refuse_old_orders=arguments.refuse_old_orders,
    )
    cache = PrefixCache(arguments.cache_blocks, drop_every=arguments.drop_event_every)
    engine = Engine(options, cache)
    registration = Registration(
        platform_url=arguments.platform,
        name=arguments.name,
        service=arguments.service,
        site=arguments.site,
        zone=arguments.zone,
        weight=arguments.weight,
        models=options.models,
    )
    asyncio.run(
        serve_until_signal(
            engine.make_app(),
            arguments.port,
            arguments.name,
            on_listening=registration.add if arguments.platform else None,
            on_stopping=registration.remove if arguments.platform else None,
        )
    )


if __name__ == "__main__":
    main()
