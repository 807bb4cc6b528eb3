"""The roster: the list of the fleet's hosts, stored on the platform."""

from secrets import token_hex
from threading import Lock

from attrs import evolve, field, frozen
from logbook import Logger
from result import Err, Ok

from cherrylane.errors import ConflictError, ObjectNotFoundError
from cherrylane.peer.identity import PeerIdentity
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.platform.versions import StoreVersion
from cherrylane.settings.documents import structure_document, unstructure
from cherrylane.settings.schema import Endpoint

INCARNATION_BYTES = 8

log = Logger("cherrylane.membership")


@frozen
class HostRecord:
    """One host: its name, the incarnation of its daemon, its location and its endpoints.

    A ``draining`` host completes its requests in progress, and is home of no pool.
    """

    name: str
    incarnation: str
    site: str
    zone: str
    callers: Endpoint
    operators: Endpoint
    peers: Endpoint
    draining: bool = False

    @property
    def holder(self) -> str:
        """The ``<name>/<incarnation>`` text that identifies the host in grants."""
        return PeerIdentity(self.name, self.incarnation).holder


@frozen
class Roster:
    """All hosts by name."""

    hosts: dict[str, HostRecord] = field(factory=dict)

    def list_active(self, site: str) -> list[HostRecord]:
        """Return the hosts of ``site`` that are not draining, sorted by name."""
        return sorted(
            (host for host in self.hosts.values() if host.site == site and not host.draining),
            key=lambda host: host.name,
        )


def make_incarnation() -> str:
    """Return a new random id for one incarnation of a daemon."""
    return token_hex(INCARNATION_BYTES)


def read_roster(objects: dict[str, PlatformObject]) -> Roster:
    """Read the roster from the platform's objects; malformed entries are logged and skipped."""
    hosts: dict[str, HostRecord] = {}
    for name, stored in objects.items():
        match structure_document(stored.spec, HostRecord, source=f"host {name}"):
            case Ok(record):
                hosts[name] = record
            case Err(error):
                log.error(f"roster entry ignored: {error}")
    return Roster(hosts=hosts)


class RosterEntry:
    """This host's entry in the roster; joining, draining and leaving each take one write."""

    def __init__(self, client: PlatformClient, record: HostRecord) -> None:
        self._client = client
        self._version: StoreVersion | None = None
        self._lock = Lock()
        self._is_listed = False
        self.record = record

    def join(self) -> None:
        """Create the entry, or replace one that an earlier incarnation left behind."""
        with self._lock:
            self._write()
            self._is_listed = True

    def restore(self) -> None:
        """Write the entry again after the store came back from a copy that may lack it."""
        with self._lock:
            if self._is_listed:
                self._write()

    def _write(self) -> None:
        try:
            stored = self._client.create(self._to_object(None))
        except ConflictError:
            old = self._client.get(Kind.HOSTS, self.record.name)
            stored = self._client.update(self._to_object(old.version))
        self._version = stored.version

    def mark_draining(self) -> None:
        """Mark this host as draining, so that it is given no new requests."""
        with self._lock:
            self.record = evolve(self.record, draining=True)
            self._version = self._client.update(self._to_object(self._version)).version

    def leave(self) -> None:
        """Delete the entry, unless another incarnation has replaced it."""
        try:
            with self._lock:
                self._is_listed = False
                self._client.delete(Kind.HOSTS, self.record.name, version=self._version)
        except (ConflictError, ObjectNotFoundError):
            log.notice(
                f"roster entry of {self.record.name} not deleted: already replaced or removed"
            )

    def _to_object(self, version: StoreVersion | None) -> PlatformObject:
        return PlatformObject(
            kind=Kind.HOSTS,
            name=self.record.name,
            spec=unstructure(self.record),
            version=version,
        )


def remove_host(client: PlatformClient, host: HostRecord) -> bool:
    """Remove a dead host from the roster.

    Returns False if its entry is already deleted or belongs to another incarnation.
    """
    try:
        stored = client.get(Kind.HOSTS, host.name)
        if stored.spec.get("incarnation") != host.incarnation:
            return False
        client.delete(Kind.HOSTS, host.name, version=stored.version)
    except (ConflictError, ObjectNotFoundError):
        return False
    return True
