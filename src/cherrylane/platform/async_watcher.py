"""List and watch of one kind of object in the platform's store, on an event loop."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import PlatformError, WatchExpiredError
from cherrylane.platform.client import WATCH_GRACE_S, AsyncPlatformClient
from cherrylane.platform.objects import Kind, ObjectList, WatchEvents
from cherrylane.platform.versions import StoreVersion

# Seconds between retries while the store is unavailable: the first delay, and the longest.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# Range of the seconds that a watch waits for changes. A random wait keeps hosts from renewing their
# watches at the same moment, at which one silence of the store could swallow all of them.
WATCH_MIN_S = 1.0
WATCH_MAX_S = 2.0
# Seconds beyond its wait in which the response to a watch has to begin, and from which on the watch
# counts as unanswered.
RESPONSE_GRACE_S = 0.75
OVERDUE_S = 0.3
# Seconds that the first watch after a failure waits, so that a recovery is detected soon.
FIRST_WATCH_WAIT_S = 0.1
# Mean seconds between a change and the next watch, so that a burst of changes costs one call.
COALESCE_S = 0.1

log = Logger("cherrylane.platform")


@define
class AsyncWatcher:
    """Passes each list and each batch of changes of a kind to its callbacks while it is watching.

    The callbacks' last data stays in use while the store is unavailable. ``last_success_at`` is
    when a call last succeeded, ``unavailable_since`` is set while calls fail, and ``recovered_at``
    is when calls last succeeded again after a failure. ``lost_at`` is the last success before that
    failure, and ``contact_since`` when the calls began to succeed that have not failed since. All
    are in seconds of the loop's clock.

    A store that is silent for a moment may never answer a watch that was sent or pending then, and
    new calls do not show it. So a watch is evidence for ``WATCH_MAX_S`` at most: by then it is
    answered and renewed, or given up and sent again.
    """

    client: AsyncPlatformClient
    kind: Kind
    on_list: Callable[[ObjectList], None]
    on_changes: Callable[[WatchEvents], None]
    last_success_at: float = float("-inf")
    unavailable_since: float | None = None
    recovered_at: float = float("-inf")
    lost_at: float = float("-inf")
    contact_since: float = float("inf")
    _random: Random = field(factory=Random, repr=False)
    _delay_s: float = RETRY_MIN_S
    # When the pending watch was sent, and when its wait ends.
    _sent_at: float = float("-inf")
    _due_at: float = float("inf")
    _version: StoreVersion | None = None
    _task: asyncio.Task[None] | None = field(default=None, repr=False)

    @property
    def is_confirmed(self) -> bool:
        """Whether this host is watching the store and its last call succeeded."""
        return (
            self._task is not None and self.unavailable_since is None and self.last_success_at > 0
        )

    def set_watching(self, is_watching: bool) -> None:
        """Start or stop watching."""
        if is_watching == (self._task is not None):
            return
        log.info(
            "store watch switched on or off",
            extra={"kind": self.kind.value, "following": is_watching},
        )
        if self._task is not None:
            self._task.cancel()
            self._task = None
            self.unavailable_since = None
            self.last_success_at = float("-inf")
            self.contact_since = float("inf")
        else:
            self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def is_watching(self) -> bool:
        """Whether this host is watching the store."""
        return self._task is not None

    def find_silent_since(self, now: float) -> float | None:
        """Return when the pending watch was sent if its response is overdue, else None."""
        return self._sent_at if now > self._due_at + OVERDUE_S else None

    def record_era(self, era: int) -> None:
        """List again at once if the store was restored; a pending watch may learn of it late."""
        if self._version is not None and self._version.era < era:
            self.restart()

    def restart(self) -> None:
        """List again at once, since the pending watch may never be answered.

        Entries that lapsed in an outage return as they do after one that calls have noticed.
        """
        if self._task is None:
            return
        self._task.cancel()
        loop = asyncio.get_running_loop()
        self.lost_at = self.last_success_at
        self.recovered_at = self.contact_since = loop.time()
        self._task = loop.create_task(self._run())

    async def _run(self) -> None:
        """List, then watch; list again if the store no longer has the changes to go on from.

        Any other error is logged and followed by a new list: without this task, the host would get
        no further changes.
        """
        version: StoreVersion | None = None
        while True:
            try:
                if version is None:
                    version = await self._list()
                version = await self._watch(version)
            except WatchExpiredError as error:
                log.info("watch expired", extra={"kind": self.kind.value, "reason": str(error)})
                version = None
                await self._wait_before_retry()
            except PlatformError as error:
                self._record_failure(error)
                await self._wait_before_retry()
            except Exception as error:
                log.exception(
                    "handling a change failed; listing again",
                    extra={"kind": self.kind.value, "reason": f"{type(error).__name__}: {error}"},
                )
                version = None
                await self._wait_before_retry()

    async def _list(self) -> StoreVersion:
        listed = await self.client.list(self.kind)
        self._record_success()
        previous, self._version = self._version, listed.version
        if previous is not None and listed.version.era > previous.era:
            # Entries that the older copy lacks return as they do after an outage.
            self.recovered_at = self.last_success_at
            log.warning(
                "store restored from an older copy",
                extra={
                    "kind": self.kind.value,
                    "before": str(previous),
                    "version": str(listed.version),
                },
            )
        self.on_list(listed)
        return listed.version

    async def _watch(self, version: StoreVersion) -> StoreVersion:
        wait_s = self._random.uniform(WATCH_MIN_S, WATCH_MAX_S)
        grace_s = RESPONSE_GRACE_S
        if self.unavailable_since is not None:
            # A store that has become slow gets more time.
            wait_s, grace_s = FIRST_WATCH_WAIT_S, WATCH_GRACE_S
        self._sent_at = asyncio.get_running_loop().time()
        self._due_at = self._sent_at + wait_s
        try:
            changes = await self.client.watch(
                self.kind, version, wait_s=wait_s, response_grace_s=grace_s
            )
        finally:
            self._due_at = float("inf")
        self._record_success()
        self._version = changes.version
        if changes.events:
            self.on_changes(changes)
            await asyncio.sleep(COALESCE_S * self._random.uniform(0.5, 1.5))
        return changes.version

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(self._delay_s * self._random.uniform(0.5, 1.0))
        self._delay_s = min(RETRY_MAX_S, self._delay_s * 2)

    def _record_success(self) -> None:
        now = asyncio.get_running_loop().time()
        self.last_success_at = now
        self.contact_since = min(self.contact_since, now)
        self._delay_s = RETRY_MIN_S
        if self.unavailable_since is not None:
            away_s = round(now - self.unavailable_since, 3)
            log.notice("store regained", extra={"kind": self.kind.value, "away_s": away_s})
            self.unavailable_since = None
            self.recovered_at = now

    def _record_failure(self, error: PlatformError) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = asyncio.get_running_loop().time()
            self.lost_at = self.last_success_at
            self.contact_since = float("inf")
            log.warning("store lost", extra={"kind": self.kind.value, "reason": str(error)})
