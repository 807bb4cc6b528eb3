"""Relaying of event streams to callers as the events arrive."""

import asyncio
from collections.abc import Callable

from attrs import define

from cherrylane.errors import IncompleteResponseError
from cherrylane.http.messages import ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.relay.events import MAX_EVENT_BYTES, EventSplitter, has_event
from cherrylane.relay.exchange import OpenAnswer
from cherrylane.relay.outcomes import Broken, Completed, Outcome
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.stalls import MIN_PATIENCE_S

# Multiple of its target gap between events after which a silent resumable stream is also tried at
# another upstream.
EVENT_GAPS_TOLERATED = 4.0
# Seconds after its first event in which an upstream that its prompt crashes would have ended.
UNDER_WAY_S = 0.25


@define
class StreamProgress:
    """The progress of a stream over all the upstreams that it was relayed from."""

    last_id: str = ""
    first_at: float | None = None


@define
class StreamRelay:
    """Relays one answer of a caller's stream; a broken one is resumed after its last whole event.

    ``claim`` is called before anything is sent to the caller: other attempts at the request end
    then. ``record_progress`` is called with the seconds until the next event is due, None if none
    is. ``record_first_event`` is called when the first complete event has arrived, and
    ``record_under_way`` with the time of that when later ones have come for ``UNDER_WAY_S``.
    """

    request: CallerRequest
    responder: Responder
    progress: StreamProgress
    claim: Callable[[], None] = lambda: None
    record_progress: Callable[[float | None], None] = lambda patience_s: None
    record_first_event: Callable[[], None] = lambda: None
    record_under_way: Callable[[float], None] = lambda answered_at: None
    _started_at: float | None = None
    _is_under_way: bool = False

    async def relay(self, answer: OpenAnswer) -> Outcome:
        """Relay events until the answer ends."""
        splitter = EventSplitter(last_id=self.progress.last_id)
        connection = answer.connection
        is_resumed = self.responder.started
        comments = b""
        try:
            while (part := await connection.read_part()) is not None:
                events = splitter.feed(part)
                if splitter.is_oversized or len(comments) > MAX_EVENT_BYTES:
                    connection.close()
                    return Broken(f"more than {MAX_EVENT_BYTES} bytes without a whole event")
                if not has_event(events):
                    # Comments keep a connection alive; they are no progress, and no begin.
                    comments += events
                    if self._started_at is not None and comments:
                        await self._forward(answer.head, comments)
                        comments = b""
                    continue
                self.claim()
                # A caller that reads slowly is no silence of the upstream.
                self.record_progress(None)
                self.progress.last_id = splitter.last_id
                await self._forward(answer.head, comments + events)
                comments = b""
                self._record_event()
            # A body of the announced length is whole, whatever it contains; it may still not be the
            # rest of a stream.
            if splitter.is_inside_event and (is_resumed or answer.head.framing != "length"):
                connection.close()
                return Broken(_describe_unfinished_event(answer.head, splitter))
            # A caller that resumes may have every event; one whose stream broke off here may not.
            may_be_empty = answer.head.has_length or (self.progress.last_id and not is_resumed)
            if self._started_at is None and not may_be_empty:
                connection.close()
                return Broken("the connection was closed before the first event")
            self.claim()
            if comments + splitter.remainder:
                await self._forward(answer.head, comments + splitter.remainder)
        except IncompleteResponseError as error:
            connection.close()
            return Broken(error.problem)
        if not self.responder.started:
            self.responder.start(answer.head.status, answer.head.end_to_end(), b"")
        self.responder.finish()
        return Completed()

    async def _forward(self, head: ResponseHead, data: bytes) -> None:
        if not self.responder.started:
            self.progress.first_at = asyncio.get_running_loop().time()
            self.responder.start(head.status, head.end_to_end(), data)
            return
        await self.responder.write(data)

    def _record_event(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
            self.record_first_event()
        elif not self._is_under_way and now - self._started_at >= UNDER_WAY_S:
            self._is_under_way = True
            self.record_under_way(self._started_at)
        event_gap_s = self.request.route.target_event_gap_s
        if event_gap_s is not None:
            self.record_progress(max(MIN_PATIENCE_S, event_gap_s * EVENT_GAPS_TOLERATED))


def _describe_unfinished_event(head: ResponseHead, splitter: EventSplitter) -> str:
    return (
        f"the answer (framing: {head.framing}) ended inside an event, "
        f"{len(splitter.remainder)} bytes after event {splitter.last_id or 'none'}"
    )
