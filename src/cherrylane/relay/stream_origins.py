"""Where streams began, so that they go on only at the software version that began them.

A host remembers the streams that it has relayed, by the request that brought their first event,
which a caller names when it takes a stream up again at any host. While a service has several
versions, hosts tell each other of the streams that they begin. A stream of which nothing is known
goes on only if no more than one version can have begun it.
"""

from base64 import urlsafe_b64encode
from collections.abc import Awaitable, Callable, Iterable

from attrs import define, field, frozen
from xxhash import xxh3_64_digest

from cherrylane.gossip.messages import STREAM_KEY_LENGTH, BegunStreams
from cherrylane.membership.software_versions import STREAM_LIFETIME_S, SoftwareVersions
from cherrylane.relay.request import CallerRequest
from cherrylane.routing.routes import Route, RouteTable

# Most streams that are remembered within one lifetime.
MAX_STREAMS = 20_000


@frozen
class StreamOrigin:
    """The service and the software version that began a stream."""

    service: str
    software: str


@frozen
class UnknownOrigin:
    """It is not known which of several versions began a stream."""


@frozen
class PresumedOrigin:
    """The only one that can have begun a stream, unless this host has missed another version."""

    origin: StreamOrigin


@frozen
class UnconfirmedOrigin:
    """This host cannot find out now whether it has missed another version."""


BoundOrigin = StreamOrigin | UnknownOrigin | UnconfirmedOrigin | None


@define
class StreamOrigins:
    """The origins of recent streams, for ``STREAM_LIFETIME_S`` at least.

    Example::

        origins.record(identify_stream("37864bba8f9d57fb"), StreamOrigin("desk", "v1"), now=10.0)
        origins.find(identify_stream("37864bba8f9d57fb"))  # StreamOrigin("desk", "v1")
    """

    _recent: dict[str, StreamOrigin] = field(factory=dict)
    _older: dict[str, StreamOrigin] = field(factory=dict)
    _began_at: float = float("-inf")

    def record(self, key: str, origin: StreamOrigin, now: float) -> None:
        """Record where a stream began; what was recorded first holds."""
        if now - self._began_at > STREAM_LIFETIME_S or len(self._recent) >= MAX_STREAMS:
            self._older, self._recent = self._recent, {}
            self._began_at = now
        self._recent[key] = self._older.get(key) or self._recent.get(key) or origin

    def find(self, key: str) -> StreamOrigin | None:
        """Return where a stream began, None if that is not known."""
        return self._recent.get(key) or self._older.get(key)

    def list_all(self) -> list[tuple[str, StreamOrigin]]:
        """Return all streams, for a peer that starts."""
        return [*self._older.items(), *self._recent.items()]


@define
class _RunningStream:
    """A stream of this host that has begun; ``is_announced`` once the peers are told of it."""

    origin: StreamOrigin
    route: Route
    is_announced: bool = False


async def _refresh_nothing() -> None:
    return


async def _confirm_all() -> bool:
    return True


