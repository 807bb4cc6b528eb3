"""Decoding of the entries with which upstreams register in the platform's store."""

from typing import Any

from cherrylane.errors import DECODING_ERRORS, SettingsError
from cherrylane.routing.upstreams import Upstream, UpstreamState
from cherrylane.settings.schema import Endpoint

UPSTREAM_KIND = "servers"
DRAINING = "draining"
STATES = {"ready": UpstreamState.READY, DRAINING: UpstreamState.DRAINING}
REMEDY = "correct the entry; it is ignored until then"


def decode_upstream(name: str, entry: Any) -> Upstream:
    """Decode one entry; raises :class:`SettingsError` if it is invalid."""
    try:
        return Upstream(
            name=name,
            service=_read_text(entry["service"]),
            endpoint=_read_endpoint(entry["address"]),
            zone=_read_text(entry["zone"]),
            slots=_read_count(entry["slots"]),
            state=STATES[entry["state"]],
            # Start time of the upstream, in Unix milliseconds.
            incarnation=_read_count(entry.get("born", 0)),
            software=_read_text(entry["version"]),
            slow_start_s=_read_count(entry.get("cold_remaining_ms", 0)) / 1000,
        )
    except DECODING_ERRORS as error:
        raise SettingsError(
            f"invalid entry of upstream {name} ({type(error).__name__}: {error})",
            remedy=REMEDY,
        ) from error


def mark_draining(entry: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a valid entry that says that its upstream leaves."""
    return {**entry, "state": DRAINING}


def _read_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _read_count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{value!r} is not a number of 0 or more")
    return int(value)


def _read_endpoint(value: Any) -> Endpoint:
    address, _, port = _read_text(value).rpartition(":")
    if address.count(".") != 3 or not all(part.isdigit() for part in address.split(".")):
        raise ValueError(f"{value!r} is not an IPv4 address and port")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} has no port from 1 to 65535")
    return Endpoint(address, int(port))
