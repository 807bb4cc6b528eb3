"""Registration of this host in the platform's host registry, and discovery of the others there.

Hosts find each other by the registry when none of the seeds is live. A host writes its entry when
it starts and deletes it when it stops; which hosts are live is known from heartbeats.
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

# Mean seconds between reads; they use the cheap kind of list, which may be stale.
REFRESH_INTERVAL_S = 8.0
# Mean seconds between retries while the store does not respond.
RETRY_INTERVAL_S = 1.0
# Seconds without heartbeats after which a host's entry is deleted by the first host that notices.
REMOVE_SILENT_AFTER_S = 60.0

log = Logger("cherrylane.roster")


@define
class HostRegistry:
    """Registers this host and adds the other registered hosts to ``members``.

    ``loaded`` is set once the registry has been read.
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
        """Register this host, then read the registry at regular intervals until cancelled."""
        await self._register()
        while True:
            try:
                await self._refresh()
                self.loaded.set()
                await asyncio.sleep(REFRESH_INTERVAL_S * self._random.uniform(0.8, 1.2))
            except PlatformError as error:
                log.info("cannot read the host registry", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5))

    async def deregister(self) -> None:
        """Delete this host's entry, unless a later start of this host has replaced it."""
        if not self._version:
            return
        try:
            await self.client.delete(Kind.ENTRY_HOSTS, self.identity.name, version=self._version)
        except (ConflictError, ObjectNotFoundError):
            log.info("registry entry was already replaced or deleted")
        except PlatformError as error:
            log.warning("cannot delete registry entry", extra={"reason": str(error)})

    async def _register(self) -> None:
        while True:
            try:
                self._version = await self._write_entry()
                log.info("host registered", extra={"version": self._version})
                return
            except PlatformError as error:
                log.warning("cannot register host, retrying", extra={"reason": str(error)})
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
            log.notice("registry entry of silent host deleted", extra={"peer": item.name})
        except (ConflictError, ObjectNotFoundError):
            log.info(
                "registry entry of silent host has changed, not deleted", extra={"peer": item.name}
            )