@define
class StreamBinder:
    """Finds where a stream that a caller takes up has to go on.

    ``on_begun`` is called with the streams that peers have to know of; ``refresh`` reads what other
    hosts have stored. ``confirm`` brings ``versions`` up to date, and returns whether no other
    version is in use now: a host that was cut off, or stood still, may have missed one.
    """

    origins: StreamOrigins = field(factory=StreamOrigins)
    versions: SoftwareVersions = field(factory=SoftwareVersions)
    on_begun: Callable[[str, StreamOrigin], None] = lambda key, origin: None
    refresh: Callable[[], Awaitable[None]] = _refresh_nothing
    confirm: Callable[[], Awaitable[bool]] = _confirm_all
    _former_services: dict[tuple[str, str], dict[str, float]] = field(factory=dict)
    _running: dict[str, _RunningStream] = field(factory=dict)

    async def bind(self, request: CallerRequest, now: float) -> BoundOrigin:
        """Return the origin of the stream that a request takes up, None if it begins a stream.

        What this host does not know for certain, it asks the store or its peers.
        """
        origin = self.find(request, now)
        if isinstance(origin, PresumedOrigin):
            if not await self.confirm():
                return UnconfirmedOrigin()
            origin = self.find(request, now)
        if isinstance(origin, UnknownOrigin):
            return await self._find_stored(request)
        return origin.origin if isinstance(origin, PresumedOrigin) else origin

    async def _find_stored(self, request: CallerRequest) -> StreamOrigin | UnknownOrigin:
        """Return where a stream began if other hosts have stored that."""
        if not request.resumes:
            return UnknownOrigin()
        await self.refresh()
        return self._find_recorded(request) or UnknownOrigin()

    def find(
        self, request: CallerRequest, now: float
    ) -> StreamOrigin | PresumedOrigin | UnknownOrigin | None:
        """Return the origin of the stream that a request takes up, as far as this host knows."""
        if not request.resume_after:
            return None
        origin = self._find_recorded(request)
        if origin is not None:
            return origin
        services = self._list_services(request.route, now)
        possible = self._list_possible(services, now)
        are_known = all(map(self.versions.is_known, services))
        return PresumedOrigin(possible[0]) if len(possible) == 1 and are_known else UnknownOrigin()

    def _find_recorded(self, request: CallerRequest) -> StreamOrigin | None:
        return self.origins.find(identify_stream(request.resumes)) if request.resumes else None

    def record_begun(self, request: CallerRequest, origin: StreamOrigin, now: float) -> None:
        """Record that an attempt has brought the first event of its part of a stream."""
        if not request.route.is_resumable:
            return
        key = identify_stream(request.resumes if request.resume_after else request.id)
        self.origins.record(key, origin, now)
        self._running.setdefault(key, _RunningStream(origin, request.route))
        self._announce_if_ambiguous(key, now)

    def record_ended(self, request: CallerRequest) -> None:
        """Record that a request has ended."""
        key = identify_stream(request.resumes if request.resume_after else request.id)
        self._running.pop(key, None)

    def record_routes(self, before: RouteTable | None, now: float) -> None:
        """Record which services the routes had, when a configuration replaces that one."""
        if before is None:
            return
        for route in before.configuration.routes:
            former = self._former_services.setdefault((route.host, route.path_prefix), {})
            former.update((share.service, now) for share in route.shares)

    def update(self, now: float) -> None:
        """Tell peers of running streams whose origin has become ambiguous, and forget old routes.

        Called at regular intervals.
        """
        self.versions.forget_old(now)
        for name, former in list(self._former_services.items()):
            kept = {key: at for key, at in former.items() if now - at <= STREAM_LIFETIME_S}
            self._former_services[name] = kept
            if not kept:
                del self._former_services[name]
        for key in list(self._running):
            self._announce_if_ambiguous(key, now)

    def list_announced(self) -> list[tuple[str, StreamOrigin]]:
        """Return the running streams that peers have to know of."""
        return [
            (key, stream.origin) for key, stream in self._running.items() if stream.is_announced
        ]

    def _announce_if_ambiguous(self, key: str, now: float) -> None:
        stream = self._running[key]
        if not stream.is_announced and self._is_ambiguous(stream.route, now):
            stream.is_announced = True
            self.on_begun(key, stream.origin)

    def _list_services(self, route: Route, now: float) -> set[str]:
        """Return the services to which a route sends requests, or did lately."""
        former = self._former_services.get((route.host, route.path_prefix), {})
        recent = {service for service, at in former.items() if now - at <= STREAM_LIFETIME_S}
        return recent.union(share.service for share in route.shares)

    def _list_possible(self, services: Iterable[str], now: float) -> list[StreamOrigin]:
        return [
            StreamOrigin(service, version)
            for service in services
            for version in self.versions.find_recent(service, now)
        ]

    def _is_ambiguous(self, route: Route, now: float) -> bool:
        return len(self._list_possible(self._list_services(route, now), now)) > 1


def group_streams(streams: Iterable[tuple[str, StreamOrigin]]) -> tuple[BegunStreams, ...]:
    """Return streams grouped by their origins."""
    keys: dict[StreamOrigin, list[str]] = {}
    for key, origin in streams:
        keys.setdefault(origin, []).append(key)
    return tuple(
        BegunStreams(origin.service, origin.software, tuple(found))
        for origin, found in keys.items()
    )


def identify_stream(request_id: str) -> str:
    """Return the key of the stream that a request began."""
    return urlsafe_b64encode(xxh3_64_digest(request_id.encode()))[:STREAM_KEY_LENGTH].decode()
