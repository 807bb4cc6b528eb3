"""Registration of this host in the platform's host registry, and discovery of the others there.

Hosts find each other by the registry when none of the seeds is live. A host writes its entry when
it starts and deletes it when it stops; which hosts are live is known from heartbeats.
"""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field
from logbook import Logger

from cherrylane.errors import (
    DECODING_ERRORS,
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
)
from cherrylane.fields import read_address
from cherrylane.gossip.members import Members
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.versions import StoreVersion
from cherrylane.settings.gateway import HostIdentity

# Mean seconds between reads; they use the cheap kind of list, which may be stale.
REFRESH_INTERVAL_S = 8.0
# Mean seconds between retries while the store does not respond.
RETRY_INTERVAL_S = 1.0
# Seconds without heartbeats after which a host's entry is deleted by the first host that notices.
REMOVE_SILENT_AFTER_S = 60.0
# Seconds per host over which the hosts register again after the store was restored.
SPREAD_PER_HOST_S = 0.005

log = Logger("cherrylane.roster")


@define
class HostRegistry:
    """Registers this host and adds the other registered hosts to ``members``.

    ``loaded`` is set once the registry has been read, and ``on_read`` is called with the addresses
    of the other hosts at each read.
    """

    client: AsyncPlatformClient
    identity: HostIdentity
    boot_id: str
    members: Members
    loaded: asyncio.Event = field(factory=asyncio.Event)
    on_read: Callable[[set[str]], None] = lambda addresses: None
    _version: StoreVersion | None = None
    _restored: asyncio.Event = field(factory=asyncio.Event)
    _silent_since: dict[str, float] = field(factory=dict)
    _random: Random = field(factory=Random, repr=False)

    async def run(self) -> None:
        """Register this host, then read the registry at regular intervals until cancelled."""
        await self._register()
        while True:
            try:
                await self._refresh()
                self.loaded.set()
                if await self._wait_for_restoration(
                    REFRESH_INTERVAL_S * self._random.uniform(0.8, 1.2)
                ):
                    await self._register_again()
            except PlatformError as error:
                log.info("cannot read the host registry", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5))

    def record_restored(self) -> None:
        """Write the entry again, since the store came back from a copy that may lack it."""
        self._restored.set()

    async def _wait_for_restoration(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._restored.wait()
        except TimeoutError:
            return False
        return True

    async def _register_again(self) -> None:
        """Register after a random delay, since all hosts of the fleet do so."""
        await asyncio.sleep(self._random.uniform(0.0, SPREAD_PER_HOST_S * (len(self.members) + 1)))
        self._restored.clear()
        await self._register()

    async def deregister(self) -> None:
        """Delete this host's entry, unless a later start of this host has replaced it."""
        if self._version is None:
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
                log.info("host registered", extra={"version": str(self._version)})
                return
            except PlatformError as error:
                log.warning("cannot register host, retrying", extra={"reason": str(error)})
                await asyncio.sleep(RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5))

    async def _write_entry(self) -> StoreVersion | None:
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
        addresses = set()
        for item in listed.objects:
            address = _read_host_address(item)
            if address is None or address == self.identity.address:
                continue
            self.members.add(address)
            addresses.add(address)
            if address in live:
                self._silent_since.pop(item.name, None)
            elif now - self._silent_since.setdefault(item.name, now) > REMOVE_SILENT_AFTER_S:
                await self._remove_entry(item, address)
        self.on_read(addresses)

    async def _remove_entry(self, item: PlatformObject, address: str) -> None:
        self._silent_since.pop(item.name, None)
        self.members.remove(address)
        try:
            await self.client.delete(Kind.ENTRY_HOSTS, item.name, version=item.version)
        except PlatformError as error:
            # It stays in the registry, and the next host that notices deletes it.
            log.info(
                "registry entry of silent host not deleted",
                extra={"peer": item.name, "reason": str(error)},
            )
            return
        log.notice("registry entry of silent host deleted", extra={"peer": item.name})


def _read_host_address(item: PlatformObject) -> str | None:
    """Return the address in a host's entry, None if it is not one of this release."""
    try:
        return read_address(item.spec["address"])
    except DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        log.info("registry entry ignored", extra={"peer": item.name, "reason": reason})
        return None
