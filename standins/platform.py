"""Simulates the platform's object store: objects by kind, with revisions and watches.

Updates and deletions can be conditional on a revision. ``POST /faults`` replaces the injected
faults, for example by ``{"down": true}`` (connections are reset), ``{"refusal": 503}`` (every
call gets this status), ``{"silent": true}`` (calls get no response for a long time),
``{"slow_s": 2}`` (calls are delayed), ``{"lose_answers": 1}`` (the next write takes effect, but
its connection is closed without a response) or ``{"late_writes": 1, "late_s": 1}`` (the same, but
the write takes effect only after ``late_s``). ``POST /compact`` discards the change history, so
that watches from an older revision get 410. ``POST /restore`` with ``{"writes": n}`` brings the
store back from a copy without its last n writes: their revisions are given out again, and the
header ``Store-Era`` of all responses rises by one. ``PUT /raw/{kind}/{name}`` stores the bytes of
its body as the spec of an object, whether they can be read or not, as another writer may.
Operators write evacuations by name: ``PUT`` or ``POST /objects/evacuations/{name}`` creates the
object if it does not exist.
"""

import asyncio
from argparse import ArgumentParser
from json import dumps
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from standins.serving import serve_until_signal

MAX_WAIT_S = 30.0
PAGE_SIZE = 500
MAX_HISTORY = 100_000
WRITE_METHODS = ("POST", "PUT", "DELETE")
# Begins the text that stands for a raw spec until the JSON of a response is complete.
RAW_MARK = "\0raw "


@define
class Faults:
    """The faults that are injected at present.

    ``refusal`` is the status that every call gets, 0 for none; ``lose_answers`` and
    ``late_writes`` are the numbers of writes that are still affected.
    """

    down: bool = False
    silent: bool = False
    refusal: int = 0
    slow_s: float = 0.0
    lose_answers: int = 0
    late_writes: int = 0
    late_s: float = 0.0

    @property
    def is_unavailable(self) -> bool:
        """Whether every call fails or hangs."""
        return self.down or self.silent or bool(self.refusal)


@frozen
class RawSpec:
    """A spec as another writer has written it, which may be no JSON that can be read."""

    data: bytes


@define
class Change:
    """An entry of the change history."""

    revision: int
    kind: str
    object: dict[str, Any]
    deleted: bool


