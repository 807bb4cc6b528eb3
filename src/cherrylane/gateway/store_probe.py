"""Detection of an outage of the store that a pending watch does not show.

A watch waits up to half a minute for changes. If the store falls silent meanwhile, the watch may
never be answered, although new calls succeed again: the host would miss all changes until the watch
times out. A cheap read now and then fails during the outage; after the next one that succeeds, the
watches are started anew.
"""

import asyncio
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import ObjectNotFoundError, PlatformError
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind

# Mean seconds between reads; a stale read costs a tenth of a call.
PROBE_INTERVAL_S = 1.0

log = Logger("cherrylane.platform")


@define
class StoreProbe:
    """Reads the object ``name`` at regular intervals while any of ``watchers`` is watching."""

    client: AsyncPlatformClient
    name: str
    watchers: list[AsyncWatcher]
    _has_failed: bool = False
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S * self._random.uniform(0.7, 1.3))
            if any(watcher.is_watching for watcher in self.watchers):
                await self.probe()

    async def probe(self) -> None:
        """Read once; restart the watches if the read before has failed and this one succeeds."""
        try:
            await self.client.get(Kind.ENTRY_HOSTS, self.name, stale=True)
        except ObjectNotFoundError:
            pass  # The store has answered.
        except PlatformError as error:
            if not self._has_failed:
                log.info("store does not answer a probe", extra={"reason": str(error)})
            self._has_failed = True
            return
        if self._has_failed:
            self._has_failed = False
            log.info("store answers probes again, starting the watches anew")
            for watcher in self.watchers:
                watcher.restart()
