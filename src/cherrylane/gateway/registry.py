"""This host's entry in the platform's roster, and the addresses of the others there.

The roster is how hosts find each other when none of the seeds is alive. It is written once at the
start and once at the end; who is alive right now is known from heartbeats.
"""

import asyncio
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import ConflictError, ObjectNotFoundError, PlatformError
from cherrylane.gossip.members import Members
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.gateway import HostIdentity

# Seconds between readings; the cheap, stale kind of list is read.
REFRESH_INTERVAL_S = 8.0
# Seconds between tries while the store does not answer.
RETRY_INTERVAL_S = 1.0
# Seconds of silence after which a listed host's entry is removed by whoever notices.
REMOVE_SILENT_AFTER_S = 60.0

log = Logger("cherrylane.roster")


@define
class HostRegistry:
    """Keeps this host on the roster and learns of others from it.

    ``loaded`` is set when the other hosts of the roster are known.
    """

    client: AsyncPlatformClient
    identity: HostIdentity
    boot_id: str
    members: Members
    loaded: asyncio.Event = field(factory=asyncio.Event)
    _version: str = ""
    _silent_since: dict[str, float] = field(factory=dict)
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Join, then read the roster from time to time."""
        await self._register()
        while True:
            try:
                await self._refresh()
                self.loaded.set()
                await asyncio.sleep(REFRESH_INTERVAL_S * self._random.uniform(0.8, 1.2))
            except PlatformError as error:
                log.info("roster not read", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5))

    async def deregister(self) -> None:
        """Take the entry off, unless a later run of this host has replaced it."""
        if not self._version:
            return
        try:
            await self.client.delete(Kind.ENTRY_HOSTS, self.identity.name, version=self._version)
        except (ConflictError, ObjectNotFoundError):
            log.info("roster entry was replaced or removed already")
        except PlatformError as error:
            log.warning("roster entry not removed", extra={"reason": str(error)})

    async def _register(self) -> None:
        while True:
            try:
                self._version = await self._write_entry()
                log.info("joined the roster", extra={"version": self._version})
                return
            except PlatformError as error:
                log.warning("roster not joined yet", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5))

    async def _write_entry(self) -> str:
        spec = {"address": self.identity.address, "zone": self.identity.zone, "boot": self.boot_id}
        entry = PlatformObject(Kind.ENTRY_HOSTS, self.identity.name, spec)
        try:
            return (await self.client.create(entry)).version
        except ConflictError:
            return (await self.client.update(entry)).version

    async def _refresh(self) -> None:
        listed = await self.client.list(Kind.ENTRY_HOSTS, stale=True)
        now = asyncio.get_running_loop().time()
        live = {member.address for member in self.members.live(now)}
        for item in listed.objects:
            address = item.spec.get("address") if isinstance(item.spec, dict) else None
            if not isinstance(address, str) or address == self.identity.address:
                continue
            self.members.add(address)
            if address in live:
                self._silent_since.pop(item.name, None)
            elif now - self._silent_since.setdefault(item.name, now) > REMOVE_SILENT_AFTER_S:
                await self._remove_entry(item, address)

    async def _remove_entry(self, item: PlatformObject, address: str) -> None:
        self._silent_since.pop(item.name, None)
        self.members.remove(address)
        try:
            await self.client.delete(Kind.ENTRY_HOSTS, item.name, version=item.version)
            log.notice("silent host removed from the roster", extra={"peer": item.name})
        except (ConflictError, ObjectNotFoundError):
            log.info("silent host's entry has changed already", extra={"peer": item.name})
