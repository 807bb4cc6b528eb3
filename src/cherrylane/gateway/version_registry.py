"""The software versions of each service in the platform's store, for hosts that all restarted.

Hosts keep nothing themselves. When all have restarted at once, the list of upstreams shows only the
versions that are left. So the store holds the versions that may have begun a stream lately, in one
small object for each service. It is written when a version comes into use, and when the last stream
that one has begun is over, by the first host in a ranking that is the same on all hosts. The next
ones follow if that host cannot write.
"""

import asyncio
from typing import Any

from attrs import define, evolve, field
from logbook import Logger

from cherrylane.errors import DECODING_ERRORS, ConflictError, PlatformError
from cherrylane.fields import read_name
from cherrylane.gossip.members import HEARTBEAT_TIMEOUT_S, Members
from cherrylane.membership.software_versions import SoftwareVersions
from cherrylane.placement.ranking import rank_names
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject

# Seconds after the start in which a peer may tell what the store would.
PEER_WAIT_S = 0.1
# Seconds between checks, and between retries while the store does not respond.
CHECK_INTERVAL_S = 0.25
RETRY_INTERVAL_S = 1.0
# Hosts that write if need be, and seconds after which each does if those before it have not.
WRITERS = 3
WRITER_DELAY_S = 1.5
# Hash key of the ranking; it must be the same on all hosts.
RANKING_KEY = "writers of software versions"

log = Logger("cherrylane.versions")


@define
class VersionRegistry:
    """Reads the stored versions when this host starts, and keeps them up to date.

    ``has_gap`` is set when this host may have missed versions: its list of upstreams was replaced
    by a newer one, without the changes between them.
    """

    client: AsyncPlatformClient
    members: Members
    versions: SoftwareVersions
    has_gap: bool = False
    _stored: dict[str, PlatformObject] = field(factory=dict)
    _changed_at: dict[str, float] = field(factory=dict)

    async def run(self) -> None:
        """Load what is stored, unless a peer knows it, then write changes until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(PEER_WAIT_S)
        while not self.versions.knows_all and not await self._load():
            await asyncio.sleep(RETRY_INTERVAL_S)
        # By then the live hosts are known, which rank this one.
        await asyncio.sleep(HEARTBEAT_TIMEOUT_S)
        while True:
            for service in self.versions.list_services():
                await self._write_if_due(service, loop.time())
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def fill_gap(self) -> bool:
        """Read the stored versions after a gap; returns whether the store has responded."""
        self.has_gap = False
        if not await self._load():
            self.has_gap = True
        return not self.has_gap

    def record_gap(self) -> None:
        """Record that versions may have come into use and gone without notice of this host."""
        self.has_gap = True

    def record_restored(self) -> None:
        """Forget what was stored, since the store came back from a copy that may lack it."""
        self._stored.clear()

    async def _load(self) -> bool:
        """Take over what is stored; returns whether the store has responded."""
        try:
            listed = await self.client.list(Kind.SOFTWARE_VERSIONS)
        except PlatformError as error:
            log.warning("cannot read the software versions", extra={"reason": str(error)})
            return False
        now = asyncio.get_running_loop().time()
        for item in listed.objects:
            versions = _read_versions(item.spec)
            self._stored[item.name] = item
            if versions is not None:
                self.versions.record_stored(item.name, versions, now)
        log.info("software versions read", extra={"services": len(listed.objects)})
        return True

    async def _write_if_due(self, service: str, now: float) -> None:
        """Write a service's versions if they have changed and it is this host's turn."""
        recent = self.versions.find_recent(service, now)
        stored = self._stored.get(service)
        if not recent or (stored is not None and _read_versions(stored.spec) == recent):
            self._changed_at.pop(service, None)
            return
        changed_at = self._changed_at.setdefault(service, now)
        rank = self._find_rank(now)
        if rank is None or now < changed_at + rank * WRITER_DELAY_S:
            return
        try:
            await self._write(service, recent)
        except PlatformError as error:
            log.warning(
                "cannot write the software versions",
                extra={"service": service, "reason": str(error)},
            )
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _write(self, service: str, recent: frozenset[str]) -> None:
        spec = {"versions": sorted(recent)}
        new = PlatformObject(Kind.SOFTWARE_VERSIONS, service, spec)
        stored = self._stored.get(service)
        try:
            if stored is None:
                self._stored[service] = await self.client.create(new)
            else:
                self._stored[service] = await self.client.update(
                    evolve(new, version=stored.version)
                )
        except ConflictError:
            # Another host has written, and what it knows counts as well.
            stored = await self.client.get(Kind.SOFTWARE_VERSIONS, service)
            self._stored[service] = stored
            now = asyncio.get_running_loop().time()
            self.versions.record_in_use(service, _read_versions(stored.spec) or (), now)
            return
        log.info(
            "software versions written", extra={"service": service, "versions": sorted(recent)}
        )

    def _find_rank(self, now: float) -> int | None:
        """Return how many hosts write before this one, None if it need not write."""
        own = self.members.own_address
        live = [own, *(member.address for member in self.members.live(now))]
        rank = rank_names(RANKING_KEY, live).index(own)
        return rank if rank < WRITERS else None


def _read_versions(spec: Any) -> frozenset[str] | None:
    """Return the versions in a stored object, None if it is not one of this release."""
    try:
        return frozenset(map(read_name, spec["versions"]))
    except DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        log.warning("stored software versions ignored", extra={"reason": reason})
        return None
