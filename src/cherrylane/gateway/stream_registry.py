"""The running streams of each host in the platform's store, for hosts that all restarted.

While several software versions may have begun a stream, each host writes the keys of those that it
is relaying, all in one small object and only if there are new ones. After all hosts were down at
once, each reads the objects of all, and the streams go on where they began. A host also reads them
when a stream is taken up that no peer has told it of: the host that began it may be gone.
"""

import asyncio

from attrs import define, field
from logbook import Logger

from cherrylane.errors import DECODING_ERRORS, ObjectNotFoundError, PlatformError
from cherrylane.gateway.peer_sync import PeerSync
from cherrylane.gossip.decoding import decode_streams
from cherrylane.gossip.members import Members
from cherrylane.gossip.messages import encode_streams
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.relay.stream_origins import StreamBinder, StreamOrigin, group_streams

# Seconds after the start in which a peer may tell what the store would.
PEER_WAIT_S = 0.1
# Seconds between writes, and writes a second of all hosts together in a large fleet.
WRITE_INTERVAL_S = 0.5
MAX_WRITES_PER_S = 100.0
# Seconds that a stream's request waits for a read, and between two such reads.
REFRESH_TIMEOUT_S = 0.3
MIN_REFRESH_INTERVAL_S = 0.25
# Such reads a second of all hosts together in a large fleet; each returns an object a host.
MAX_READS_PER_S = 200.0
# Seconds between retries while the store does not respond.
RETRY_INTERVAL_S = 0.5
# Seconds after the start for which the streams of the process before are written as well, since
# other hosts may not have read them yet.
CARRY_OVER_S = 20.0

log = Logger("cherrylane.streams")


@define
class StreamRegistry:
    """Reads what is stored when this host starts, and stores its running streams."""

    client: AsyncPlatformClient
    host: str
    members: Members
    peer_sync: PeerSync
    binder: StreamBinder
    _written: frozenset[str] = frozenset()
    _earlier: list[tuple[str, StreamOrigin]] = field(factory=list)
    _carries_until: float = float("-inf")
    _read_at: float = float("-inf")
    _refresh_task: asyncio.Task[None] | None = field(default=None, repr=False)

    async def run(self) -> None:
        """Read what is stored unless a peer sends it, then write until cancelled."""
        await asyncio.sleep(PEER_WAIT_S)
        while not self.peer_sync.has_streams and not await self._load_earlier():
            await asyncio.sleep(RETRY_INTERVAL_S)
        while True:
            await asyncio.sleep(max(WRITE_INTERVAL_S, (len(self.members) + 1) / MAX_WRITES_PER_S))
            await self._write_if_new(asyncio.get_running_loop().time())

    def record_restored(self) -> None:
        """Write again, since the store came back from a copy that may lack what was written."""
        self._written = frozenset()

    async def refresh(self) -> None:
        """Read what is stored, unless that was just done, for ``REFRESH_TIMEOUT_S`` at most."""
        loop = asyncio.get_running_loop()
        if self._refresh_task is None or self._refresh_task.done():
            interval_s = max(MIN_REFRESH_INTERVAL_S, len(self.members) / MAX_READS_PER_S)
            if loop.time() - self._read_at < interval_s:
                return
            self._refresh_task = loop.create_task(self._refresh())
        await asyncio.wait([self._refresh_task], timeout=REFRESH_TIMEOUT_S)

    async def _refresh(self) -> None:
        await self._load()
        self._read_at = asyncio.get_running_loop().time()

    async def _load_earlier(self) -> bool:
        """Take over what is stored at the start; returns whether the store has responded."""
        stored = await self._load()
        if stored is None:
            return False
        self._earlier = stored.get(self.host, [])
        self._carries_until = asyncio.get_running_loop().time() + CARRY_OVER_S
        return True

    async def _load(self) -> dict[str, list[tuple[str, StreamOrigin]]] | None:
        """Take over what is stored; returns the streams by host, None without a response."""
        try:
            listed = await self.client.list(Kind.STREAM_ORIGINS)
        except PlatformError as error:
            log.warning("cannot read the running streams", extra={"reason": str(error)})
            return None
        now = asyncio.get_running_loop().time()
        stored = {item.name: _read_streams(item) for item in listed.objects}
        for streams in stored.values():
            for key, origin in streams:
                self.binder.origins.record(key, origin, now)
        count = sum(map(len, stored.values()))
        log.info("running streams read", extra={"hosts": len(stored), "streams": count})
        return stored

    async def _write_if_new(self, now: float) -> None:
        """Write the running streams if there are any that are not written yet."""
        running = self.binder.list_announced()
        if self._written.issuperset(key for key, _ in running):
            return
        streams = running + (self._earlier if now < self._carries_until else [])
        spec = {"streams": encode_streams(group_streams(streams))}
        entry = PlatformObject(Kind.STREAM_ORIGINS, self.host, spec)
        try:
            try:
                await self.client.update(entry)
            except ObjectNotFoundError:
                await self.client.create(entry)
        except PlatformError as error:
            log.info("cannot write the running streams", extra={"reason": str(error)})
            return
        self._written = frozenset(key for key, _ in running)


def _read_streams(item: PlatformObject) -> list[tuple[str, StreamOrigin]]:
    """Return the streams in a stored object, none if it is not one of this release."""
    try:
        begun = decode_streams(item.spec["streams"])
    except DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        log.warning("stored streams ignored", extra={"peer": item.name, "reason": reason})
        return []
    return [(key, StreamOrigin(one.service, one.software)) for one in begun for key in one.keys]
