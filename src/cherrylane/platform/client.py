"""The client of the platform: get, list, create, conditional update, delete and watch."""

from collections.abc import Iterator
from json import JSONDecodeError, dumps, loads
from typing import Any

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from cherrylane.errors import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    WatchExpiredError,
)
from cherrylane.platform.objects import (
    EventType,
    Kind,
    ObjectList,
    PlatformObject,
    WatchEvent,
    collection_path,
)
from cherrylane.settings.schema import PlatformSettings

POOL_CONNECTIONS = 8


class PlatformClient:
    """Talks to the platform's object service.

    Every call raises :class:`PlatformUnavailableError` when no answer came within the settings'
    ``timeout_s``; a write may then have taken effect all the same.

    Example::

        client = PlatformClient(PlatformSettings(url="http://127.0.0.1:7000"))
        client.create(PlatformObject(Kind.HOSTS, "hsinchu-1", {"zone": "hsinchu-a"}))
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._http = PoolManager(num_pools=1, maxsize=POOL_CONNECTIONS, retries=False)

    def get(self, kind: Kind, name: str) -> PlatformObject:
        """Read one object; raises :class:`ObjectNotFoundError` when there is none."""
        return PlatformObject.from_wire(kind, self._call("GET", self._path(kind, name)))

    def list(self, kind: Kind) -> ObjectList:
        """Read every object of ``kind``."""
        wire = self._call("GET", collection_path(kind))
        objects = [PlatformObject.from_wire(kind, item) for item in wire["items"]]
        return ObjectList(objects=objects, version=str(wire["metadata"]["resourceVersion"]))

    def create(self, new: PlatformObject) -> PlatformObject:
        """Create an object; raises :class:`ConflictError` when the name is taken."""
        wire = self._call("POST", collection_path(new.kind), new.to_wire())
        return PlatformObject.from_wire(new.kind, wire)

    def update(self, changed: PlatformObject) -> PlatformObject:
        """Replace an object if its version is still ``changed.version``, else raise
        :class:`ConflictError`."""
        wire = self._call("PUT", self._path(changed.kind, changed.name), changed.to_wire())
        return PlatformObject.from_wire(changed.kind, wire)

    def delete(self, kind: Kind, name: str, *, version: str) -> None:
        """Delete an object if its version is still ``version``."""
        body = {"preconditions": {"resourceVersion": version}}
        self._call("DELETE", self._path(kind, name), body)

    def watch(self, kind: Kind, version: str) -> Iterator[WatchEvent]:
        """Yield changes of ``kind`` after ``version`` until the platform ends the watch.

        Raises :class:`WatchExpiredError` when ``version`` is too old to go on from.
        """
        seconds = self._settings.watch_s
        path = f"{collection_path(kind)}?watch=1&resourceVersion={version}&timeoutSeconds={seconds}"
        timeout = Timeout(connect=self._settings.timeout_s, read=seconds + self._settings.timeout_s)
        try:
            response = self._send("GET", path, None, timeout=timeout, preload=False)
            if response.status != 200:
                self._raise_for(response)
            yield from (_read_event(kind, line) for line in _read_lines(response))
        except (HTTPError, OSError, JSONDecodeError) as error:
            raise _unavailable("watch", path, error) from error

    def _path(self, kind: Kind, name: str) -> str:
        return f"{collection_path(kind)}/{name}"

    def _call(self, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        timeout = Timeout(total=self._settings.timeout_s)
        try:
            response = self._send(method, path, body, timeout=timeout, preload=True)
            if response.status >= 300:
                self._raise_for(response)
            return dict(loads(response.data))
        except (HTTPError, OSError, JSONDecodeError) as error:
            raise _unavailable(method, path, error) from error

    def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        *,
        timeout: Timeout,
        preload: bool,
    ) -> BaseHTTPResponse:
        headers = {"Accept": "application/json", "Content-Type": "application/json"}
        if self._settings.token:
            headers["Authorization"] = f"Bearer {self._settings.token}"
        return self._http.request(
            method,
            self._settings.url.rstrip("/") + path,
            body=None if body is None else dumps(body).encode(),
            headers=headers,
            timeout=timeout,
            preload_content=preload,
            retries=False,
        )

    def _raise_for(self, response: BaseHTTPResponse) -> None:
        text = response.data.decode(errors="replace")[:300]
        match response.status:
            case 404:
                raise ObjectNotFoundError(f"no such object: {text}", remedy="check the name")
            case 409:
                raise ConflictError(
                    f"another writer came first: {text}", remedy="read the object and try again"
                )
            case 410:
                raise WatchExpiredError("the watch is too old", remedy="list and watch anew")
            case status if status >= 500:
                raise PlatformUnavailableError(
                    f"the platform answered {status}: {text}", remedy="try again later"
                )
            case status:
                raise PlatformError(
                    f"the platform answered {status}: {text}", remedy="correct the request"
                )


def _read_lines(response: BaseHTTPResponse) -> Iterator[bytes]:
    buffer = b""
    while chunk := response.read1():
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        yield from (line for line in lines if line.strip())


def _read_event(kind: Kind, line: bytes) -> WatchEvent:
    wire = loads(line)
    event_type = EventType(wire["type"])
    if event_type is EventType.ERROR:
        raise WatchExpiredError("the watch has expired", remedy="list and watch anew")
    version = str(wire["object"]["metadata"]["resourceVersion"])
    if event_type is EventType.BOOKMARK:
        return WatchEvent(type=event_type, version=version)
    changed = PlatformObject.from_wire(kind, wire["object"])
    return WatchEvent(type=event_type, version=version, object=changed)


def _unavailable(method: str, path: str, error: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"no answer from the platform to {method} {path.split('?')[0]} ({type(error).__name__})",
        remedy="check that the platform is up and its address in the settings is right",
    )
