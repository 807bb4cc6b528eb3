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
    """One shard on this host: claims that wait for a write, and the last known object."""

    name: str
    pending: list[_Pending] = field(factory=list)
    is_busy: bool = False
    version: str | None = None
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

    def stop(self) -> None:
        """Complete the writes in progress and cancel the queued ones."""
        self._writers.shutdown(wait=True, cancel_futures=True)

    def _process_pending(self, shard: _Shard) -> None:
        while True:
            with self._lock:
                batch, shard.pending = shard.pending, []
                if not batch:
                    shard.is_busy = False
                    return
            outcomes = self._decide_batch(shard, batch)
            for pending, outcome in zip(batch, outcomes, strict=True):
                pending.reply(ClaimAnswer(pending.request.id, outcome))

    def _decide_batch(self, shard: _Shard, batch: list[_Pending]) -> list[ClaimOutcome]:
        for _ in range(WRITE_ATTEMPTS):
            try:
                if shard.version is None:
                    self._read(shard)
                return self._write(shard, [pending.request for pending in batch])
            except ConflictError:
                shard.version = None
            except PlatformUnavailableError:
                shard.version = None
                sleep(RETRY_INTERVAL_S)
            except PlatformError as error:
                log.error(f"cannot store the claims of shard {shard.name}: {error}")
                break
        shard.version = None
        return [ClaimOutcome.UNAVAILABLE for _ in batch]

    def _read(self, shard: _Shard) -> None:
        try:
            stored = self._client.get(Kind.CLAIMS, shard.name)
        except ObjectNotFoundError:
            shard.version, shard.records = "", {}
            return
        match structure_document(stored.spec, ShardRecords, source=f"claims {shard.name}"):
            case Ok(content):
                shard.version, shard.records = stored.version, dict(content.records)
            case error:
                raise PlatformError(str(error.err_value), remedy="repair or delete the object")

    def _write(self, shard: _Shard, requests: list[ClaimRequest]) -> list[ClaimOutcome]:
        now = self._clock()
        current = {
            key: record for key, record in shard.records.items() if record.at > now - RETENTION_S
        }
        before = dict(current)
        outcomes = [_decide(current, request, now) for request in requests]
        if current != before:
            self._store(shard, current)
        return outcomes

    def _store(self, shard: _Shard, records: dict[str, ClaimRecord]) -> None:
        spec = unstructure(ShardRecords(records))
        changed = PlatformObject(Kind.CLAIMS, shard.name, spec, shard.version or "")
        write = self._client.update if shard.version else self._client.create
        shard.version = write(changed).version
        shard.records = records


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
