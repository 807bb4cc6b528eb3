"""A question that many ask at the same time, and that is put once for all of them."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field


@define
class SharedQuestion:
    """Puts a question with the answer yes or no for all that ask it while it is open.

    A yes is always the answer to a question that was put after it was asked for, since it may rest
    on what was known only until then. A no is shared at once.

    Example::

        question = SharedQuestion(ask_store)
        await question.ask()  # True
    """

    put: Callable[[], Awaitable[bool]]
    _task: asyncio.Task[bool] | None = field(default=None, repr=False)

    async def ask(self) -> bool:
        """Return the answer; it takes as long as two questions at most."""
        open_task = self._task
        if open_task is not None and not open_task.done():
            if not await asyncio.shield(open_task):
                return False
        if self._task is None or self._task is open_task:
            self._task = asyncio.get_running_loop().create_task(self._put())
        return await asyncio.shield(self._task)

    async def _put(self) -> bool:
        return await self.put()
