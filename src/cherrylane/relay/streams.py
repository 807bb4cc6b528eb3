"""Relaying of event streams to callers as the events arrive."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from cherrylane.errors import IncompleteResponseError
from cherrylane.http.memory import UNCOUNTED_BYTES, HeldMemory, MemoryAccount
from cherrylane.http.messages import ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.relay.continuity import ContinuityCheck, StreamProgress
from cherrylane.relay.events import MAX_EVENT_BYTES, EventSplitter
from cherrylane.relay.exchange import OpenAnswer
from cherrylane.relay.filled_bodies import contains_answer
from cherrylane.relay.outcomes import Broken, Completed, Outcome
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.stalls import MIN_PATIENCE_S

# Multiple of its target gap between events after which a silent resumable stream is also tried at
# another upstream.
EVENT_GAPS_TOLERATED = 4.0
# Seconds after its first event in which an upstream that its prompt crashes would have ended.
UNDER_WAY_S = 0.25


@define
class StreamRelay:
    """Relays one answer of a caller's stream; a broken one is resumed after its last whole event.

    ``claim`` is called before anything is sent to the caller: other attempts at the request end
    then. ``record_progress`` is called with the seconds until the next event is due, None if none
    is. ``record_first_event`` is called when the first complete event has arrived, and
    ``record_under_way`` with the time of that when later ones have come for ``UNDER_WAY_S``.
    ``held`` counts what has been received and cannot be passed on yet.
    """

    request: CallerRequest
    responder: Responder
    progress: StreamProgress
    claim: Callable[[], None] = lambda: None
    record_progress: Callable[[float | None], None] = lambda patience_s: None
    record_first_event: Callable[[], None] = lambda: None
    record_under_way: Callable[[float], None] = lambda answered_at: None
    held: HeldMemory = field(factory=lambda: MemoryAccount().open())
    _splitter: EventSplitter = field(factory=EventSplitter)
    _comments: bytearray = field(factory=bytearray)
    _started_at: float | None = None
    _is_under_way: bool = False

    async def relay(self, answer: OpenAnswer) -> Outcome:
        """Relay events until the answer ends, or until one does not belong to the stream."""
        try:
            problem = await self._relay_parts(answer)
        except IncompleteResponseError as error:
            problem = error.problem
        if problem:
            answer.connection.close()
            return Broken(problem)
        if not self.responder.started:
            self.responder.start(answer.head.status, answer.head.end_to_end(), b"")
        self.responder.finish()
        return Completed()

    async def _relay_parts(self, answer: OpenAnswer) -> str:
        """Relay events; returns why the answer does not end the stream, empty if it does."""
        try:
            return await self._relay_counted(answer)
        finally:
            # An exception keeps this relay for as long as its traceback lives.
            self._splitter.clear()
            self._comments = bytearray()
            self.held.release()

    async def _relay_counted(self, answer: OpenAnswer) -> str:
        splitter = self._splitter
        is_joined = self.responder.started
        check = ContinuityCheck(self.progress, is_joined=is_joined)
        while (part := await answer.connection.read_part()) is not None:
            problem, has_event = self._take_part(answer.head, part, splitter, check)
            # What was written waits in the connection to the caller, and is not kept twice.
            part = b""
            if splitter.size > UNCOUNTED_BYTES or self.held.size or self._comments:
                self.held.resize(splitter.size + len(self._comments))
            await self.responder.drain()
            if has_event:
                self._record_event()
            if problem:
                return problem
            if splitter.is_oversized or len(self._comments) > MAX_EVENT_BYTES:
                return f"more than {MAX_EVENT_BYTES} bytes without a whole event"
        problem = self._find_problem_at_end(answer.head, splitter, is_joined=is_joined)
        if problem:
            return problem
        self.claim()
        if self._comments or splitter.size:
            self._forward(answer.head, self._take_comments() + splitter.remainder)
            await self.responder.drain()
        return ""

    def _take_part(
        self, head: ResponseHead, part: bytes, splitter: EventSplitter, check: ContinuityCheck
    ) -> tuple[str, bool]:
        """Write what is complete; return why more is not relayed, and whether an event was."""
        complete = splitter.feed(part)
        if contains_answer(complete, self.request.id):
            return "another answer inside its body", False
        sound = check.take(complete)
        if sound.has_event:
            self.claim()
            # A caller that reads slowly is no silence of the upstream.
            self.record_progress(None)
            self._forward(head, self._take_comments() + sound.data)
        elif self._started_at is None:
            # Comments keep a connection alive; they are no progress, and no begin.
            self._comments += sound.data
        elif sound.data:
            self._forward(head, sound.data)
        return sound.offence, sound.has_event

    def _take_comments(self) -> bytes:
        """Return the comments before the first event, which are passed on together with it."""
        if not self._comments:
            return b""
        comments, self._comments = bytes(self._comments), bytearray()
        return comments

    def _find_problem_at_end(
        self, head: ResponseHead, splitter: EventSplitter, *, is_joined: bool
    ) -> str:
        """Return why an answer that has ended does not end its stream, empty if it does."""
        last_id = self.progress.last_id
        has_begun = self._started_at is not None
        # A body of the announced length is whole, whatever it contains; it may still not be the
        # rest of a stream.
        is_whole = head.framing == "length" and not has_begun and not last_id
        if splitter.is_inside_event and not is_whole:
            return (
                f"the answer (framing: {head.framing}) ended inside an event, "
                f"{len(splitter.remainder)} bytes after event {last_id or 'none'}"
            )
        if has_begun:
            return ""
        # A caller that takes up a stream may have every event, and judges an empty rest itself. Of
        # one that broke off here, nobody knows which event was the last.
        if is_joined:
            return f"no event after event {last_id}"
        if head.has_length or last_id:
            return ""
        return "the connection was closed before the first event"

    def _forward(self, head: ResponseHead, data: bytes) -> None:
        if not self.responder.started:
            self.progress.first_at = asyncio.get_running_loop().time()
            self.responder.start(head.status, head.end_to_end(), data)
            return
        self.responder.queue(data)

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
