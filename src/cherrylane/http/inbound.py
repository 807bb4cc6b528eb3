"""Server side of HTTP/1.1: one task per connection handles its requests in order.

Requests are read completely before they are handled. When a caller closes its connection, or only
its sending side, its request is cancelled at once.
"""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from select import POLLIN, poll
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Protocol

from logbook import Logger

from cherrylane.http.framing import ReadFailure
from cherrylane.http.limits import InboundLimits
from cherrylane.http.memory import MemoryAccount
from cherrylane.http.messages import (
    Request,
    RequestHead,
    Response,
    encode_response_head,
)
from cherrylane.http.request_reader import RequestReader
from cherrylane.http.responder import Responder
from cherrylane.http.unsent import UnsentData
from cherrylane.limits.memory_pressure import CutReason, Reader

# Seconds for which a connection is still read after the last response has left; closing it with
# unread data would send a reset, and the caller could lose that response.
LINGER_S = 1.0
# SO_LINGER with a timeout of zero: closing the socket resets the connection.
RESET_ON_CLOSE = pack("ii", 1, 0)
# Bytes of unsent response above which a handler waits for the caller to read.
WRITE_BUFFER_BYTES = 64 * 1024

log = Logger("cherrylane.http")

Handler = Callable[[Request, Responder], Awaitable[None]]
FailureListener = Callable[[ReadFailure], None]
# Called with the head of a request that was read and not handled, and who ended its connection.
DropListener = Callable[[RequestHead, str], None]


class ConnectionOwner(Protocol):
    """What all connections of a listener share: handler, limits and state."""

    limits: InboundLimits
    memory: MemoryAccount
    max_descriptor: int
    draining: bool

    @property
    def connections(self) -> set["InboundConnection"]:
        """The open connections, which add and remove themselves."""

    @property
    def handle(self) -> Handler:
        """The function that handles a request."""

    @property
    def on_read_failure(self) -> FailureListener:
        """The function that is told of requests that could not be read."""

    @property
    def on_dropped(self) -> DropListener:
        """The function that is told of requests that were read and not handled."""


class InboundConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(
            lambda: server.limits,
            server.memory,
            on_queued=self._notify_request,
            on_due=self._restart_timer,
            on_continue=self._send_continue,
        )
        self._request_queued: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._unsent: UnsentData
        self._caller: Reader
        self._transport: asyncio.Transport
        self._task: asyncio.Task[None] | None = None
        self._timeout_handle: asyncio.TimerHandle | None = None
        self._lingering = False
        self._idle_since = 0.0
        # What the caller had not received when the timer was started, if some waited here.
        self._unsent_bytes = 0
        # Bytes written of the current response.
        self._response_bytes = 0
        # Until when a caller may take the rest of the last response.
        self._response_due_at = 0.0
        self.is_busy = False
        self.is_lost = False
        self.served = 0
        # Who ended the connection first, and why; empty while it is open.
        self.ended_by = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self._caller = self._server.memory.pressure.open(peer[0] if peer else "", self.cut)
        self._unsent = UnsentData(transport, self._server.memory, self._caller)
        self._reader.set_caller(self._caller)
        self._server.connections.add(self)
        self._start_idle_timer()
        self._task = self._loop.create_task(self._serve())
        self._make_room(transport.get_extra_info("socket").fileno())

    def _make_room(self, descriptor: int) -> None:
        """Cut a slow caller, or this one, if the process has too many open descriptors."""
        if 0 < self._server.max_descriptor <= descriptor:
            pressure = self._server.memory.pressure
            if not pressure.cut_for_descriptor():
                pressure.cut(self._caller, CutReason.DESCRIPTORS)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)

    def eof_received(self) -> bool:
        # A caller that closed its sending side counts as disconnected: nobody reads the response.
        self._record_end("caller: end of its sending side")
        if self._task is not None:
            self._task.cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self._record_end(f"network: {type(exc).__name__}" if exc else "caller: close")
        self._server.connections.discard(self)
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self._task is not None:
            self._task.cancel()
        for item in self._reader.requests:
            if isinstance(item, Request):
                self._server.on_dropped(item.head, self.ended_by)
        self._reader.discard()
        self._unsent.release()
        self._server.memory.pressure.close(self._caller)

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        self._unsent.count()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def _send_continue(self) -> None:
        """Ask for the body of a request, if that is due and all requests before are answered."""
        if self._reader.owes_continue and not self.is_busy and not self._reader.requests:
            self._reader.owes_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def is_unfinished(self) -> bool:
        """Whether a request arrives, is read or handled, or its answer has not left yet."""
        has_unsent_data = bool(self._transport.get_write_buffer_size())
        if self.is_busy or has_unsent_data:
            return True
        return not self._reader.is_stopped and (self._has_request or self._has_unread_data())

    @property
    def _has_request(self) -> bool:
        """Whether a request waits behind the one being handled, or has begun to arrive."""
        return self._reader.is_reading or bool(self._reader.requests)

    def close_if_idle(self) -> None:
        """Close the connection unless a request arrives, is being read or is handled on it."""
        is_idle = not (self._lingering or self.is_busy or self._has_request)
        if is_idle and not self._has_unread_data():
            self.close()

    def refuse_unread(self, failure: ReadFailure) -> bool:
        """Answer a request that is being read with ``failure``; returns whether there was one."""
        is_refused = self._reader.is_reading and not self._reader.is_stopped
        if is_refused:
            self._reader.fail(failure)
        return is_refused

    @property
    def has_unreceived_data(self) -> bool:
        """Whether bytes written have not been received by the other end's kernel."""
        return self._unsent.unreceived_bytes > 0

    def _has_unread_data(self) -> bool:
        """Whether data, or the end of the connection, has arrived and will be read next."""
        poller = poll()
        poller.register(self._transport.get_extra_info("socket").fileno(), POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Stop sending, and linger so that the last response arrives."""
        if self.is_lost or self._lingering:
            return
        self._record_end("host: close after a response")
        self._lingering = True
        self._reader.stop()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger()

    def _record_end(self, ended_by: str) -> None:
        self.ended_by = self.ended_by or ended_by

    def abort(self, reason: str = "reset within a response") -> None:
        """Reset the connection, so that a partial response does not look complete."""
        self._record_end(f"host: {reason}")
        if not self.is_lost:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def break_off(self, *, is_visible: bool) -> None:
        """End the connection within a response; ``is_visible`` if its framing shows that.

        A reset discards what the caller has not received yet, also of the responses before. While
        that is some, the connection is closed instead, if the caller can tell.
        """
        if is_visible and not self.is_lost and self._unsent.unreceived_bytes > self._response_bytes:
            self.close()
        else:
            self.abort()

    def write(self, data: bytes) -> None:
        """Queue bytes of a response."""
        self._response_bytes += len(data)
        self._unsent.write(data)

    def cut(self) -> None:
        """Reset the connection to free its memory; a response in progress stays incomplete."""
        self.abort("reset for the sake of memory or descriptors")
        self._unsent.release()
        if self._task is not None:
            self._task.cancel()

    async def drain(self) -> None:
        """Wait until the caller has read enough of the queued bytes."""
        if self._writable is not None:
            # Shielded, since cancelling a handler's wait would cancel the future for later waits.
            await asyncio.shield(self._writable)

    async def _serve(self) -> None:
        try:
            while not self._lingering:
                await self._serve_next()
        except asyncio.CancelledError:
            self._record_end("host: cancelled")
            if not self.is_lost:
                self._transport.abort()

    async def _serve_next(self) -> None:
        """Serve one request; a task that waits for the next one holds nothing of it."""
        match await self._next_request():
            case ReadFailure() as failure:
                self._respond_to_failure(failure)
            case Request() as request:
                await self._handle(request)

    async def _handle(self, request: Request) -> None:
        self.is_busy = True
        self.served += 1
        self._response_bytes = 0
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
        # While another request is there, the connection is closed only after that one's response.
        responder = Responder(
            self,
            request.head,
            is_draining=lambda: self._server.draining and not self._has_request,
        )
        try:
            await self._server.handle(request, responder)
        except asyncio.CancelledError as error:
            if self._is_cancelled:
                if responder.started and not responder.finished:
                    responder.abort()
                raise
            # Something that the handler waited for was cancelled; the caller is still there.
            self._end_failed(responder, error)
        except Exception as error:
            self._end_failed(responder, error)
        finally:
            self.is_busy = False
            if request.held is not None:
                request.held.release()
            self._hold_unsent()
            self._response_due_at = self._loop.time() + self._server.limits.body_timeout_s
        if not responder.keeps_connection:
            self.close()
            return
        if self._reader.is_reading:
            self._send_continue()
            self._restart_timer(self._server.limits.read_timeout_s)
        else:
            self._start_idle_timer()

    def _hold_unsent(self) -> None:
        """Give a whole response up if there is no memory for what the caller has not read of it."""
        self._unsent.count()
        account = self._server.memory
        if self._unsent.size > WRITE_BUFFER_BYTES and not account.can_keep():
            account.pressure.cut(self._caller, CutReason.WHOLE)

    @property
    def _is_cancelled(self) -> bool:
        """Whether the task was asked to end: the caller has left, or the process ends."""
        return self._task is not None and self._task.cancelling() > 0

    def _end_failed(self, responder: Responder, error: BaseException) -> None:
        """End the request of a handler that has failed; others are not affected."""
        log.exception(
            "handling a request failed", extra={"reason": f"{type(error).__name__}: {error}"}
        )
        if responder.finished:
            return
        if responder.started:
            responder.abort()
        else:
            # The request may have been sent to an upstream, so this promises nothing.
            responder.send(Response(HTTPStatus.BAD_GATEWAY))

    async def _next_request(self) -> Request | ReadFailure:
        while not self._reader.requests:
            self._request_queued = self._loop.create_future()
            await self._request_queued
        return self._reader.requests.popleft()

    def _respond_to_failure(self, failure: ReadFailure) -> None:
        self._server.on_read_failure(failure)
        if failure.silent:
            self.close()
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if failure.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % failure.retry_after_s))
        self.write(encode_response_head(failure.status, headers))
        self.close()

    def _notify_request(self) -> None:
        if self._request_queued is not None and not self._request_queued.done():
            self._request_queued.set_result(None)

    def _restart_timer(self, seconds: float) -> None:
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
        self._unsent_bytes = self._find_unsent()
        self._timeout_handle = self._loop.call_later(seconds, self._on_timeout)

    def _find_unsent(self) -> int:
        """Return how much the caller has to take until nothing waits in this process, and more.

        A byte that it takes may only make room in the kernel.
        """
        return self._unsent.unreceived_bytes if self._unsent.size else 0

    def _start_idle_timer(self) -> None:
        self._idle_since = self._loop.time()
        self._restart_timer(self._server.limits.idle_timeout_s)

    def _linger(self) -> None:
        is_sending = self._transport.get_write_buffer_size() > 0
        self._restart_timer(self._server.limits.idle_timeout_s if is_sending else LINGER_S)

    @property
    def _is_response_read(self) -> bool:
        """Whether the caller has taken some of a response since the timer was started, in time."""
        has_sent_more = self._find_unsent() != self._unsent_bytes
        return has_sent_more and self._loop.time() < self._response_due_at

    def _on_timeout(self) -> None:
        if self._lingering and self._is_response_read:
            self._linger()
        elif self._lingering:
            self._record_end("host: response not read in time")
            self._transport.abort()
        elif self.is_busy or self._reader.requests:
            return
        elif self._reader.is_reading:
            self._reader.fail(
                ReadFailure(HTTPStatus.REQUEST_TIMEOUT, "timed out while reading the request")
            )
        else:
            self._end_idle()

    def _end_idle(self) -> None:
        if self._is_response_read:
            self._start_idle_timer()
            return
        # The limits may have been replaced since the timer was started.
        ends_at = self._idle_since + self._server.limits.idle_timeout_s
        time_left_s = ends_at - self._loop.time()
        if time_left_s > 0 or self._has_unread_data():
            self._restart_timer(max(0.0, time_left_s))
        else:
            self._reader.fail(ReadFailure(HTTPStatus.REQUEST_TIMEOUT, "idle", silent=True))
