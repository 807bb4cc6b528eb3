"""Relays an event stream from an upstream to a caller, and checks that it is complete."""

import re
from collections.abc import Generator
from socket import socket
from time import perf_counter

from attrs import define, field
from logbook import Logger

from cherrylane.delivery.attempts import GrantedExchange
from cherrylane.delivery.bodies import BodyDecoder, DetachedBody
from cherrylane.delivery.responses import render_error_event
from cherrylane.delivery.streams import Stream, StreamLoop, StreamTask, WakeReason
from cherrylane.errors import Execution, IncompleteResponseError, Refusal
from cherrylane.http.messages import LAST_CHUNK, encode_chunk
from cherrylane.relay.continuity import ContinuityCheck, SoundEvents, StreamProgress
from cherrylane.relay.events import MAX_EVENT_BYTES, EventSplitter
from cherrylane.telemetry.metrics import Metrics

DONE_EVENT_AT_END = re.compile(rb"(?:^|\n)data: ?\[DONE\](?:\r?\n){2,}\Z")
TAIL_BYTES = 1024
READ_BYTES = 64 * 1024
CHUNKS_PER_GAP_SAMPLE = 8

log = Logger("cherrylane.delivery")


@define
class StreamRelay:
    """Relays one event stream, and releases its grant however the stream ends.

    ``started`` is the :func:`time.perf_counter` time at which the request was received.
    """

    granted: GrantedExchange
    loop: StreamLoop
    metrics: Metrics
    started: float
    service: str
    silence_timeout_s: float

    def begin(self, caller: socket, *, chunked: bool) -> None:
        """Add the stream to the loop, which takes ownership of ``caller``.

        ``chunked`` selects chunked framing towards the caller, as for HTTP/1.1.
        """
        body = self.granted.exchange.detach()
        caller.setblocking(False)
        stream = Stream(body.connection, caller, self.silence_timeout_s)
        active = _ActiveRelay(self, stream, BodyDecoder(body), chunked)
        stream.task = active.relay(body)
        self.loop.add(stream)

    def abandon(self) -> None:
        """Release the grant of a stream that was not started."""
        self.granted.finish()


@define
class _ActiveRelay:
    """The state of one relay in progress."""

    owner: StreamRelay
    stream: Stream
    decoder: BodyDecoder
    chunked: bool
    splitter: EventSplitter = field(factory=EventSplitter)
    check: ContinuityCheck = field(
        factory=lambda: ContinuityCheck(StreamProgress(), is_joined=False)
    )
    tail: bytes = b""
    unsent: bytes = b""
    chunks_read: int = 0
    gap_started: float = 0.0

    def relay(self, body: DetachedBody) -> StreamTask:
        """Relay events until the response is complete, fails, or the caller disconnects."""
        try:
            if body.failure:
                raise ConnectionResetError(body.failure)
            if body.leftover:
                self._forward(body.leftover)
            while not self.decoder.complete:
                if self.unsent and not (yield from self._wait_for_caller()):
                    return
                wake = yield
                if wake is not WakeReason.READABLE:
                    self._stop_on(wake)
                    return
                self._relay_available()
            self._finish()
            if self.unsent:
                yield from self._wait_for_caller()
        except IncompleteResponseError as error:
            self._end_early(error.problem)
        except OSError as error:
            self._end_early(f"the connection failed ({type(error).__name__})")
        finally:
            self.owner.granted.finish()

    def _wait_for_caller(self) -> Generator[None, WakeReason, bool]:
        """Wait until all data is sent to the caller; returns False if the caller disconnects."""
        self.owner.loop.block(self.stream)
        while self.unsent:
            wake = yield
            if wake is not WakeReason.WRITABLE:
                self._count_disconnect()
                return False
            self._send_unsent()
        self.owner.loop.unblock(self.stream)
        return True

    def _stop_on(self, wake: WakeReason) -> None:
        if wake is WakeReason.SILENT:
            self._end_early(f"the engine completed no event for {self.owner.silence_timeout_s:g} s")
        else:
            self._count_disconnect()

    def _relay_available(self) -> None:
        try:
            data = self.stream.upstream.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data and not self.decoder.close_delimited:
            raise ConnectionResetError(
                "the engine closed the connection before the end of the response"
            )
        if not data:
            self.decoder.complete = True
            return
        self._forward(data)

    def _forward(self, data: bytes) -> None:
        events = self._decode(data)
        self._send(events.data)
        if events.offence:
            raise IncompleteResponseError(events.offence, remedy="check the engine", sent=True)
        if self.decoder.broken:
            raise ConnectionResetError("the engine sent invalid HTTP framing")
        if self.splitter.is_oversized:
            raise ConnectionResetError(f"an event of more than {MAX_EVENT_BYTES} bytes")

    def _decode(self, data: bytes) -> SoundEvents:
        """Return the events that are now complete, as far as their ids increase."""
        sound = self.check.take(self.splitter.feed(self.decoder.decode(data)))
        events = sound.data
        if events:
            self.stream.record_progress()
            self.tail = events if len(events) >= TAIL_BYTES else (self.tail + events)[-TAIL_BYTES:]
            self._record_timing()
        return sound

    def _record_timing(self) -> None:
        self.chunks_read += 1
        if self.chunks_read == 1:
            now = perf_counter()
            self.owner.metrics.first_token.record(now - self.owner.started)
        elif self.chunks_read % CHUNKS_PER_GAP_SAMPLE == 0:
            self.gap_started = perf_counter()
        elif self.chunks_read % CHUNKS_PER_GAP_SAMPLE == 1 and self.gap_started:
            self.owner.metrics.token_gap.record(perf_counter() - self.gap_started)

    def _send(self, body: bytes) -> None:
        self.unsent += encode_chunk(body) if self.chunked else body
        if self.unsent:
            self._send_unsent()

    def _send_unsent(self) -> None:
        try:
            sent = self.stream.caller.send(self.unsent)
        except BlockingIOError:
            return
        self.unsent = self.unsent[sent:]

    def _finish(self) -> None:
        owner = self.owner
        if not DONE_EVENT_AT_END.search(self.tail) or self.splitter.is_inside_event:
            self._end_early("the stream ended without its final event")
            return
        self._send(self.splitter.remainder)
        owner.granted.record_usage(self.tail)
        owner.metrics.count("answers", owner.service)
        self._send_end()

    def _end_early(self, message: str) -> None:
        owner = self.owner
        owner.granted.record_failure()
        owner.metrics.count("refusals", "stream_cut")
        log.warning(f"stream from upstream {owner.granted.grant.engine} ended early: {message}")
        self._send(render_error_event(_make_cut_refusal(message)))
        self._send_end()

    def _send_end(self) -> None:
        if self.chunked:
            self.unsent += LAST_CHUNK
            self._send_unsent()

    def _count_disconnect(self) -> None:
        self.owner.metrics.count("dropped_answers", "caller_gone")


def _make_cut_refusal(message: str) -> Refusal:
    return Refusal(
        status=502,
        code="stream_cut",
        message=message,
        remedy="send the request again; the response so far is incomplete",
        execution=Execution.UNKNOWN,
    )
