"""Objects of the platform: what every kind has, and the kinds that cherrylane keeps there."""

from enum import Enum
from typing import Any

from attrs import frozen

API_GROUP = "cherrylane.example"
API_VERSION = "v1"


class Kind(Enum):
    """The kinds of object, by the plural under which the platform lists them."""

    HOSTS = "hosts"
    GENERATIONS = "generations"
    FRAGMENTS = "fragments"
    RUNNERS = "runners"
    CLAIMS = "claims"


class EventType(Enum):
    """What a watch says has happened to an object."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"
    ERROR = "ERROR"


@frozen
class PlatformObject:
    """One object: its name, its version, and a ``spec`` of plain data."""

    kind: Kind
    name: str
    spec: dict[str, Any]
    version: str = ""

    def to_wire(self) -> dict[str, Any]:
        """Return the object in the platform's JSON form."""
        metadata: dict[str, Any] = {"name": self.name}
        if self.version:
            metadata["resourceVersion"] = self.version
        return {
            "apiVersion": f"{API_GROUP}/{API_VERSION}",
            "kind": self.kind.name.title().rstrip("s"),
            "metadata": metadata,
            "spec": self.spec,
        }

    @classmethod
    def from_wire(cls, kind: Kind, wire: dict[str, Any]) -> "PlatformObject":
        """Read the platform's JSON form of one object."""
        metadata = wire["metadata"]
        version = str(metadata["resourceVersion"])
        return cls(kind=kind, name=metadata["name"], spec=wire.get("spec", {}), version=version)


@frozen
class ObjectList:
    """All objects of a kind, and the version from which a watch goes on."""

    objects: list[PlatformObject]
    version: str


@frozen
class WatchEvent:
    """One change that a watch reports; a bookmark carries a version and no object."""

    type: EventType
    version: str
    object: PlatformObject | None = None


def collection_path(kind: Kind) -> str:
    """Return the URL path under which objects of ``kind`` are listed."""
    return f"/apis/{API_GROUP}/{API_VERSION}/{kind.value}"
