"""Stand-in for the platform: Kubernetes-style objects with versions, conditional update and watch.

``POST /faults`` sets what goes wrong from then on, for example ``{"down": true}``,
``{"slow_s": 2}`` or ``{"lose_answers": 1}`` (the next write takes effect, but its connection is
closed without an answer).
"""

import asyncio
from argparse import ArgumentParser
from json import dumps
from typing import Any

from aiohttp import web
from attrs import define, field

from standins.serving import serve_until_signal

WATCH_SECONDS = 60.0
HISTORY_LIMIT = 100_000


@define
class Faults:
    """What the stand-in does wrong at the moment."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@define
class Change:
    """One change in the order it happened."""

    version: int
    kind: str
    type: str
    object: dict[str, Any]


@define
class ObjectStore:
    """Every object, and the changes that led to it."""

    objects: dict[str, dict[str, dict[str, Any]]] = field(factory=dict)
    version: int = 1
    oldest: int = 1
    changes: list[Change] = field(factory=list)
    changed: asyncio.Condition = field(factory=asyncio.Condition)
    faults: Faults = field(factory=Faults)
    reads: int = 0
    writes: int = 0

    async def record(self, kind: str, change_type: str, stored: dict[str, Any]) -> None:
        """Give ``stored`` the next version and tell every watch."""
        self.version += 1
        self.writes += 1
        stored["metadata"]["resourceVersion"] = str(self.version)
        self.changes.append(Change(self.version, kind, change_type, stored))
        if len(self.changes) > HISTORY_LIMIT:
            dropped = self.changes[: HISTORY_LIMIT // 2]
            self.changes = self.changes[HISTORY_LIMIT // 2 :]
            self.oldest = dropped[-1].version
        async with self.changed:
            self.changed.notify_all()


class PlatformStandIn:
    """The HTTP handlers over one :class:`ObjectStore`."""

    def __init__(self) -> None:
        self.store = ObjectStore()

    def make_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(middlewares=[self._inject_faults], client_max_size=2**21)
        prefix = "/apis/{group}/{api}/{kind}"
        app.router.add_get(prefix, self.list_or_watch)
        app.router.add_post(prefix, self.create)
        app.router.add_get(prefix + "/{name}", self.get)
        app.router.add_put(prefix + "/{name}", self.update)
        app.router.add_delete(prefix + "/{name}", self.delete)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/counts", self.read_counts)
        return app

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        faults = self.store.faults
        if request.path in ("/faults", "/counts"):
            return await handler(request)  # type: ignore[no-any-return]
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        if faults.down:
            _close_connection(request)
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        if faults.lose_answers and request.method in ("POST", "PUT", "DELETE"):
            faults.lose_answers -= 1
            _close_connection(request)
        return response

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the faults by those in the request's body."""
        self.store.faults = Faults(**await request.json())
        async with self.store.changed:
            self.store.changed.notify_all()
        return web.json_response({})

    async def read_counts(self, request: web.Request) -> web.Response:
        """Return how many reads and writes were taken so far."""
        return web.json_response({"reads": self.store.reads, "writes": self.store.writes})

    async def list_or_watch(self, request: web.Request) -> web.StreamResponse:
        """List a kind, or stream its changes when ``watch=1``."""
        self.store.reads += 1
        if request.query.get("watch") == "1":
            return await self._watch(request)
        items = list(self._kind(request).values())
        metadata = {"resourceVersion": str(self.store.version)}
        return web.json_response({"items": items, "metadata": metadata})

    async def get(self, request: web.Request) -> web.Response:
        """Return one object."""
        self.store.reads += 1
        stored = self._kind(request).get(request.match_info["name"])
        return _status(404, "NotFound") if stored is None else web.json_response(stored)

    async def create(self, request: web.Request) -> web.Response:
        """Create an object; 409 when its name is taken."""
        new = await request.json()
        name = new["metadata"]["name"]
        if name in self._kind(request):
            return _status(409, "AlreadyExists")
        self._kind(request)[name] = new
        await self.store.record(request.match_info["kind"], "ADDED", new)
        return web.json_response(new, status=201)

    async def update(self, request: web.Request) -> web.Response:
        """Replace an object; 409 when the version given is not the stored one."""
        changed = await request.json()
        name = request.match_info["name"]
        stored = self._kind(request).get(name)
        if stored is None:
            return _status(404, "NotFound")
        expected = changed["metadata"].get("resourceVersion")
        if expected is not None and expected != stored["metadata"]["resourceVersion"]:
            return _status(409, "Conflict")
        self._kind(request)[name] = changed
        await self.store.record(request.match_info["kind"], "MODIFIED", changed)
        return web.json_response(changed)

    async def delete(self, request: web.Request) -> web.Response:
        """Delete an object; 409 when the version given is not the stored one."""
        name = request.match_info["name"]
        stored = self._kind(request).get(name)
        if stored is None:
            return _status(404, "NotFound")
        body = await request.json() if request.can_read_body else {}
        expected = body.get("preconditions", {}).get("resourceVersion")
        if expected is not None and expected != stored["metadata"]["resourceVersion"]:
            return _status(409, "Conflict")
        gone = {**stored, "metadata": dict(stored["metadata"])}
        del self._kind(request)[name]
        await self.store.record(request.match_info["kind"], "DELETED", gone)
        return web.json_response({})

    def _kind(self, request: web.Request) -> dict[str, dict[str, Any]]:
        return self.store.objects.setdefault(request.match_info["kind"], {})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        version = int(request.query.get("resourceVersion", "0"))
        if version < self.store.oldest:
            return _status(410, "Expired")
        deadline = asyncio.get_running_loop().time() + float(
            request.query.get("timeoutSeconds", WATCH_SECONDS)
        )
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        while not self.store.faults.down:
            version = await self._write_changes(response, request.match_info["kind"], version)
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0 or not await self._wait_for_change(version, remaining):
                break
        if self.store.faults.down:
            _close_connection(request)
            return response
        bookmark = {"metadata": {"resourceVersion": str(version)}}
        await response.write(dumps({"type": "BOOKMARK", "object": bookmark}).encode() + b"\n")
        return response

    async def _write_changes(self, response: web.StreamResponse, kind: str, version: int) -> int:
        for change in self.store.changes:
            if change.version > version and change.kind == kind:
                line = dumps({"type": change.type, "object": change.object})
                await response.write(line.encode() + b"\n")
        return self.store.version

    async def _wait_for_change(self, version: int, seconds: float) -> bool:
        def has_news() -> bool:
            return self.store.version > version or self.store.faults.down

        try:
            async with self.store.changed:
                await asyncio.wait_for(self.store.changed.wait_for(has_news), seconds)
        except TimeoutError:
            return False
        return True


def _status(code: int, reason: str) -> web.Response:
    return web.json_response({"kind": "Status", "code": code, "reason": reason}, status=code)


def _close_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def main() -> None:
    """Serve until a signal comes."""
    parser = ArgumentParser(description="stand-in for the platform's object service")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    asyncio.run(serve_until_signal(PlatformStandIn().make_app(), options.port, "platform"))


if __name__ == "__main__":
    main()
