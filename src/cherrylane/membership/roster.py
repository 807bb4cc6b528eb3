"""The roster: the hosts of the fleet as the platform keeps them."""

from secrets import token_hex

from attrs import evolve, field, frozen
from logbook import Logger
from result import Err, Ok

from cherrylane.errors import ConflictError, ObjectNotFoundError
from cherrylane.peer.identity import PeerIdentity
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.documents import structure_document, unstructure
from cherrylane.settings.schema import Endpoint

INCARNATION_BYTES = 8

log = Logger("cherrylane.membership")


@frozen
class HostRecord:
    """One host: who it is, this run of its daemon, and where it listens.

    A ``draining`` host finishes what it has and is home of nothing.
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
        """The text by which grants name this run of the host."""
        return PeerIdentity(self.name, self.incarnation).holder


@frozen
class Roster:
    """All hosts by name."""

    hosts: dict[str, HostRecord] = field(factory=dict)

    def list_active(self, site: str) -> list[HostRecord]:
        """Return the hosts of ``site`` that are not draining, by name."""
        return sorted(
            (host for host in self.hosts.values() if host.site == site and not host.draining),
            key=lambda host: host.name,
        )


def make_incarnation() -> str:
    """Return a new random name for one run of a daemon."""
    return token_hex(INCARNATION_BYTES)


def read_roster(objects: dict[str, PlatformObject]) -> Roster:
    """Read the roster from the platform's objects, leaving out entries that are malformed."""
    hosts: dict[str, HostRecord] = {}
    for name, stored in objects.items():
        match structure_document(stored.spec, HostRecord, source=f"host {name}"):
            case Ok(record):
                hosts[name] = record
            case Err(error):
                log.error(f"roster entry ignored: {error}")
    return Roster(hosts=hosts)


class RosterEntry:
    """This host's own entry in the roster: one write to join, one to drain, one to leave."""

    def __init__(self, client: PlatformClient, record: HostRecord) -> None:
        self._client = client
        self._version = ""
        self.record = record

    def join(self) -> None:
        """Put the entry in the roster, replacing one that an earlier run left behind."""
        try:
            stored = self._client.create(self._to_object(""))
        except ConflictError:
            old = self._client.get(Kind.HOSTS, self.record.name)
            stored = self._client.update(self._to_object(old.version))
        self._version = stored.version

    def mark_draining(self) -> None:
        """Say that this host takes nothing new."""
        self.record = evolve(self.record, draining=True)
        self._version = self._client.update(self._to_object(self._version)).version

    def leave(self) -> None:
        """Take the entry out, unless another run has replaced it."""
        try:
            self._client.delete(Kind.HOSTS, self.record.name, version=self._version)
        except (ConflictError, ObjectNotFoundError):
            log.notice("the roster entry was replaced or removed already; nothing to take out")

    def _to_object(self, version: str) -> PlatformObject:
        return PlatformObject(
            kind=Kind.HOSTS,
            name=self.record.name,
            spec=unstructure(self.record),
            version=version,
        )


def remove_host(client: PlatformClient, host: HostRecord) -> bool:
    """Take a dead host out of the roster; False when another run of it is listed by now."""
    try:
        stored = client.get(Kind.HOSTS, host.name)
        if stored.spec.get("incarnation") != host.incarnation:
            return False
        client.delete(Kind.HOSTS, host.name, version=stored.version)
    except (ConflictError, ObjectNotFoundError):
        return False
    return True
