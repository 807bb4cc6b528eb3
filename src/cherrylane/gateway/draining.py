"""The end of a host's service: waiting for the requests of callers, and answering the rest."""

import asyncio
from http import HTTPStatus

from attrs import frozen

from cherrylane.http.framing import ReadFailure
from cherrylane.http.listener import InboundServer
from cherrylane.relay.stopping import RETRY_STOPPING_S, PlannedStop

# Polling interval while requests are in progress, in seconds.
DRAIN_POLL_S = 0.05
# The same while the last answers leave.
FLUSH_POLL_S = 0.01
STOPPING = ReadFailure(
    HTTPStatus.SERVICE_UNAVAILABLE, "this host stops", retry_after_s=RETRY_STOPPING_S
)


@frozen
class CallerDrain:
    """Drains the callers' connections of a host that stops."""

    callers: InboundServer
    stop: PlannedStop

    async def wait(self, deadline: float) -> None:
        """Wait until each request that has begun to arrive is answered, or for the deadline.

        The deadline is in seconds of the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        self.callers.close_idle()
        while self.callers.unfinished and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
            self.callers.close_idle()

    async def end_requests(self, flush_s: float) -> None:
        """Answer all requests that are not finished; the answers leave within ``flush_s``."""
        loop = asyncio.get_running_loop()
        flushed_by = loop.time() + flush_s
        self.stop.end()
        while self.callers.has_unsent and loop.time() < flushed_by:
            self.stop.tally.refused += self.callers.refuse_unread(STOPPING)
            await asyncio.sleep(FLUSH_POLL_S)
            self.callers.close_idle()
