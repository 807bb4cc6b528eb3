"""Claims: the record that a request is about to be sent, made before a byte of it leaves.

A claim names a key (the hash of client account, service and ``Idempotency-Key``), the request that
claims it, and a digest of what it asks for.
"""

from enum import Enum
from hashlib import blake2b

from attrs import frozen

DIGEST_BYTES = 16
SHARDS = 64


@frozen
class Claim:
    """One request's claim of a key."""

    key: str
    claimant: str
    digest: str

    @property
    def shard(self) -> int:
        """The shard in which the key is kept."""
        return int(self.key[:8], 16) % SHARDS


class ClaimOutcome(Enum):
    """What became of a claim."""

    FRESH = "fresh"
    TAKEN = "taken"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    UNAVAILABLE = "unavailable"


@frozen
class ClaimRequest:
    """An ask to claim, or to ``withdraw`` a claim whose request was surely never sent."""

    id: str
    site: str
    claim: Claim
    withdraw: bool = False


@frozen
class ClaimAnswer:
    """The shard's home's answer to a claim."""

    id: str
    outcome: ClaimOutcome


def make_claim(account: str, service: str, key: str, claimant: str, request: bytes) -> Claim:
    """Return the claim of a request; ``request`` is all that has to be the same in a repeat."""
    name = "\n".join((account, service, key)).encode()
    return Claim(key=_digest(name), claimant=claimant, digest=_digest(request))


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
