"""Shards of claims, stored as objects on the platform and written in batches.

All claims that arrive while a write of their shard is in progress go into the next write, so a few
hundred writes a second carry many thousand claims. Each write is conditional on the object version
that it was computed from, so two claims of one key cannot both be accepted, even when two hosts
write the same shard. If the response to a write is lost, the object is read again and the claim is
recognised by its claimant.
"""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from threading import Lock
from time import sleep, time

from attrs import define, field, frozen
from logbook import Logger
from result import Ok

from cherrylane.errors import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
)
from cherrylane.idempotency.claims import ClaimAnswer, ClaimOutcome, ClaimRequest
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.versions import StoreVersion
from cherrylane.settings.documents import structure_document, unstructure

WRITER_THREADS = 4
WRITE_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.05
RETENTION_S = 24 * 3600
MAX_RECORDS = 7_000

ClaimReply = Callable[[ClaimAnswer], None]

log = Logger("cherrylane.idempotency")


@frozen
class ClaimRecord:
    """An accepted claim; ``at`` is in seconds since the epoch."""

    claimant: str
    digest: str
    at: float


@frozen
class ShardRecords:
    """The contents of a shard's object: all its claims by key."""

    records: dict[str, ClaimRecord] = field(factory=dict)


@frozen
class _Pending:
    request: ClaimRequest
    reply: ClaimReply


@define
class _Shard:
    """One shard on this host: claims that wait for a write, and the last known object.

    While ``is_known`` is False, the object has to be read before the next write; ``version`` is
    None if it does not exist. ``must_write`` is set when the store may have lost some records.
    """

    name: str
    pending: list[_Pending] = field(factory=list)
    is_busy: bool = False
    is_known: bool = False
    must_write: bool = False
    version: StoreVersion | None = None
    records: dict[str, ClaimRecord] = field(factory=dict)


class ClaimShards:
    """Decides claims for the shards that this host is the home of."""

    def __init__(self, client: PlatformClient, *, clock: Callable[[], float] = time) -> None:
        self._client = client
        self._clock = clock
        self._shards: dict[str, _Shard] = {}
        self._lock = Lock()
        self._writers = ThreadPoolExecutor(WRITER_THREADS, thread_name_prefix="claims")

    def submit(self, request: ClaimRequest, reply: ClaimReply) -> None:
        """Queue a claim request; ``reply`` is called once with the result, on another thread."""
        name = f"{request.site}.{request.claim.shard}"
        with self._lock:
            shard = self._shards.setdefault(name, _Shard(name))
            shard.pending.append(_Pending(request, reply))
            if shard.is_busy:
                return
            shard.is_busy = True
        self._writers.submit(self._process_pending, shard)

    def restore(self) -> None:
        """Write all known claims again after the store came back from an older copy."""
        with self._lock:
            shards = [shard for shard in self._shards.values() if shard.records]
            idle = [shard for shard in shards if not shard.is_busy]
            for shard in shards:
                shard.must_write = True
                shard.is_busy = True
        log.warning(f"writing the claims of {len(shards)} shards again to the restored store")
        for shard in idle:
            self._writers.submit(self._process_pending, shard)

    def stop(self) -> None:
        """Complete the writes in progress and cancel the queued ones."""
        self._writers.shutdown(wait=True, cancel_futures=True)

    def _process_pending(self, shard: _Shard) -> None:
        while True:
            with self._lock:
                batch, shard.pending = shard.pending, []
                if not batch and not shard.must_write:
                    shard.is_busy = False
                    return
            outcomes = self._decide_batch(shard, batch)
            for pending, outcome in zip(batch, outcomes, strict=True):
                pending.reply(ClaimAnswer(pending.request.id, outcome))

    def _decide_batch(self, shard: _Shard, batch: list[_Pending]) -> list[ClaimOutcome]:
        for _ in range(WRITE_ATTEMPTS):
            try:
                if shard.must_write or not shard.is_known:
                    self._read(shard)
                return self._write(shard, [pending.request for pending in batch])
            except (ConflictError, ObjectNotFoundError):
                shard.is_known = False
            except PlatformUnavailableError:
                shard.is_known = False
                sleep(RETRY_INTERVAL_S)
            except PlatformError as error:
                log.error(f"cannot store the claims of shard {shard.name}: {error}")
                break
        shard.is_known = False
        if shard.must_write:
            shard.must_write = False
            log.error(f"{len(shard.records)} claims of shard {shard.name} not written again")
        return [ClaimOutcome.UNAVAILABLE for _ in batch]

    def _read(self, shard: _Shard) -> None:
        try:
            stored = self._client.get(Kind.CLAIMS, shard.name)
        except ObjectNotFoundError:
            self._merge(shard, None, {})
            return
        match structure_document(stored.spec, ShardRecords, source=f"claims {shard.name}"):
            case Ok(content):
                self._merge(shard, stored.version, dict(content.records))
            case error:
                raise PlatformError(str(error.err_value), remedy="repair or delete the object")

    def _merge(
        self, shard: _Shard, version: StoreVersion | None, stored: dict[str, ClaimRecord]
    ) -> None:
        """Take over what is stored; keep claims that a restored store has lost."""
        known = shard.version
        was_restored = shard.must_write or (
            known is not None and (version is None or version.era > known.era)
        )
        if was_restored:
            lost = {key: record for key, record in shard.records.items() if key not in stored}
            if lost:
                log.warning(f"{len(lost)} claims of shard {shard.name} were lost by the store")
            stored = stored | lost
            shard.must_write = bool(lost)
        shard.version, shard.records, shard.is_known = version, stored, True

    def _write(self, shard: _Shard, requests: list[ClaimRequest]) -> list[ClaimOutcome]:
        now = self._clock()
        current = {
            key: record for key, record in shard.records.items() if record.at > now - RETENTION_S
        }
        before = dict(current)
        outcomes = [_decide(current, request, now) for request in requests]
        if current != before or shard.must_write:
            self._store(shard, current)
        return outcomes

    def _store(self, shard: _Shard, records: dict[str, ClaimRecord]) -> None:
        spec = unstructure(ShardRecords(records))
        changed = PlatformObject(Kind.CLAIMS, shard.name, spec, shard.version)
        write = self._client.create if shard.version is None else self._client.update
        shard.version = write(changed).version
        shard.records = records
        shard.must_write = False


def _decide(records: dict[str, ClaimRecord], request: ClaimRequest, now: float) -> ClaimOutcome:
    """Decide one claim request on ``records``, and update them accordingly."""
    claim = request.claim
    existing = records.get(claim.key)
    if request.withdraw:
        if existing is not None and existing.claimant == claim.claimant:
            del records[claim.key]
        return ClaimOutcome.WITHDRAWN
    if existing is None:
        if len(records) >= MAX_RECORDS:
            return ClaimOutcome.UNAVAILABLE
        records[claim.key] = ClaimRecord(claim.claimant, claim.digest, now)
        return ClaimOutcome.FRESH
    if existing.claimant == claim.claimant:
        return ClaimOutcome.FRESH
    return ClaimOutcome.TAKEN if existing.digest == claim.digest else ClaimOutcome.MISMATCH
