"""Following one kind of the platform's store by list and watch, on an event loop."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import PlatformError, WatchExpiredError
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, WatchEvents

# Seconds between tries while the store does not answer: the first, and the longest.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# Seconds that a watch waits; the store's longest is 30.
WATCH_WAIT_S = 25.0
# Seconds that the first watch after a failure waits, so that the store's return is noticed soon.
FIRST_WATCH_WAIT_S = 0.1
# Seconds between a change and the next watch, so that changes in quick succession cost one call.
COALESCE_S = 0.1

log = Logger("cherrylane.platform")


@define
class AsyncWatcher:
    """Tells a listener of each list and each change, for as long as it is told to follow.

    The last copy stands while the store is away. ``unavailable_since`` is since when no call has
    succeeded, in seconds of the loop's clock; ``recovered_at`` is when calls last began to succeed
    again.
    """

    client: AsyncPlatformClient
    kind: Kind
    on_list: Callable[[ObjectList], None]
    on_changes: Callable[[WatchEvents], None]
    last_success_at: float = float("-inf")
    unavailable_since: float | None = None
    recovered_at: float = float("-inf")
    _random: Random = field(factory=Random, repr=False)
    _delay_s: float = RETRY_MIN_S
    _task: asyncio.Task[None] | None = field(default=None, repr=False)

    @property
    def is_confirmed(self) -> bool:
        """Whether the store tells of each change at the moment, as far as is known."""
        return (
            self._task is not None and self.unavailable_since is None and self.last_success_at > 0
        )

    def set_watching(self, is_watching: bool) -> None:
        """Begin or end to follow."""
        if is_watching == (self._task is not None):
            return
        log.info("following", extra={"kind": self.kind.value, "following": is_watching})
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self.unavailable_since = None
            self.last_success_at = float("-inf")
        else:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        """List, then watch; list again when the store no longer has the history."""
        version = ""
        while True:
            try:
                if not version:
                    listed = await self.client.list(self.kind)
                    self._note_success()
                    self.on_list(listed)
                    version = listed.version
                version = await self._watch(version)
            except WatchExpiredError as error:
                log.info("watch expired", extra={"kind": self.kind.value, "reason": str(error)})
                version = ""
                await self._pause()
            except PlatformError as error:
                self._note_failure(error)
                await self._pause()

    async def _watch(self, version: str) -> str:
        wait_s = WATCH_WAIT_S if self.unavailable_since is None else FIRST_WATCH_WAIT_S
        changes = await self.client.watch(self.kind, version, wait_s=wait_s)
        self._note_success()
        if changes.events:
            self.on_changes(changes)
            await asyncio.sleep(COALESCE_S)
        return changes.version

    async def _pause(self) -> None:
        await asyncio.sleep(self._delay_s * self._random.uniform(0.5, 1.0))
        self._delay_s = min(RETRY_MAX_S, self._delay_s * 2)

    def _note_success(self) -> None:
        now = asyncio.get_running_loop().time()
        self.last_success_at = now
        self._delay_s = RETRY_MIN_S
        if self.unavailable_since is not None:
            away_s = round(now - self.unavailable_since, 3)
            log.notice("store regained", extra={"kind": self.kind.value, "away_s": away_s})
            self.unavailable_since = None
            self.recovered_at = now

    def _note_failure(self, error: PlatformError) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = asyncio.get_running_loop().time()
            log.warning("store lost", extra={"kind": self.kind.value, "reason": str(error)})
