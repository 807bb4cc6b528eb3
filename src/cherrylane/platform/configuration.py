"""Decoding of the configuration document that operators write to the platform's store."""

from collections.abc import Callable
from typing import Any

from cherrylane.errors import DECODING_ERRORS, SettingsError
from cherrylane.fields import MAX_NUMBER, read_name, read_number, show
from cherrylane.http.limits import InboundLimits
from cherrylane.routing.routes import (
    DEFAULT_HEALTH_PATH,
    Account,
    Configuration,
    EngineProfile,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
REMEDY = "write a corrected version; the last valid one stays in force"
KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(document: Any) -> Configuration:
    """Decode a configuration; raises :class:`SettingsError` if it is invalid."""
    try:
        return Configuration(
            version=_read_int(document["version"]),
            routes=tuple(_decode_route(item) for item in document["routes"]),
            services=_index_by_name(document["services"], _decode_service),
            limits=_decode_limits(document["limits"]),
            accounts=tuple(_decode_account(item) for item in document.get("tenants") or ()),
        )
    except DECODING_ERRORS as error:
        raise SettingsError(
            f"invalid configuration ({type(error).__name__}: {error})"[:500], remedy=REMEDY
        ) from error


def _decode_route(item: dict[str, Any]) -> Route:
    event_gap_ms = item.get("gap_aim_ms")
    return Route(
        name=str(item["name"]),
        host=str(item["host"]),
        path_prefix=str(item["path_prefix"]),
        kind=KINDS[item["kind"]],
        shares=_decode_shares(item),
        timeout_s=_read_seconds(item["timeout_ms"]),
        target_s=_read_seconds(item.get("target_latency_ms", item["timeout_ms"])),
        priority=_read_int(item.get("priority", 0)),
        max_attempts=max(1, _read_int(item.get("max_attempts", 1))),
        is_public=bool(item.get("public", False)),
        is_resumable=bool(item.get("resumable", False)),
        target_event_gap_s=None if event_gap_ms is None else _read_seconds(event_gap_ms),
    )


def _decode_shares(item: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = item.get("traffic_split")
    if not split:
        return (ServiceShare(str(item["service"])),)
    shares = tuple(
        ServiceShare(str(entry["service"]), read_number(entry["weight"])) for entry in split
    )
    if not any(share.weight > 0 for share in shares):
        raise ValueError(f"route {item['name']} has no service with a weight above 0")
    return shares


def _decode_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=str(item["name"]),
        max_connections=_read_int(item.get("max_connections", 0)),
        engine=None if engine is None else _decode_engine(engine),
        health_path=str(item.get("health_path") or DEFAULT_HEALTH_PATH),
        cold_start_s=read_number(item.get("cold_start_s") or 0),
        cold_per_s=read_number(item.get("cold_per_s") or 0),
    )


def _decode_engine(item: dict[str, Any]) -> EngineProfile:
    return EngineProfile(
        slots=_read_int(item["slots"]), kv_cache_tokens=_read_int(item["kv_capacity_tokens"])
    )


def _decode_limits(item: dict[str, Any]) -> InboundLimits:
    return InboundLimits(
        max_header_bytes=_read_int(item["max_header_bytes"]),
        max_body_bytes=_read_int(item["max_body_bytes"]),
        read_timeout_s=_read_seconds(item["header_timeout_ms"]),
        idle_timeout_s=_read_seconds(item["idle_timeout_ms"]),
    )


def _decode_account(item: dict[str, Any]) -> Account:
    priority = item.get("priority")
    return Account(
        # Sent to upstreams in a header.
        name=read_name(item["name"]),
        keys=frozenset(str(key) for key in item["api_keys"]),
        priority=None if priority is None else _read_int(priority),
    )


def _index_by_name(
    items: list[dict[str, Any]], decode: Callable[[dict[str, Any]], Service]
) -> dict[str, Service]:
    decoded = [decode(item) for item in items]
    return {service.name: service for service in decoded}


def _read_seconds(milliseconds: Any) -> float:
    """Return a time as a finite number of seconds: timers that get another one stop all others."""
    seconds = float(milliseconds) / 1000
    if not 0 <= seconds < float("inf"):
        raise ValueError(f"{show(milliseconds)} is not a time in milliseconds")
    return seconds


def _read_int(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or abs(value) > MAX_NUMBER:
        raise ValueError(f"{show(value)} is not a number that fits")
    if value != int(value):
        raise ValueError(f"{value!r} is not an integer")
    return int(value)
