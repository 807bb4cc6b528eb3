"""What hosts tell each other in datagrams, and its encoding: JSON with one-letter keys."""

from collections.abc import Iterable, Iterator
from enum import Enum
from json import dumps
from typing import Any

from attrs import astuple, evolve, frozen

from cherrylane.membership.evacuations import Evacuations
from cherrylane.placement.caches import CachedPart
from cherrylane.placement.loads import Load
from cherrylane.platform.versions import NO_VERSION, StoreVersion
from cherrylane.settings.schema import Endpoint

# Size limit of a datagram; most links carry 1,500 bytes without fragmentation.
MAX_DATAGRAM_BYTES = 1400

# Characters of the key of a stream.
STREAM_KEY_LENGTH = 8

# The confirmation age of state that was never confirmed.
UNCONFIRMED_MS = 10**9


class HostState(Enum):
    """Lifecycle state of a host; only a ready one serves callers."""

    STARTING = "s"
    READY = "r"
    LEAVING = "l"


@frozen
class PeerLiveness:
    """Another host, last known to be alive ``age_ms`` milliseconds ago."""

    address: str
    age_ms: int


@frozen
class UpstreamLeaving:
    """An incarnation of an upstream that has said in an answer that it leaves."""

    name: str
    incarnation: int


@frozen
class UpstreamBackoff:
    """An upstream that wants no request from the sender for ``remaining_ms`` milliseconds."""

    name: str
    remaining_ms: int


@frozen
class UpstreamRate:
    """The request limit of an upstream, None if it has ended, as heard ``age_ms`` ago."""

    name: str
    incarnation: int
    requests_per_s: float | None
    age_ms: int


@frozen
class UpstreamCold:
    """An incarnation of an upstream that is cold for ``remaining_ms`` milliseconds."""

    name: str
    incarnation: int
    remaining_ms: int


@frozen
class BegunStreams:
    """The keys of streams that a software version of a service has begun."""

    service: str
    software: str
    keys: tuple[str, ...]


@frozen
class VersionUse:
    """A software version that a service had in use ``age_ms`` milliseconds ago."""

    service: str
    software: str
    age_ms: int


@frozen
class CrashReport:
    """A crash of an upstream ``age_ms`` milliseconds ago, as the sender saw it.

    ``suspects`` are parts of prompts or whole requests, their depths, and how many milliseconds
    before the crash a request with them was sent. ``answered`` are the positions of those that the
    sender has seen answered before.
    """

    upstream: str
    incarnation: int
    age_ms: int
    suspects: tuple[tuple[str, int, int], ...]
    answered: tuple[int, ...] = ()


@frozen
class PartAnswered:
    """A part of prompts, or a whole request, that was answered ``age_ms`` milliseconds ago."""

    part: str
    age_ms: int


@frozen
class PartVerdict:
    """What the sender knows of such a part or request; see ``limits.crash_evidence.Verdict``."""

    part: str
    generation: int
    is_lifted: bool
    age_ms: int


