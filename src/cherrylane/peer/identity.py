"""Who is at the other end of a call: the shared key and the caller's name, in call metadata."""

from collections.abc import Iterable
from hmac import compare_digest

from attrs import frozen

KEY_FIELD = "cherrylane-key"
HOST_FIELD = "cherrylane-host"
INCARNATION_FIELD = "cherrylane-incarnation"


@frozen
class PeerIdentity:
    """One run of a host's daemon."""

    name: str
    incarnation: str

    @property
    def holder(self) -> str:
        """The text by which grants name this run."""
        return f"{self.name}/{self.incarnation}"


def make_metadata(identity: PeerIdentity, key: str) -> list[tuple[str, str]]:
    """Return the metadata with which ``identity`` calls its peers."""
    return [
        (KEY_FIELD, key),
        (HOST_FIELD, identity.name),
        (INCARNATION_FIELD, identity.incarnation),
    ]


def read_metadata(metadata: Iterable[tuple[str, str | bytes]], key: str) -> PeerIdentity | None:
    """Return who calls, or None when the shared key is missing or wrong."""
    fields = {name: value for name, value in metadata if isinstance(value, str)}
    if not compare_digest(fields.get(KEY_FIELD, "").encode(), key.encode()):
        return None
    name = fields.get(HOST_FIELD, "")
    incarnation = fields.get(INCARNATION_FIELD, "")
    return PeerIdentity(name, incarnation) if name and incarnation else None
