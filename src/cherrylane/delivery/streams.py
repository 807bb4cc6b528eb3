"""The loop that runs all streams of a daemon: one task for each, woken when it can go on.

A thread for each stream spends most of its time on handing the interpreter lock around: with
hundreds of streams, each event wakes a thread. Here one thread waits for all sockets at once and
resumes the tasks that are ready. A task is a generator, written straight down.
"""

from collections.abc import Generator
from enum import Enum
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT, EPOLLRDHUP, epoll
from socket import socket, socketpair
from threading import Lock, Thread
from time import monotonic

from attrs import define, field
from logbook import Logger

SWEEP_S = 0.5
WAKE_BYTES = 4096

log = Logger("cherrylane.delivery")


class WakeReason(Enum):
    """Why a task is resumed."""

    READABLE = "readable"
    WRITABLE = "writable"
    CALLER_GONE = "caller gone"
    SILENT = "silent"


StreamTask = Generator[None, WakeReason, None]


@define(eq=False)
class Stream:
    """The two sockets of one relayed answer, and the task that relays it."""

    upstream: socket
    caller: socket
    silence_timeout_s: float
    task: StreamTask | None = None
    heard_at: float = field(factory=monotonic)
    is_blocked: bool = False

    def close(self) -> None:
        """Close both sockets."""
        self.upstream.close()
        self.caller.close()


class StreamLoop:
    """Runs streams on a thread of its own."""

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
        """Begin to run streams."""
        self._thread.start()

    def stop(self) -> None:
        """Close what still runs, and end the thread."""
        self._stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join()

    def add(self, stream: Stream) -> None:
        """Run ``stream`` from now on; may be called on any thread."""
        with self._lock:
            self._new.append(stream)
        self._wake()

    def block(self, stream: Stream) -> None:
        """Wait until the caller takes more before anything is read for it."""
        stream.is_blocked = True
        self._epoll.modify(stream.upstream.fileno(), 0)
        self._epoll.modify(stream.caller.fileno(), EPOLLOUT | EPOLLRDHUP)

    def unblock(self, stream: Stream) -> None:
        """Read from the upstream again."""
        stream.is_blocked = False
        self._epoll.modify(stream.upstream.fileno(), EPOLLIN)
        self._epoll.modify(stream.caller.fileno(), EPOLLRDHUP)

    def _run(self) -> None:
        next_sweep = monotonic() + SWEEP_S
        while not self._stopping:
            for descriptor, events in self._epoll.poll(SWEEP_S):
                self._dispatch(descriptor, events)
            if monotonic() >= next_sweep:
                next_sweep = monotonic() + SWEEP_S
                self._sweep()
        for stream in list(self._upstreams.values()):
            self._resume(stream, WakeReason.CALLER_GONE)

    def _dispatch(self, descriptor: int, events: int) -> None:
        stream = self._upstreams.get(descriptor)
        if stream is not None:
            stream.heard_at = monotonic()
            self._resume(stream, WakeReason.READABLE)
            return
        stream = self._callers.get(descriptor)
        if stream is None:
            self._take_new()
        elif events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR):
            self._resume(stream, WakeReason.CALLER_GONE)
        else:
            self._resume(stream, WakeReason.WRITABLE)

    def _take_new(self) -> None:
        try:
            self._wake_reader.recv(WAKE_BYTES)
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
            log.exception("a stream's task failed")
            self._remove(stream)

    def _remove(self, stream: Stream) -> None:
        for streams, end in ((self._upstreams, stream.upstream), (self._callers, stream.caller)):
            if streams.pop(end.fileno(), None) is not None:
                self._epoll.unregister(end.fileno())
        stream.close()

    def _sweep(self) -> None:
        """Wake tasks whose upstream, or whose caller that takes nothing, has been silent long."""
        now = monotonic()
        for stream in list(self._upstreams.values()):
            if now - stream.heard_at > stream.silence_timeout_s:
                self._resume(stream, WakeReason.SILENT)

    def _wake(self) -> None:
        self._wake_writer.send(b"\0")
