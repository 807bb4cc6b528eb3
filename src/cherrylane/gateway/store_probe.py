"""Detection of an outage of the store that a pending watch does not show.

A watch waits up to two seconds for changes. If the store falls silent meanwhile, the watch may
never be answered, although new calls succeed again: the host would miss all changes until the watch
times out. A cheap read now and then fails during an outage of seconds; after the next one that
succeeds, the watches are started anew. Shorter silences are left to the time limits of the watches.
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
# Seconds after which a probe is overdue; the store usually responds within milliseconds.
OVERDUE_S = 0.3

log = Logger("cherrylane.platform")


@define
class StoreProbe:
    """Reads the object ``name`` at regular intervals while any of ``watchers`` is watching."""

    client: AsyncPlatformClient
    name: str
    watchers: list[AsyncWatcher]
    _silent_since: float | None = None
    _probing_since: float | None = None
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S * self._random.uniform(0.7, 1.3))
            if any(watcher.is_watching for watcher in self.watchers):
                await self.probe()

    async def probe(self) -> None:
        """Read once; restart the watches if the read before has failed and this one succeeds."""
        sent_at = self._probing_since = asyncio.get_running_loop().time()
        try:
            await self.client.get(Kind.ENTRY_HOSTS, self.name, stale=True)
        except ObjectNotFoundError:
            pass  # The store has answered.
        except PlatformError as error:
            if self._silent_since is None:
                log.info("store does not answer a probe", extra={"reason": str(error)})
                self._silent_since = sent_at
            return
        finally:
            self._probing_since = None
        if self._silent_since is not None:
            self._silent_since = None
            log.info("store answers probes again, starting the watches anew")
            for watcher in self.watchers:
                watcher.restart()

    def find_silent_since(self, now: float) -> float | None:
        """Return when the first probe was sent that is not answered, None if there is none.

        A probe counts ``OVERDUE_S`` after it was sent.
        """
        if self._silent_since is not None:
            return self._silent_since
        if self._probing_since is not None and now - self._probing_since > OVERDUE_S:
            return self._probing_since
        return None
