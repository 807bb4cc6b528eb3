"""Relaying a stream of events to its caller as they arrive."""

import asyncio
from collections.abc import Callable

from attrs import define

from cherrylane.errors import AnswerBrokenError
from cherrylane.http.messages import ResponseHead
from cherrylane.http.responder import Responder
from cherrylane.relay.events import EventSplitter
from cherrylane.relay.exchange import OpenAnswer
from cherrylane.relay.outcomes import Broken, Completed, Outcome
from cherrylane.relay.request import CallerRequest

# A resumable stream is taken elsewhere after a silence of this many of its longest pauses.
PAUSES_TOLERATED = 4.0


@define
class StreamProgress:
    """How far a stream has come, over all the upstreams that it was relayed from."""

    last_id: str = ""
    first_at: float | None = None


@define
class StreamRelay:
    """Relays one caller's stream; a stream that broke off goes on after its last whole event.

    ``note_first_event`` is called when the upstream has begun to answer.
    """

    request: CallerRequest
    responder: Responder
    progress: StreamProgress
    note_first_event: Callable[[], None] = lambda: None

    async def relay(self, answer: OpenAnswer, limit: asyncio.Timeout) -> Outcome:
        """Relay events until the answer ends; ``limit`` is moved on with each part."""
        splitter = EventSplitter(last_id=self.progress.last_id)
        connection = answer.connection
        has_begun = False
        try:
            while (part := await connection.read_part()) is not None:
                self._extend(limit)
                events = splitter.feed(part)
                if events:
                    if not has_begun:
                        has_begun = True
                        self.note_first_event()
                    await self._forward(answer.head, events)
                    self.progress.last_id = splitter.last_id
            if splitter.rest:
                await self._forward(answer.head, splitter.rest)
        except AnswerBrokenError as error:
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

    def _extend(self, limit: asyncio.Timeout) -> None:
        pause_s = self.request.route.target_event_gap_s
        if pause_s is None or not self.request.route.is_resumable:
            return
        now = asyncio.get_running_loop().time()
        limit.reschedule(min(self.request.deadline, now + pause_s * PAUSES_TOLERATED))
