"""A listening socket and the connections that callers have opened on it."""

import asyncio
from socket import socket
from typing import Any

from attrs import define, field
from logbook import Logger

from cherrylane.http.framing import ReadFailure
from cherrylane.http.inbound import DropListener, FailureListener, Handler, InboundConnection
from cherrylane.http.limits import InboundLimits
from cherrylane.http.memory import MemoryAccount

log = Logger("cherrylane.http")


@define
class InboundServer:
    """A listener, with the handler, limits and state that all of its connections share."""

    handle: Handler
    limits: InboundLimits
    on_read_failure: FailureListener = lambda failure: None
    on_dropped: DropListener = lambda head, ended_by: None
    memory: MemoryAccount = field(factory=MemoryAccount)
    # The descriptor from which on a new connection is one too many, 0 for none.
    max_descriptor: int = 0
    connections: set[InboundConnection] = field(factory=set)
    draining: bool = False
    # Chosen by the kernel if port 0 was requested; known also when the listener is closed.
    port: int = 0
    _listener: asyncio.Server | None = None
    _listening: socket | None = None
    _accepting: set[asyncio.Task[Any]] = field(factory=set)

    async def listen(self, listening: socket) -> None:
        """Accept connections on a socket that is already listening."""
        loop = asyncio.get_running_loop()
        self._listening = listening
        self.port = int(listening.getsockname()[1])
        self._listener = await loop.create_server(lambda: InboundConnection(self), sock=listening)

    def stop_accepting(self) -> None:
        """Close the listener; connections that are open or wait to be accepted are served."""
        if self._listening is not None and self._listening.fileno() >= 0:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._listening)
            # By the next turn of the loop, those that it has just accepted are set up, which fails
            # once the listener is closed.
            loop.call_soon(self._close_listener, self._listening)

    def _close_listener(self, listening: socket) -> None:
        loop = asyncio.get_running_loop()
        # The kernel resets what still waits when the listener is closed.
        while (connection := _accept(listening)) is not None:
            work = loop.connect_accepted_socket(lambda: InboundConnection(self), connection)
            task = loop.create_task(work)
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close every connection on which no request is being read or handled."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_unread(self, failure: ReadFailure) -> int:
        """Answer all requests that are still read with ``failure``; returns their number."""
        return sum(connection.refuse_unread(failure) for connection in list(self.connections))

    @property
    def has_unsent(self) -> bool:
        """Whether a response is due on a connection, or has not been received."""
        return any(one.is_unfinished or one.has_unreceived_data for one in self.connections)

    def abort_all(self) -> None:
        """Reset all remaining connections."""
        for connection in list(self.connections):
            connection.abort("reset at the end of the process")

    @property
    def unfinished(self) -> int:
        """The number of connections with a request that is read, handled or being answered."""
        return sum(1 for connection in self.connections if connection.is_unfinished)

    @property
    def busy(self) -> int:
        """The number of connections on which a request is being handled."""
        return sum(1 for connection in self.connections if connection.is_busy)


def _accept(listening: socket) -> socket | None:
    try:
        connection, _ = listening.accept()
    except BlockingIOError:
        return None
    except OSError as error:
        log.warning("cannot accept a connection that waits", extra={"reason": str(error)})
        return None
    connection.setblocking(False)
    return connection
