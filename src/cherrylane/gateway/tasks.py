"""Background tasks that outlive their own errors."""

import asyncio
from collections.abc import Awaitable, Callable

from logbook import Logger

# Seconds after which a background task that has failed is started again.
TASK_RESTART_S = 0.5

log = Logger("cherrylane.gateway")


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a background task until it returns; an error is logged, and it is started again."""
    while True:
        try:
            await run()
            return
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            log.exception(
                "background task failed, starting it again", extra={"task": name, "reason": reason}
            )
            await asyncio.sleep(TASK_RESTART_S)
