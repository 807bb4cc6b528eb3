"""The time after which a request is taken from an upstream that does not get on with it.

One rule holds for requests and streams. An upstream is given up early only if the request can go to
another one at that moment. Otherwise a slow answer is better than none, and the attempt goes on
until the request's deadline, which also ends an upstream that stalls but sends a byte now and then.
"""

import asyncio
from collections.abc import Callable

from attrs import define


@define
class MoveTimer:
    """Ends an attempt that makes no progress, if its request can move to another upstream.

    ``timeout`` is the timeout of the attempt. ``can_move`` is asked each time that there was no
    progress for as long as the last :meth:`restart` says.
    """

    timeout: asyncio.Timeout
    can_move: Callable[[], bool]
    _seconds: float = 0.0
    _handle: asyncio.TimerHandle | None = None

    def restart(self, seconds: float) -> None:
        """Note progress; the next is due in ``seconds``."""
        self.stop()
        self._seconds = seconds
        self._handle = asyncio.get_running_loop().call_later(seconds, self._check)

    def stop(self) -> None:
        """Let the attempt go on until its deadline."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _check(self) -> None:
        if self.can_move():
            self.timeout.reschedule(asyncio.get_running_loop().time())
            return
        self.restart(self._seconds)
