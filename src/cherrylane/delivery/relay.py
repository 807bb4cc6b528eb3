"""Relay of a streamed answer: its events pass as they come, and its end is checked."""

from collections.abc import Generator
from socket import socket
from time import perf_counter

from attrs import define
from httptools import HttpParserError, HttpResponseParser
from logbook import Logger

from cherrylane.delivery.attempts import GrantedExchange
from cherrylane.delivery.exchange import DetachedBody
from cherrylane.delivery.responses import render_error_event
from cherrylane.delivery.streams import Stream, StreamLoop, StreamTask, WakeReason
from cherrylane.errors import Execution, Refusal
from cherrylane.telemetry.metrics import Metrics

DONE_MARK = b"data: [DONE]"
TAIL_BYTES = 1024
READ_BYTES = 64 * 1024
GAPS_PER_SAMPLE = 8
LAST_CHUNK = b"0\r\n\r\n"

log = Logger("cherrylane.delivery")


class _BodyDecoder:
    """Takes a body out of its framing; ``httptools`` calls the ``on_`` methods."""

    def __init__(self, body: DetachedBody) -> None:
        self.complete = False
        self.broken = False
        self.ends_at_close = body.ends_at_close
        self._parts: list[bytes] = []
        self._parser = HttpResponseParser(self)
        self._parser.feed_data(body.head)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Note that the body is whole."""
        self.complete = True

    def decode(self, data: bytes) -> bytes:
        """Return the part of the body that ``data`` holds, up to where its framing is broken."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.broken = True
        if len(self._parts) == 1:
            return self._parts.pop()
        body = b"".join(self._parts)
        self._parts.clear()
        return body


@define
class StreamRelay:
    """Relays one event stream, and gives its grant back however it ends.

    ``chunked`` says that the caller's side uses chunked framing, as HTTP/1.1 callers do.
    """

    delivered: GrantedExchange
    loop: StreamLoop
    metrics: Metrics
    started: float
    service: str
    silence_timeout_s: float

    def begin(self, caller: socket, *, chunked: bool) -> None:
        """Hand the stream to the loop; the relay owns ``caller`` from now on."""
        body = self.delivered.exchange.detach()
        caller.setblocking(False)
        stream = Stream(body.connection, caller, self.silence_timeout_s)
        run = _RunningRelay(self, stream, _BodyDecoder(body), chunked)
        stream.task = run.relay(body.leftover)
        self.loop.add(stream)

    def abandon(self) -> None:
        """Give up a stream that was not begun."""
        self.delivered.finish()


@define
class _RunningRelay:
    """One relay in progress."""

    owner: StreamRelay
    stream: Stream
    decoder: _BodyDecoder
    chunked: bool
    tail: bytes = b""
    unsent: bytes = b""
    events: int = 0
    previous: float = 0.0

    def relay(self, leftover: bytes) -> StreamTask:
        """Pass events on until the answer ends, breaks off, or the caller leaves."""
        try:
            if leftover:
                self._take(leftover)
            while not self.decoder.complete:
                if self.unsent and not (yield from self._wait_for_caller()):
                    return
                wake = yield
                if wake is not WakeReason.READABLE:
                    self._give_up(wake)
                    return
                self._pass_on()
            self._finish_whole()
            if self.unsent:
                yield from self._wait_for_caller()
        except OSError as error:
            self._end_early(f"the stream broke off ({type(error).__name__})")
        finally:
            self.owner.delivered.finish()

    def _wait_for_caller(self) -> Generator[None, WakeReason, bool]:
        """Wait until the caller has taken everything; False when it has gone."""
        self.owner.loop.block(self.stream)
        while self.unsent:
            wake = yield
            if wake is not WakeReason.WRITABLE:
                self._note_caller_gone()
                return False
            self._send_unsent()
        self.owner.loop.unblock(self.stream)
        return True

    def _give_up(self, wake: WakeReason) -> None:
        if wake is WakeReason.SILENT:
            self._end_early("the engine fell silent")
        else:
            self._note_caller_gone()

    def _pass_on(self) -> None:
        try:
            data = self.stream.upstream.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data and not self.decoder.ends_at_close:
            raise ConnectionResetError("the engine closed the connection")
        if not data:
            self.decoder.complete = True
            return
        self._take(data)

    def _take(self, data: bytes) -> None:
        self._send(self._decode(data))
        if self.decoder.broken:
            raise ConnectionResetError("the engine broke the framing of its answer")

    def _decode(self, data: bytes) -> bytes:
        body = self.decoder.decode(data)
        if body:
            self.tail = body if len(body) >= TAIL_BYTES else (self.tail + body)[-TAIL_BYTES:]
            self._record()
        return body

    def _record(self) -> None:
        self.events += 1
        if self.events == 1:
            now = perf_counter()
            self.owner.metrics.first_token.record(now - self.owner.started)
        elif self.events % GAPS_PER_SAMPLE == 0:
            self.previous = perf_counter()
        elif self.events % GAPS_PER_SAMPLE == 1 and self.previous:
            self.owner.metrics.token_gap.record(perf_counter() - self.previous)

    def _send(self, body: bytes) -> None:
        if body:
            self.unsent += b"%x\r\n%b\r\n" % (len(body), body) if self.chunked else body
            self._send_unsent()

    def _send_unsent(self) -> None:
        try:
            sent = self.stream.caller.send(self.unsent)
        except BlockingIOError:
            return
        self.unsent = self.unsent[sent:]

    def _finish_whole(self) -> None:
        owner = self.owner
        if DONE_MARK not in self.tail:
            self._end_early("the stream ended without its last event")
            return
        owner.delivered.record_usage(self.tail)
        owner.metrics.count("answers", owner.service)
        self._send_end()

    def _end_early(self, message: str) -> None:
        owner = self.owner
        owner.delivered.record_failure()
        owner.metrics.count("refusals", "stream_cut")
        log.warning(f"stream from {owner.delivered.grant.engine} was cut: {message}")
        self._send(render_error_event(_cut(message)))
        self._send_end()

    def _send_end(self) -> None:
        if self.chunked:
            self.unsent += LAST_CHUNK
            self._send_unsent()

    def _note_caller_gone(self) -> None:
        self.owner.metrics.count("dropped_answers", "caller_gone")


def _cut(message: str) -> Refusal:
    return Refusal(
        status=502,
        code="stream_cut",
        message=message,
        remedy="send the request again; what came so far is not the whole answer",
        execution=Execution.UNKNOWN,
    )