@frozen
class Heartbeat:
    """The state that a host announces to its peers several times a second.

    ``config_version`` and ``upstreams_version`` are the newest versions it has, lowest for none.
    ``loads`` is its own load on each upstream. ``cached`` lists the prompt parts that its requests
    have recently left in engine caches, and ``has_full_cache_map`` says whether it also knows what
    was cached before it started. ``hosts`` are some of the other live hosts.
    ``confirmation_age_ms`` is how long ago a host that follows the store last confirmed that the
    state of this host is current, and ``contact_ms`` for how long the store has answered the sender
    without a failure. ``leaving`` are upstreams that have lately said in an answer that
    they leave, and ``backing_off`` those that want nothing from this host for a while. ``rates``
    are some of the request limits that upstreams have named. ``streams`` are streams that may be
    taken up elsewhere, ``versions`` those of services which have several, and ``knows_versions``
    says that the sender knows of no others. ``crashes`` are upstreams that have
    just crashed, ``answered`` parts of prompts that were suspected of it and answered since, and
    ``verdicts`` parts of prompts that crash upstreams. ``cold`` are upstreams that have turned cold
    while they ran, as the sender knows at first hand. ``evacuations`` are the evacuated failure
    domains, None if the sender does not know them or does not observe them.
    """

    host: str
    boot_id: str
    zone: str
    state: HostState
    callers: Endpoint
    config_version: int = 0
    upstreams_version: StoreVersion = NO_VERSION
    loads: tuple[tuple[str, Load], ...] = ()
    hosts: tuple[PeerLiveness, ...] = ()
    confirmation_age_ms: int = UNCONFIRMED_MS
    contact_ms: int = 0
    stamp_ms: int = 0
    cached: tuple[CachedPart, ...] = ()
    has_full_cache_map: bool = False
    leaving: tuple[UpstreamLeaving, ...] = ()
    backing_off: tuple[UpstreamBackoff, ...] = ()
    rates: tuple[UpstreamRate, ...] = ()
    streams: tuple[BegunStreams, ...] = ()
    versions: tuple[VersionUse, ...] = ()
    knows_versions: bool = False
    crashes: tuple[CrashReport, ...] = ()
    answered: tuple[PartAnswered, ...] = ()
    verdicts: tuple[PartVerdict, ...] = ()
    cold: tuple[UpstreamCold, ...] = ()
    evacuations: Evacuations | None = None

    def make_older(self, delay_ms: int) -> "Heartbeat":
        """Return what the heartbeat says, read ``delay_ms`` after it could have been read.

        The sender may have lost the store meanwhile.
        """
        age_ms = min(self.confirmation_age_ms + delay_ms, UNCONFIRMED_MS)
        return evolve(self, confirmation_age_ms=age_ms, contact_ms=0)

    def encode(self) -> bytes:
        """Return the datagram.

        Above ``MAX_DATAGRAM_BYTES``, the least important parts are dropped first: cached parts,
        then hosts, then streams, then backoffs, then loads, then crashes, then rates, then
        verdicts, then versions, then cold upstreams. Evacuations are never dropped: a datagram that
        is still too large then is sent in fragments.
        """
        data = self._to_json()
        if len(data) <= MAX_DATAGRAM_BYTES:
            return data
        shrunk = self._shrink()
        return data if shrunk == self else shrunk.encode()

    def _shrink(self) -> "Heartbeat":
        """Return a copy without half of what matters least of all that it has."""
        if self.cached:
            return evolve(self, cached=self.cached[: len(self.cached) // 2])
        if self.hosts:
            return evolve(self, hosts=self.hosts[: len(self.hosts) // 2])
        if self.streams:
            return evolve(self, streams=tuple(_halve_streams(self.streams)))
        if self.backing_off:
            return evolve(self, backing_off=self.backing_off[: len(self.backing_off) // 2])
        if not self.loads and not self.crashes and not self.answered and self.rates:
            return evolve(self, rates=self.rates[: len(self.rates) // 2])
        if not self.verdicts and not self.loads and not self.crashes and not self.answered:
            if not self.versions and self.cold:
                return evolve(self, cold=self.cold[: len(self.cold) // 2])
            # A part of the versions would pass for all.
            return evolve(self, versions=(), knows_versions=False)
        if not self.loads and not self.crashes and not self.answered:
            return evolve(self, verdicts=self.verdicts[: len(self.verdicts) // 2])
        if not self.loads:
            answered = self.answered[: len(self.answered) // 2]
            return evolve(self, crashes=self.crashes[: len(self.crashes) // 2], answered=answered)
        largest = sorted(self.loads, key=lambda item: item[1].requests, reverse=True)
        return evolve(self, loads=tuple(largest[: len(largest) // 2]))

    def _to_json(self) -> bytes:
        fields: dict[str, Any] = {
            "h": self.host,
            "b": self.boot_id,
            "z": self.zone,
            "s": self.state.value,
            "a": self.callers.address,
            "p": self.callers.port,
            "c": self.config_version,
            "u": self.upstreams_version.revision,
            "e": self.upstreams_version.era,
            "n": int(self.has_full_cache_map),
            "l": {name: load.requests for name, load in self.loads},
            "t": {name: load.unread_tokens for name, load in self.loads if load.unread_tokens},
            "m": [(peer.address, peer.age_ms) for peer in self.hosts],
            "f": self.confirmation_age_ms,
            "v": self.contact_ms,
            "@": self.stamp_ms,
            "k": [(part.upstream, part.key, part.tokens) for part in self.cached],
        }
        if self.leaving:
            fields["d"] = [(upstream.name, upstream.incarnation) for upstream in self.leaving]
        if self.backing_off:
            fields["w"] = [(upstream.name, upstream.remaining_ms) for upstream in self.backing_off]
        if self.streams:
            fields["g"] = encode_streams(self.streams)
        if self.versions:
            fields["j"] = [astuple(version) for version in self.versions]
        if self.knows_versions:
            fields["i"] = 1
        if self.rates:
            fields["r"] = [astuple(rate) for rate in self.rates]
        if self.crashes:
            # Four values a crash, as hosts of the release before expect them.
            fields["x"] = [astuple(crash)[:4] for crash in self.crashes]
            fields["y"] = [crash.answered for crash in self.crashes]
        for key, items in (("o", self.answered), ("q", self.verdicts), ("C", self.cold)):
            if items:
                fields[key] = [astuple(item) for item in items]
        fields |= _encode_evacuations(self.evacuations)
        return dumps(fields, separators=(",", ":")).encode()


def _encode_evacuations(evacuations: Evacuations | None) -> dict[str, Any]:
    if evacuations is None:
        return {}
    version = evacuations.version
    return {"E": [version.era, version.revision, sorted(evacuations.domains)]}


def _halve_streams(streams: tuple[BegunStreams, ...]) -> Iterator[BegunStreams]:
    for begun in streams:
        keys = begun.keys[: len(begun.keys) // 2]
        if keys:
            yield evolve(begun, keys=keys)


def encode_streams(streams: Iterable[BegunStreams]) -> list[tuple[str, str, str]]:
    """Return streams as plain JSON data."""
    return [(one.service, one.software, "".join(one.keys)) for one in streams]
