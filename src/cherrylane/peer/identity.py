"""Authentication of gRPC calls by a shared key and the caller's identity in the call metadata."""

from collections.abc import Iterable
from hmac import compare_digest

from attrs import frozen

KEY_FIELD = "cherrylane-key"
HOST_FIELD = "cherrylane-host"
INCARNATION_FIELD = "cherrylane-incarnation"


@frozen
class PeerIdentity:
    """The name of a host and the incarnation of its daemon."""

    name: str
    incarnation: str

    @property
    def holder(self) -> str:
        """The ``<name>/<incarnation>`` text that identifies this incarnation in grants."""
        return f"{self.name}/{self.incarnation}"


def make_metadata(identity: PeerIdentity, key: str) -> list[tuple[str, str]]:
    """Return the call metadata that ``identity`` sends to its peers."""
    return [
        (KEY_FIELD, key),
        (HOST_FIELD, identity.name),
        (INCARNATION_FIELD, identity.incarnation),
    ]


def read_metadata(metadata: Iterable[tuple[str, str | bytes]], key: str) -> PeerIdentity | None:
    """Return the caller's identity, or None if the shared key is wrong or a name is missing."""
    fields = {name: value for name, value in metadata if isinstance(value, str)}
    if not compare_digest(fields.get(KEY_FIELD, "").encode(), key.encode()):
        return None
    name = fields.get(HOST_FIELD, "")
    incarnation = fields.get(INCARNATION_FIELD, "")
    return PeerIdentity(name, incarnation) if name and incarnation else None
