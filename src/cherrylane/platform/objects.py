"""Objects of the platform's store, lists and changes of them, and the kinds in use."""

from enum import Enum
from typing import Any

from attrs import frozen

from cherrylane.platform.versions import StoreVersion


class Kind(Enum):
    """The kinds of object; values are the names that the store uses.

    ``CONFIG`` and ``EVACUATIONS`` are written by the platform's operators and ``UPSTREAMS`` by
    upstreams, the others by cherrylane.
    """

    CONFIG = "config"
    UPSTREAMS = "servers"
    EVACUATIONS = "evacuations"
    ENTRY_HOSTS = "entry-hosts"
    HOSTS = "hosts"
    GENERATIONS = "generations"
    FRAGMENTS = "fragments"
    RUNNERS = "runners"
    CLAIMS = "claims"
    SOFTWARE_VERSIONS = "software-versions"
    STREAM_ORIGINS = "stream-origins"


@frozen
class PlatformObject:
    """One object, whose ``spec`` is plain JSON data.

    ``version`` is the store's version of the object's last change, None if it is not stored yet or
    if a write is not to depend on it.
    """

    kind: Kind
    name: str
    spec: Any
    version: StoreVersion | None = None

    def to_wire(self) -> dict[str, Any]:
        """Encode the object in the store's JSON form."""
        metadata: dict[str, Any] = {"name": self.name}
        if self.version is not None:
            metadata["rev"] = self.version.revision
        return {"metadata": metadata, "spec": self.spec}

    @classmethod
    def from_wire(cls, kind: Kind, wire: dict[str, Any], era: int) -> "PlatformObject":
        """Decode an object from the store's JSON form, received in ``era``."""
        metadata = wire["metadata"]
        version = StoreVersion(era, int(metadata["rev"]))
        return cls(kind, str(metadata["name"]), wire.get("spec"), version)


@frozen
class ObjectList:
    """All objects of a kind, and the version from which a watch continues."""

    objects: list[PlatformObject]
    version: StoreVersion


@frozen
class WatchEvent:
    """One change of an object: a write, or its deletion if ``is_deleted``."""

    object: PlatformObject
    is_deleted: bool = False


@frozen
class WatchEvents:
    """Changes in order, and the version from which the watch continues."""

    events: tuple[WatchEvent, ...]
    version: StoreVersion
