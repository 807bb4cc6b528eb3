"""Why no upstream may get a request now."""

from attrs import frozen

from cherrylane.relay.stream_origins import StreamOrigin


@frozen
class Overloaded:
    """No upstream is expected to start the request in time; holds the lowest loads found."""

    upstreams: int
    least_requests: int
    least_unread_tokens: int


@frozen
class AllBackingOff:
    """Every upstream has asked this host to send nothing, the first for ``first_end_s`` seconds."""

    first_end_s: float


@frozen
class RateLimited:
    """The upstreams take no more requests now than those of more urgent or earlier requests.

    ``first_token_s`` is in how many seconds this host may send one again, infinite if it has no
    share of their limits.
    """

    first_token_s: float


@frozen
class AllCold:
    """All upstreams are cold, and this host may send none of them a request now.

    ``first_token_s`` is in how many seconds it may, infinite if it has no share of their rates.
    """

    first_token_s: float


@frozen
class OriginGone:
    """No upstream of the software version that began the stream accepts requests."""

    origin: StreamOrigin


@frozen
class AllEvacuated:
    """All upstreams of the service that accept requests are in evacuated failure domains."""

    domains: frozenset[str]


@frozen
class EvacuationsUnknown:
    """This host has not learned yet which failure domains are evacuated."""


SelectionFailure = (
    Overloaded
    | AllBackingOff
    | RateLimited
    | AllCold
    | OriginGone
    | AllEvacuated
    | EvacuationsUnknown
)
