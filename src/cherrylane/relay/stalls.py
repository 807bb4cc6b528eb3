"""Detection of attempts that make no progress.

A stall ends nothing by itself: a slow answer is better than none. It is the moment at which another
attempt may be started beside the stalled one.
"""

import asyncio
from collections.abc import Callable

from attrs import define

# Minimum seconds that an upstream has for its next progress.
MIN_PATIENCE_S = 0.06


def _do_nothing() -> None:
    return


@define
class StallTimer:
    """Calls ``on_stall`` each time that an attempt has made no progress for some seconds.

    Example::

        timer = StallTimer(lambda: print("stalled"))
        timer.restart(0.8)  # progress; called after 0.8 s, 1.6 s and so on unless restarted
        timer.stop()
    """

    on_stall: Callable[[], None]
    _seconds: float = 0.0
    _handle: asyncio.TimerHandle | None = None

    def restart(self, seconds: float) -> None:
        """Record progress; the next is due in ``seconds``."""
        self.stop()
        self._seconds = seconds
        self._handle = asyncio.get_running_loop().call_later(seconds, self._report)

    def end(self) -> None:
        """Report nothing any more, and let go of ``on_stall`` and all that it refers to."""
        self.stop()
        self.on_stall = _do_nothing

    def stop(self) -> None:
        """Expect no progress from now on."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _report(self) -> None:
        self.restart(self._seconds)
        self.on_stall()
