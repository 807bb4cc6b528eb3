"""Relaying of event streams to callers as the events arrive."""

import asyncio
from collections.abc import Callable

from attrs import define

from cherrylane.errors import IncompleteResponseError
from cherrylane.http.messages import ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.relay.events import EventSplitter
from cherrylane.relay.exchange import OpenAnswer
from cherrylane.relay.outcomes import Broken, Completed, Outcome
from cherrylane.relay.request import CallerRequest

# Multiple of its target gap between events after which a silent resumable stream is retried at
# another upstream.
EVENT_GAPS_TOLERATED = 4.0


@define
class StreamProgress:
    """The progress of a stream over all the upstreams that it was relayed from."""

    last_id: str = ""
    first_at: float | None = None


@define
class StreamRelay:
    """Relays one caller's stream; a broken stream is resumed after its last complete event.

    ``note_first_event`` is called when the first complete event has arrived from the upstream.
    """

    request: CallerRequest
    responder: Responder
    progress: StreamProgress
    note_first_event: Callable[[], None] = lambda: None

    async def relay(self, answer: OpenAnswer, timeout: asyncio.Timeout) -> Outcome:
        """Relay events until the answer ends; ``timeout`` is extended with each part received."""
        splitter = EventSplitter(last_id=self.progress.last_id)
        connection = answer.connection
        has_started = False
        try:
            while (part := await connection.read_part()) is not None:
                self._extend_timeout(timeout)
                events = splitter.feed(part)
                if events:
                    if not has_started:
                        has_started = True
                        self.note_first_event()
                    await self._forward(answer.head, events)
                    self.progress.last_id = splitter.last_id
            if splitter.remainder:
                await self._forward(answer.head, splitter.remainder)
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

    def _extend_timeout(self, timeout: asyncio.Timeout) -> None:
        event_gap_s = self.request.route.target_event_gap_s
        if event_gap_s is None or not self.request.route.is_resumable:
            return
        now = asyncio.get_running_loop().time()
        timeout.reschedule(min(self.request.deadline, now + event_gap_s * EVENT_GAPS_TOLERATED))
