"""Decoding of the datagrams between hosts; each figure is checked for its type and range."""

from collections.abc import Iterator
from json import loads
from typing import Any

from cherrylane.errors import DECODING_ERRORS, PeerMessageError
from cherrylane.fields import read_address, read_count, read_name, read_number
from cherrylane.gossip.messages import (
    STREAM_KEY_LENGTH,
    UNCONFIRMED_MS,
    BegunStreams,
    CrashReport,
    Heartbeat,
    HostState,
    PartAnswered,
    PartVerdict,
    PeerLiveness,
    UpstreamBackoff,
    UpstreamCold,
    UpstreamLeaving,
    UpstreamRate,
    VersionUse,
)
from cherrylane.membership.evacuations import Evacuations
from cherrylane.placement.caches import CachedPart
from cherrylane.placement.loads import Load
from cherrylane.platform.versions import StoreVersion
from cherrylane.settings.schema import Endpoint

MAX_PORT = 65535


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decode a datagram; raises :class:`PeerMessageError` if it is not a valid heartbeat."""
    try:
        fields = loads(data)
        return Heartbeat(
            host=read_name(fields["h"]),
            boot_id=read_name(fields["b"]),
            zone=read_name(fields["z"]),
            state=HostState(fields["s"]),
            callers=Endpoint(read_address(fields["a"]), read_count(fields["p"], most=MAX_PORT)),
            config_version=read_count(fields["c"]),
            upstreams_version=StoreVersion(read_count(fields.get("e", 0)), read_count(fields["u"])),
            has_full_cache_map=bool(fields.get("n", 0)),
            loads=tuple(_decode_loads(fields)),
            hosts=tuple(
                PeerLiveness(read_address(host), _decode_age(age))
                for host, age in fields.get("m", ())
            ),
            confirmation_age_ms=_decode_age(fields.get("f", UNCONFIRMED_MS)),
            contact_ms=_decode_age(fields.get("v", 0)),
            stamp_ms=read_count(fields.get("@", 0)),
            cached=tuple(
                CachedPart(read_name(upstream), read_name(key), read_count(tokens))
                for upstream, key, tokens in fields.get("k", ())
            ),
            leaving=tuple(
                UpstreamLeaving(read_name(name), read_count(incarnation))
                for name, incarnation in fields.get("d", ())
            ),
            backing_off=tuple(
                UpstreamBackoff(read_name(name), _decode_age(remaining))
                for name, remaining in fields.get("w", ())
            ),
            rates=tuple(_decode_rates(fields)),
            streams=decode_streams(fields.get("g", ())),
            versions=tuple(
                VersionUse(read_name(service), read_name(software), _decode_age(age))
                for service, software, age in fields.get("j", ())
            ),
            knows_versions=bool(fields.get("i", 0)),
            crashes=tuple(_decode_crashes(fields)),
            answered=tuple(
                PartAnswered(read_name(part), _decode_age(age)) for part, age in fields.get("o", ())
            ),
            verdicts=tuple(
                PartVerdict(
                    read_name(part), read_count(generation), bool(is_lifted), _decode_age(age)
                )
                for part, generation, is_lifted, age in fields.get("q", ())
            ),
            cold=tuple(
                UpstreamCold(read_name(name), read_count(incarnation), _decode_age(remaining))
                for name, incarnation, remaining in fields.get("C", ())
            ),
            evacuations=_decode_evacuations(fields.get("E")),
        )
    except DECODING_ERRORS as error:
        raise PeerMessageError(
            f"invalid heartbeat datagram ({type(error).__name__}: {error})",
            remedy="run the same release on all hosts",
        ) from error


def decode_streams(items: Any) -> tuple[BegunStreams, ...]:
    """Decode streams; raises one of ``DECODING_ERRORS`` if they are invalid."""
    decoded = []
    for service, software, text in items:
        if len(text) % STREAM_KEY_LENGTH:
            raise ValueError("a stream's key is cut off")
        keys = tuple(
            str(text[start : start + STREAM_KEY_LENGTH])
            for start in range(0, len(text), STREAM_KEY_LENGTH)
        )
        decoded.append(BegunStreams(read_name(service), read_name(software), keys))
    return tuple(decoded)


def _decode_evacuations(item: Any) -> Evacuations | None:
    if item is None:
        return None
    era, revision, domains = item
    version = StoreVersion(read_count(era), read_count(revision))
    return Evacuations(frozenset(map(read_name, domains)), version)


def _decode_rates(fields: dict[str, Any]) -> Iterator[UpstreamRate]:
    for name, incarnation, rate, age in fields.get("r", ()):
        requests_per_s = None if rate is None else float(read_number(rate))
        yield UpstreamRate(
            read_name(name), read_count(incarnation), requests_per_s, _decode_age(age)
        )


def _decode_crashes(fields: dict[str, Any]) -> Iterator[CrashReport]:
    # Hosts of the release before do not say what they have seen answered.
    answered = fields.get("y", ())
    for number, (upstream, incarnation, age, suspects) in enumerate(fields.get("x", ())):
        yield CrashReport(
            upstream=read_name(upstream),
            incarnation=read_count(incarnation),
            age_ms=_decode_age(age),
            suspects=tuple(
                (read_name(part), read_count(depth), _decode_age(lead))
                for part, depth, lead in suspects
            ),
            answered=tuple(map(read_count, answered[number])) if number < len(answered) else (),
        )


def _decode_age(milliseconds: Any) -> int:
    """Return an age; one in the future would never expire."""
    if type(milliseconds) is int and milliseconds < 0:
        return 0
    return min(read_count(milliseconds), UNCONFIRMED_MS)


def _decode_loads(fields: dict[str, Any]) -> Iterator[tuple[str, Load]]:
    unread_tokens = fields.get("t", {})
    for name, count in fields.get("l", {}).items():
        yield read_name(name), Load(read_count(count), read_count(unread_tokens.get(name, 0)))
