"""Clients of the platform's store: get, list, create, conditional update, delete and watch.

:class:`AsyncPlatformClient` is for programs with an event loop; :class:`PlatformClient` wraps it
for threads.
"""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from threading import Thread
from typing import Any, TypeVar
from urllib.parse import urlsplit

from cherrylane.errors import (
    ConflictError,
    PlatformUnavailableError,
    StoreRestoredError,
    UpstreamError,
    WatchExpiredError,
)
from cherrylane.http.messages import Header, encode_request
from cherrylane.http.outbound import OutboundConnection, open_connection
from cherrylane.platform.calls import (
    Call,
    ListPage,
    StoreResponse,
    join_pages,
    make_create,
    make_delete,
    make_get,
    make_list,
    make_update,
    make_watch,
    raise_for_status,
    read_era,
    read_events,
    read_object,
    read_page,
)
from cherrylane.platform.objects import (
    Kind,
    ObjectList,
    PlatformObject,
    WatchEvents,
)
from cherrylane.platform.versions import StoreVersion
from cherrylane.settings.schema import Endpoint, PlatformSettings

# Seconds that the whole response to a watch may take beyond the time that the watch waits.
WATCH_GRACE_S = 2.0
# Seconds that the store lets a watch wait at most.
MAX_WATCH_S = 30.0
DEFAULT_PORT = 80

T = TypeVar("T")


