"""Idle connections to upstreams, and the opening of new ones."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from cherrylane.errors import ConnectError
from cherrylane.http.descriptors import find_lowest_free
from cherrylane.http.limits import ResponseLimits
from cherrylane.http.outbound import DEFAULT_LIMITS, OutboundConnection, open_connection
from cherrylane.settings.schema import Endpoint


@define
class ConnectionPool:
    """Idle connections by the name of their upstream.

    A connection is reused only within ``max_idle_s`` and within half of the keep-alive time that
    the upstream announced, so that the upstream does not close it at that moment. It never carries
    two requests with one id, since a late answer to the first would be taken for that to the
    second. ``get_max_idle`` returns how many idle connections may be kept to an upstream; without
    it there is no limit.
    """

    max_idle_s: float
    connect_timeout_s: float
    get_max_idle: Callable[[str], int] | None = None
    limits: ResponseLimits = DEFAULT_LIMITS
    # The descriptor from which on a new connection is one too many, 0 for none.
    max_descriptor: int = 0
    opened: int = 0
    _idle: dict[str, list[OutboundConnection]] = field(factory=dict)

    def take_idle(self, name: str, request_id: str = "") -> OutboundConnection | None:
        """Return a connection that was idle only briefly and has not carried this id, or None."""
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(name, [])
        for index in reversed(range(len(connections))):
            if connections[index].has_carried(request_id):
                continue
            connection = connections.pop(index)
            limit_s = min(self.max_idle_s, (connection.keep_alive_s or self.max_idle_s * 2) / 2)
            is_fresh = connection.is_open and now - connection.idle_since <= limit_s
            if is_fresh and not connection.has_unread_bytes():
                return connection
            connection.close()
        return None

    async def open(self, endpoint: Endpoint) -> OutboundConnection:
        """Open a new connection.

        Raises :class:`ConnectError` if that fails, or if the process has too many descriptors open.
        """
        if 0 < self.max_descriptor <= find_lowest_free():
            raise ConnectError(
                f"cannot connect to {endpoint} (too many open connections)",
                remedy="raise limits.max_fds, or start more hosts",
            )
        self.opened += 1
        return await open_connection(endpoint, self.connect_timeout_s, self.limits)

    def put(self, name: str, connection: OutboundConnection) -> None:
        """Keep a released connection for reuse; closes the oldest ones above the limit."""
        connections = self._idle.setdefault(name, [])
        connections.append(connection)
        if self.get_max_idle is not None:
            while len(connections) > self.get_max_idle(name):
                connections.pop(0).close()

    def close_stale(self) -> None:
        """Close connections that have been idle for more than ``max_idle_s``."""
        now = asyncio.get_running_loop().time()
        for name, connections in list(self._idle.items()):
            stale = [
                candidate
                for candidate in connections
                if now - candidate.idle_since > self.max_idle_s
            ]
            for connection in stale:
                connection.close()
            still_open = [candidate for candidate in connections if candidate.is_open]
            if still_open:
                self._idle[name] = still_open
            else:
                del self._idle[name]

    def forget(self, name: str) -> None:
        """Close the idle connections to an upstream that was removed."""
        for connection in self._idle.pop(name, []):
            connection.close()