@define
class ObjectStore:
    """All objects by kind and name, and the history of their changes.

    Watches from a revision before ``compacted_revision`` get 410, because the history of their
    changes is no longer complete.
    """

    objects: dict[str, dict[str, dict[str, Any]]] = field(factory=dict)
    era: int = 1
    revision: int = 1
    compacted_revision: int = 1
    changes: list[Change] = field(factory=list)
    # All changes since the start, from which an older copy is made.
    log: list[Change] = field(factory=list)
    changed: asyncio.Condition = field(factory=asyncio.Condition)
    faults: Faults = field(factory=Faults)
    reads: int = 0
    writes: int = 0

    async def commit(self, kind: str, stored: dict[str, Any], *, deleted: bool = False) -> None:
        """Assign the next revision to ``stored``, add it to the history and wake up all watches."""
        self.revision += 1
        self.writes += 1
        stored["metadata"]["rev"] = self.revision
        change = Change(self.revision, kind, stored, deleted)
        self.changes.append(change)
        self.log.append(change)
        if len(self.changes) > MAX_HISTORY:
            dropped = self.changes[: MAX_HISTORY // 2]
            self.changes = self.changes[MAX_HISTORY // 2 :]
            self.compacted_revision = dropped[-1].revision
        await self.wake_watches()

    async def restore(self, writes: int) -> None:
        """Come back without the last ``writes`` writes, in a new era."""
        self.era += 1
        self.log = self.log[: max(0, len(self.log) - writes)]
        self.revision = self.log[-1].revision if self.log else 1
        self.changes = [change for change in self.changes if change.revision <= self.revision]
        self.objects = {}
        for change in self.log:
            objects = self.objects.setdefault(change.kind, {})
            if change.deleted:
                objects.pop(change.object["metadata"]["name"], None)
            else:
                objects[change.object["metadata"]["name"]] = change.object
        await self.wake_watches()

    async def wake_watches(self) -> None:
        """Wake up all pending watches."""
        async with self.changed:
            self.changed.notify_all()


class PlatformStandIn:
    """HTTP handlers of the simulated platform."""

    def __init__(self) -> None:
        self.store = ObjectStore()

    def make_app(self) -> web.Application:
        """Create the web application with all routes."""
        app = web.Application(
            middlewares=[self._add_era, self._inject_faults], client_max_size=2**21
        )
        prefix = "/objects/{kind}"
        app.router.add_get(prefix, self.list_or_watch)
        app.router.add_post(prefix, self.create)
        app.router.add_get(prefix + "/{name}", self.get)
        for method in ("PUT", "POST"):
            app.router.add_route(method, "/objects/{kind:evacuations}/{name}", self.write_named)
        app.router.add_put(prefix + "/{name}", self.update)
        app.router.add_delete(prefix + "/{name}", self.delete)
        app.router.add_put("/raw/{kind}/{name}", self.write_raw)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_post("/compact", self.compact)
        app.router.add_post("/restore", self.restore)
        app.router.add_get("/counts", self.read_counts)
        return app

    @web.middleware
    async def _add_era(self, request: web.Request, handler: Any) -> web.StreamResponse:
        response: web.StreamResponse = await handler(request)
        response.headers["Store-Era"] = str(self.store.era)
        return response

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        faults = self.store.faults
        if request.path in ("/faults", "/counts", "/compact", "/restore"):
            return await handler(request)  # type: ignore[no-any-return]
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        if faults.silent:
            await asyncio.sleep(MAX_WAIT_S)
        if faults.down:
            _close_connection(request)
        if faults.refusal or faults.down:
            return web.Response(status=faults.refusal or 503)
        is_write = request.method in WRITE_METHODS
        if is_write and faults.late_writes:
            faults.late_writes -= 1
            _close_connection(request)
            await asyncio.shield(asyncio.ensure_future(self._apply_after_delay(request, handler)))
        response: web.StreamResponse = await handler(request)
        if is_write and faults.lose_answers:
            faults.lose_answers -= 1
            _close_connection(request)
        return response

    async def _apply_after_delay(self, request: web.Request, handler: Any) -> None:
        await asyncio.sleep(self.store.faults.late_s)
        await handler(request)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the injected faults by those in the request body."""
        self.store.faults = Faults(**await request.json())
        await self.store.wake_watches()
        return _respond({})

    async def compact(self, request: web.Request) -> web.Response:
        """Discard the change history."""
        self.store.changes.clear()
        self.store.revision += 1
        self.store.compacted_revision = self.store.revision
        await self.store.wake_watches()
        return _respond({})

    async def restore(self, request: web.Request) -> web.Response:
        """Come back from an older copy."""
        await self.store.restore(int((await request.json())["writes"]))
        return _respond({})

    async def read_counts(self, request: web.Request) -> web.Response:
        """Return the number of reads and of writes so far."""
        return _respond({"reads": self.store.reads, "writes": self.store.writes})

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """Return a page of the objects of a kind, or wait for changes of them."""
        self.store.reads += 1
        if "watch" in request.query:
            return await self._watch(request)
        after = request.query.get("after", "")
        items = [item for name, item in sorted(self._get_objects(request).items()) if name > after]
        page = {
            "items": items[:PAGE_SIZE],
            "more": len(items) > PAGE_SIZE,
            "store_revision": self.store.revision,
        }
        return _respond(page)

    async def get(self, request: web.Request) -> web.Response:
        """Return one object."""
        self.store.reads += 1
        stored = self._get_objects(request).get(request.match_info["name"])
        return _make_error_response(404) if stored is None else _respond(stored)

    async def create(self, request: web.Request) -> web.Response:
        """Create an object; 409 if the name exists."""
        new = await request.json()
        name = new["metadata"]["name"]
        stored = self._get_objects(request).get(name)
        if stored is not None:
            return _respond(stored, status=409)
        self._get_objects(request)[name] = new
        await self.store.commit(request.match_info["kind"], new)
        return _respond(new, status=201)

    async def write_named(self, request: web.Request) -> web.Response:
        """Create an object by its name, or replace it."""
        name = request.match_info["name"]
        if name in self._get_objects(request):
            return await self.update(request)
        spec = (await request.json()).get("spec") if request.can_read_body else None
        new = {"metadata": {"name": name}, "spec": spec}
        self._get_objects(request)[name] = new
        await self.store.commit(request.match_info["kind"], new)
        return _respond(new, status=201)

    async def update(self, request: web.Request) -> web.Response:
        """Replace an object; 409 if the given revision is not the current one."""
        changed = await request.json()
        name = request.match_info["name"]
        stored = self._get_objects(request).get(name)
        if stored is None:
            return _make_error_response(404)
        expected = changed.get("metadata", {}).get("rev")
        if expected is not None and expected != stored["metadata"]["rev"]:
            return _respond(stored, status=409)
        if changed.get("spec") == stored.get("spec"):
            return _respond(stored)
        replacement = {"metadata": {"name": name}, "spec": changed.get("spec")}
        self._get_objects(request)[name] = replacement
        await self.store.commit(request.match_info["kind"], replacement)
        return _respond(replacement)

    async def write_raw(self, request: web.Request) -> web.Response:
        """Create or replace an object whose spec is the body of the request as it is."""
        name = request.match_info["name"]
        stored = {"metadata": {"name": name}, "spec": RawSpec(await request.read())}
        self._get_objects(request)[name] = stored
        await self.store.commit(request.match_info["kind"], stored)
        return _respond({})

    async def delete(self, request: web.Request) -> web.Response:
        """Delete an object; 409 if the given revision is not the current one."""
        name = request.match_info["name"]
        stored = self._get_objects(request).get(name)
        if stored is None:
            return _make_error_response(404)
        expected = request.query.get("rev")
        if expected is not None and int(expected) != stored["metadata"]["rev"]:
            return _respond(stored, status=409)
        last_state = {**stored, "metadata": dict(stored["metadata"])}
        del self._get_objects(request)[name]
        await self.store.commit(request.match_info["kind"], last_state, deleted=True)
        return _respond({})

    def _get_objects(self, request: web.Request) -> dict[str, dict[str, Any]]:
        return self.store.objects.setdefault(request.match_info["kind"], {})

    async def _watch(self, request: web.Request) -> web.Response:
        revision = int(request.query["watch"])
        wait_s = min(MAX_WAIT_S, float(request.query.get("wait_ms", "0")) / 1000)
        kind = request.match_info["kind"]
        era = self.store.era

        def has_changes() -> bool:
            store = self.store
            return (
                bool(self._list_changes(kind, revision))
                or store.faults.is_unavailable
                or store.era != era
                or (revision < store.compacted_revision)
            )

        try:
            async with self.store.changed:
                await asyncio.wait_for(self.store.changed.wait_for(has_changes), wait_s)
        except TimeoutError:
            pass
        if self.store.faults.is_unavailable:
            _close_connection(request)
            return _make_error_response(503)
        if revision < self.store.compacted_revision or revision > self.store.revision:
            return _make_error_response(410)
        events = [
            {"object": change.object, "deleted": change.deleted}
            for change in self._list_changes(kind, revision)
        ]
        return _respond({"events": events, "store_revision": self.store.revision})

    def _list_changes(self, kind: str, revision: int) -> list[Change]:
        return [
            change
            for change in self.store.changes
            if change.revision > revision and change.kind == kind
        ]


def _respond(value: Any, status: int = 200) -> web.Response:
    """Return a response with JSON, in which raw specs stand as they were written."""
    raw: list[bytes] = []

    def mark(item: RawSpec) -> str:
        raw.append(item.data)
        return f"{RAW_MARK}{len(raw) - 1}"

    body = dumps(value, default=mark).encode()
    for number, data in enumerate(raw):
        body = body.replace(dumps(f"{RAW_MARK}{number}").encode(), data)
    return web.Response(status=status, body=body, content_type="application/json")


def _make_error_response(code: int) -> web.Response:
    return _respond({"error": code}, status=code)


def _close_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def main() -> None:
    """Serve until SIGINT or SIGTERM."""
    parser = ArgumentParser(description="Simulates the platform's object store.")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    asyncio.run(serve_until_signal(PlatformStandIn().make_app(), options.port, "platform"))


if __name__ == "__main__":
    main()