class AsyncPlatformClient:
    """Asyncio client of the store.

    Each call ends within the settings' ``timeout_s``, a watch within its wait and a grace period.
    Calls raise :class:`PlatformUnavailableError` when no response came; a write may then still
    have taken effect, or take effect seconds later. ``calls`` counts the requests.

    ``era`` is the newest era that is known, from a response or from a peer, and None before the
    first. A write that depends on a version of an earlier era raises :class:`ConflictError`, and
    one during which the era rose raises :class:`StoreRestoredError`, since the store may have given
    out the same revision to another write. ``on_new_era`` is called when a known era is replaced.

    Example::

        client = AsyncPlatformClient(PlatformSettings(url="http://127.0.0.1:7000"))
        await client.create(PlatformObject(Kind.HOSTS, "hsinchu-1", {"zone": "hsinchu-a"}))
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._endpoint = parse_url(settings.url)
        self.calls = 0
        self.era: int | None = None
        self.on_new_era: Callable[[int], None] = lambda era: None

    def record_era(self, era: int) -> None:
        """Take over a newer era; an older one is ignored."""
        if self.era is not None and era <= self.era:
            return
        previous, self.era = self.era, era
        if previous is not None:
            self.on_new_era(era)

    async def get(self, kind: Kind, name: str, *, stale: bool = False) -> PlatformObject:
        """Read one object; raises :class:`ObjectNotFoundError` when there is none.

        A ``stale`` read is cheaper, but its data may be seconds old.
        """
        return read_object(kind, await self._call(make_get(kind, name, stale=stale)))

    async def list(self, kind: Kind, *, stale: bool = False) -> ObjectList:
        """Read all objects of ``kind``; a ``stale`` list is cheaper, but may be seconds old."""
        pages: list[ListPage] = []
        after = ""
        while True:
            page = read_page(kind, await self._call(make_list(kind, after=after, stale=stale)))
            pages.append(page)
            if not page.has_more:
                return join_pages(pages)
            if page.objects[-1].name == after:
                raise PlatformUnavailableError(
                    f"a list of {kind.value} that does not go on after {after[:100]!r}",
                    remedy="check the platform; the list is read again",
                )
            after = page.objects[-1].name

    async def create(self, new: PlatformObject) -> PlatformObject:
        """Create an object; raises :class:`ConflictError` when the name is taken."""
        return read_object(new.kind, await self._call(make_create(new)))

    async def update(self, changed: PlatformObject) -> PlatformObject:
        """Replace an object if its version is still ``changed.version``, else raise
        :class:`ConflictError`."""
        call = make_update(changed)
        return read_object(changed.kind, await self._write_if(changed.version, call))

    async def delete(self, kind: Kind, name: str, *, version: StoreVersion | None) -> None:
        """Delete an object if its version is still ``version``, else raise
        :class:`ConflictError`."""
        await self._write_if(version, make_delete(kind, name, version))

    async def watch(
        self,
        kind: Kind,
        version: StoreVersion,
        *,
        wait_s: float,
        response_grace_s: float = WATCH_GRACE_S,
    ) -> WatchEvents:
        """Wait up to ``wait_s`` seconds for changes of ``kind`` after ``version``.

        The response has to begin within ``response_grace_s`` after the wait; a large one may take
        ``WATCH_GRACE_S`` as a whole. Raises :class:`WatchExpiredError` if the store no longer has
        the changes since ``version``, or was restored from an older copy meanwhile.
        """
        wait_s = min(wait_s, MAX_WATCH_S)
        call = make_watch(kind, version, wait_s)
        response = await self._call(
            call,
            timeout_s=wait_s + WATCH_GRACE_S,
            head_timeout_s=wait_s + response_grace_s,
        )
        if response.era != version.era:
            raise WatchExpiredError(
                f"the store was restored from an older copy (era {response.era})",
                remedy="list the objects again and start a new watch",
            )
        return read_events(kind, response)

    async def _write_if(self, version: StoreVersion | None, call: Call) -> StoreResponse:
        """Send a write that depends on ``version``, unless the era is known to be over."""
        if version is not None and self.era is not None and version.era < self.era:
            raise ConflictError(
                f"version {version} is of an earlier era of the store",
                remedy="read the object again and retry",
            )
        response = await self._call(call)
        if version is not None and response.era != version.era:
            raise StoreRestoredError(
                f"the store was restored from an older copy (era {response.era}) during a write",
                remedy="read the object again and retry",
            )
        return response

    async def _call(
        self, call: Call, *, timeout_s: float | None = None, head_timeout_s: float | None = None
    ) -> StoreResponse:
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s or self._settings.timeout_s):
                response = await self._exchange(call, head_timeout_s)
        except (UpstreamError, TimeoutError) as error:
            raise PlatformUnavailableError(
                f"no response from the platform to {call.method} {call.target.split('?')[0]} "
                f"({type(error).__name__})",
                remedy="check that the platform is running and its URL in the settings is correct",
            ) from error
        self.record_era(response.era)
        raise_for_status(call, response)
        return response

    async def _exchange(self, call: Call, head_timeout_s: float | None) -> StoreResponse:
        # Each call has a connection of its own. Responses carry no id, so a second copy of one that
        # is sent late would be taken for the response to the next call.
        connection = None
        try:
            async with asyncio.timeout(head_timeout_s):
                connection = await open_connection(self._endpoint, self._settings.timeout_s)
                self._send(connection, call)
                head = await connection.read_head()
            body = await connection.read_body()
            return StoreResponse(head.status, body, read_era(head), is_delimited=head.has_length)
        finally:
            if connection is not None:
                connection.close()

    def _send(self, connection: OutboundConnection, call: Call) -> None:
        headers: list[Header] = [(b"Host", str(self._endpoint).encode()), (b"Connection", b"close")]
        if self._settings.token:
            headers.append((b"Authorization", b"Bearer " + self._settings.token.encode()))
        if call.body is not None:
            headers.append((b"Content-Type", b"application/json"))
        target = call.target.encode()
        has_body = call.body is not None
        connection.send(
            encode_request(
                call.method.encode(), target, headers, call.body or b"", has_body=has_body
            )
        )


class PlatformClient:
    """Blocking client of the store, with the same calls.

    Example::

        client = PlatformClient(PlatformSettings(url="http://127.0.0.1:7000"))
        client.create(PlatformObject(Kind.HOSTS, "hsinchu-1", {"zone": "hsinchu-a"}))
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._random = Random()
        self._client = AsyncPlatformClient(settings)
        self._loop = asyncio.new_event_loop()
        Thread(target=self._loop.run_forever, name="platform", daemon=True).start()

    def get(self, kind: Kind, name: str) -> PlatformObject:
        """Read one object; raises :class:`ObjectNotFoundError` when there is none."""
        return self._wait(self._client.get(kind, name))

    def list(self, kind: Kind) -> ObjectList:
        """Read all objects of ``kind``."""
        return self._wait(self._client.list(kind))

    def create(self, new: PlatformObject) -> PlatformObject:
        """Create an object; raises :class:`ConflictError` when the name is taken."""
        return self._wait(self._client.create(new))

    def update(self, changed: PlatformObject) -> PlatformObject:
        """Replace an object if its version is still ``changed.version``, else raise
        :class:`ConflictError`."""
        return self._wait(self._client.update(changed))

    def delete(self, kind: Kind, name: str, *, version: StoreVersion | None) -> None:
        """Delete an object if its version is still ``version``, else raise
        :class:`ConflictError`."""
        self._wait(self._client.delete(kind, name, version=version))

    def watch(
        self, kind: Kind, version: StoreVersion, *, wait_s: float | None = None
    ) -> WatchEvents:
        """Wait for changes of ``kind`` after ``version``, by default for up to ``watch_s``.

        The default is a random wait from half of the settings' ``watch_s`` on, so that hosts do not
        renew their watches at the same moment. Raises :class:`WatchExpiredError` if the store no
        longer has the changes since ``version``, or was restored from an older copy meanwhile.
        """
        if wait_s is None:
            wait_s = self._settings.watch_s * self._random.uniform(0.5, 1.0)
        return self._wait(self._client.watch(kind, version, wait_s=wait_s))

    def _wait(self, call: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(call, self._loop).result()


def parse_url(url: str) -> Endpoint:
    """Return the address and port of a store's URL."""
    parts = urlsplit(url)
    return Endpoint(parts.hostname or "", parts.port or DEFAULT_PORT)
