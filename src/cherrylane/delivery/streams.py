"""An event loop that relays all streams of a daemon on one thread, as generator-based tasks.

With a thread per stream, each event wakes a thread, and with hundreds of streams most of the time
is spent on switching the interpreter lock (GIL) between them. Here one thread polls all sockets
with epoll and resumes the tasks that are ready.
"""

from collections.abc import Generator
from enum import Enum
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT, EPOLLRDHUP, epoll
from socket import socket, socketpair
from threading import Lock, Thread
from time import monotonic

from attrs import define, field
from logbook import Logger

TIMEOUT_CHECK_INTERVAL_S = 0.5
WAKE_READ_BYTES = 4096

log = Logger("cherrylane.delivery")


class WakeReason(Enum):
    """The reason for which a task is resumed."""

    READABLE = "readable"
    WRITABLE = "writable"
    CALLER_DISCONNECTED = "caller disconnected"
    SILENT = "silent"


StreamTask = Generator[None, WakeReason, None]


@define(eq=False)
class Stream:
    """The two sockets of one relayed response, and the task that relays it."""

    upstream: socket
    caller: socket
    silence_timeout_s: float
    task: StreamTask | None = None
    last_progress_at: float = field(factory=monotonic)
    is_blocked: bool = False

    def record_progress(self) -> None:
        """Record that an event was completed, or that the caller has taken data."""
        self.last_progress_at = monotonic()

    def close(self) -> None:
        """Close both sockets."""
        self.upstream.close()
        self.caller.close()


class StreamLoop:
    """Runs the tasks of all streams on one thread."""

    def __init__(self) -> None:
        self._epoll = epoll()
        self._upstreams: dict[int, Stream] = {}
        self._callers: dict[int, Stream] = {}
        self._new: list[Stream] = []
        self._lock = Lock()
        self._stopping = False
        self._wake_reader, self._wake_writer = socketpair()
        self._wake_reader.setblocking(False)
        self._epoll.register(self._wake_reader.fileno(), EPOLLIN)
        self._thread = Thread(target=self._run, name="streams", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close all running streams and stop the thread."""
        self._stopping = True
        self._wake_loop()
        if self._thread.is_alive():
            self._thread.join()

    def add(self, stream: Stream) -> None:
        """Start to run ``stream``; may be called from any thread."""
        with self._lock:
            self._new.append(stream)
        self._wake_loop()

    def block(self, stream: Stream) -> None:
        """Stop reading from the upstream, and wait for the caller's socket to be writable."""
        stream.is_blocked = True
        # epoll reports a reset even for an empty set of events; what arrived before it is read
        # once the caller has taken the rest.
        self._epoll.unregister(stream.upstream.fileno())
        self._epoll.modify(stream.caller.fileno(), EPOLLOUT | EPOLLRDHUP)

    def unblock(self, stream: Stream) -> None:
        """Resume reading from the upstream."""
        stream.is_blocked = False
        # The upstream was not read meanwhile, so its silence begins now.
        stream.record_progress()
        self._epoll.register(stream.upstream.fileno(), EPOLLIN)
        self._epoll.modify(stream.caller.fileno(), EPOLLRDHUP)

    def _run(self) -> None:
        next_check = monotonic() + TIMEOUT_CHECK_INTERVAL_S
        while not self._stopping:
            for descriptor, events in self._epoll.poll(TIMEOUT_CHECK_INTERVAL_S):
                self._dispatch(descriptor, events)
            if monotonic() >= next_check:
                next_check = monotonic() + TIMEOUT_CHECK_INTERVAL_S
                self._check_timeouts()
        for stream in list(self._upstreams.values()):
            self._resume(stream, WakeReason.CALLER_DISCONNECTED)

    def _dispatch(self, descriptor: int, events: int) -> None:
        stream = self._upstreams.get(descriptor)
        if stream is not None:
            self._resume(stream, WakeReason.READABLE)
            return
        stream = self._callers.get(descriptor)
        if stream is None:
            self._register_new()
        elif events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR):
            self._resume(stream, WakeReason.CALLER_DISCONNECTED)
        else:
            stream.record_progress()
            self._resume(stream, WakeReason.WRITABLE)

    def _register_new(self) -> None:
        try:
            self._wake_reader.recv(WAKE_READ_BYTES)
        except BlockingIOError:
            pass
        with self._lock:
            new, self._new = self._new, []
        for stream in new:
            self._upstreams[stream.upstream.fileno()] = stream
            self._callers[stream.caller.fileno()] = stream
            self._epoll.register(stream.upstream.fileno(), EPOLLIN)
            self._epoll.register(stream.caller.fileno(), EPOLLRDHUP)
            self._resume(stream, None)

    def _resume(self, stream: Stream, wake: WakeReason | None) -> None:
        assert stream.task is not None
        try:
            if wake is None:
                next(stream.task)
            else:
                stream.task.send(wake)
        except StopIteration:
            self._remove(stream)
        except Exception:
            log.exception("stream closed: its relay task raised an exception")
            self._remove(stream)

    def _remove(self, stream: Stream) -> None:
        for streams, end in ((self._upstreams, stream.upstream), (self._callers, stream.caller)):
            is_watched = end is stream.caller or not stream.is_blocked
            if streams.pop(end.fileno(), None) is not None and is_watched:
                self._epoll.unregister(end.fileno())
        stream.close()

    def _check_timeouts(self) -> None:
        """Resume each stream that has made no progress for its silence timeout.

        Either the upstream has completed no event, or the caller has not taken what was sent to it.
        """
        now = monotonic()
        for stream in list(self._upstreams.values()):
            if now - stream.last_progress_at > stream.silence_timeout_s:
                wake = WakeReason.CALLER_DISCONNECTED if stream.is_blocked else WakeReason.SILENT
                self._resume(stream, wake)

    def _wake_loop(self) -> None:
        self._wake_writer.send(b"\0")
