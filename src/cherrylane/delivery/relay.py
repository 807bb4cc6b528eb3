"""Relay of a streamed answer: chunks pass as they come, and the end is checked."""

from collections.abc import Iterator
from time import perf_counter

from attrs import define
from logbook import Logger

from cherrylane.delivery.answers import render_error_event
from cherrylane.delivery.attempts import Delivered
from cherrylane.errors import Execution, Refusal, UpstreamError
from cherrylane.telemetry.metrics import Metrics

DONE_MARK = b"data: [DONE]"
TAIL_BYTES = 1024

log = Logger("cherrylane.delivery")


@define
class StreamRelay:
    """Relays one event stream and gives the grant back at its end, however it ends."""

    delivered: Delivered
    metrics: Metrics
    started: float
    service: str

    def relay(self) -> Iterator[bytes]:
        """Yield the engine's events; one that breaks off ends with an error event."""
        tail = b""
        previous: float | None = None
        try:
            for chunk in self.delivered.exchange.chunks():
                previous = self._record(previous)
                tail = (tail + chunk)[-TAIL_BYTES:]
                yield chunk
            if DONE_MARK not in tail:
                self.delivered.note_failure()
                yield self._end_early("the stream ended without its last event")
            else:
                self.delivered.note_usage(tail)
                self.metrics.count("answers", self.service)
        except UpstreamError as error:
            log.warning(f"stream broke off: {error}")
            self.delivered.note_failure()
            yield self._end_early("the engine's answer broke off")
        finally:
            self.delivered.finish()

    def _record(self, previous: float | None) -> float:
        now = perf_counter()
        if previous is None:
            self.metrics.first_token.record(now - self.started)
        else:
            self.metrics.token_gap.record(now - previous)
        return now

    def _end_early(self, message: str) -> bytes:
        self.metrics.count("refusals", "stream_cut")
        return render_error_event(
            Refusal(
                status=502,
                code="stream_cut",
                message=message,
                remedy="send the request again; what came so far is not the whole answer",
                execution=Execution.UNKNOWN,
            )
        )
