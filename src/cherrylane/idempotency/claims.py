"""Claims: durable records of idempotency keys, written before a request is sent to an upstream.

A claim holds a key (the hash of client account, service and ``Idempotency-Key``), the id of the
request that claims it, and a digest of the request's contents.
"""

from enum import Enum
from hashlib import blake2b

from attrs import frozen

DIGEST_BYTES = 16
SHARD_COUNT = 64


@frozen
class Claim:
    """A request's claim of an idempotency key; ``claimant`` is the id of the request."""

    key: str
    claimant: str
    digest: str

    @property
    def shard(self) -> int:
        """The number of the shard that stores the key."""
        return int(self.key[:8], 16) % SHARD_COUNT


class ClaimOutcome(Enum):
    """The result of a claim.

    ``FRESH`` means that the request may be sent, ``TAKEN`` that an earlier one has the key,
    ``MISMATCH`` that the earlier one was different. ``WITHDRAWN`` confirms a withdrawal.
    ``UNAVAILABLE`` means that the claim may or may not have been stored.
    """

    FRESH = "fresh"
    TAKEN = "taken"
    MISMATCH = "mismatch"
    WITHDRAWN = "withdrawn"
    UNAVAILABLE = "unavailable"


@frozen
class ClaimRequest:
    """A request to make a claim, or to ``withdraw`` one whose request was certainly never sent."""

    id: str
    site: str
    claim: Claim
    withdraw: bool = False


@frozen
class ClaimAnswer:
    """The reply of a shard's home to a claim request."""

    id: str
    outcome: ClaimOutcome


def make_claim(account: str, service: str, key: str, claimant: str, request: bytes) -> Claim:
    """Return the claim of a request.

    ``request`` is the part of it that must be identical when the key is used again.
    """
    name = "\n".join((account, service, key)).encode()
    return Claim(key=_digest(name), claimant=claimant, digest=_digest(request))


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
