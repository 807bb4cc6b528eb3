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
READ_INTERVAL_S = 8.0
# Seconds between tries while the store does not answer.
RETRY_S = 1.0
# Seconds of silence after which a listed host's entry is removed by whoever notices.
REMOVED_AFTER_S = 60.0

log = Logger("cherrylane.roster")


@define
class Roster:
    """Keeps this host on the roster and learns of others from it.

    ``was_read`` is set when the other hosts of the roster are known.
    """

    client: AsyncPlatformClient
    identity: HostIdentity
    boot: str
    members: Members
    was_read: asyncio.Event = field(factory=asyncio.Event)
    _version: str = ""
    _silent_since: dict[str, float] = field(factory=dict)
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Join, then read the roster from time to time."""
        await self._join()
        while True:
            try:
                await self._read()
                self.was_read.set()
                await asyncio.sleep(READ_INTERVAL_S * self._random.uniform(0.8, 1.2))
            except PlatformError as error:
                log.info("roster not read", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_S * self._random.uniform(0.5, 1.5))

    async def leave(self) -> None:
        """Take the entry off, unless a later run of this host has replaced it."""
        if not self._version:
            return
        try:
            await self.client.delete(Kind.ENTRY_HOSTS, self.identity.name, version=self._version)
        except (ConflictError, ObjectNotFoundError):
            log.info("roster entry was replaced or removed already")
        except PlatformError as error:
            log.warning("roster entry not removed", extra={"reason": str(error)})

    async def _join(self) -> None:
        while True:
            try:
                self._version = await self._write()
                log.info("joined the roster", extra={"version": self._version})
                return
            except PlatformError as error:
                log.warning("roster not joined yet", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_S * self._random.uniform(0.5, 1.5))

    async def _write(self) -> str:
        spec = {"address": self.identity.address, "zone": self.identity.zone, "boot": self.boot}
        entry = PlatformObject(Kind.ENTRY_HOSTS, self.identity.name, spec)
        try:
            return (await self.client.create(entry)).version
        except ConflictError:
            return (await self.client.update(entry)).version

    async def _read(self) -> None:
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
            elif now - self._silent_since.setdefault(item.name, now) > REMOVED_AFTER_S:
                await self._remove(item, address)

    async def _remove(self, item: PlatformObject, address: str) -> None:
        self._silent_since.pop(item.name, None)
        self.members.remove(address)
        try:
            await self.client.delete(Kind.ENTRY_HOSTS, item.name, version=item.version)
            log.notice("silent host removed from the roster", extra={"peer": item.name})
        except (ConflictError, ObjectNotFoundError):
            log.info("silent host's entry has changed already", extra={"peer": item.name})
