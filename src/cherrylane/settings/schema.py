"""Settings of one daemon, as ``attrs`` classes that are passed whole.

Durations are in seconds and sizes in bytes; each name says so.
"""

from enum import Enum
from typing import Any

from attrs import Attribute, field, frozen
from attrs.validators import and_, ge, gt, in_, le, matches_re

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")
MAX_LEASE_SHARE = 0.75
MIN_SECRET_CHARACTERS = 16
MAX_SECRET_CHARACTERS = 128
NAME_PATTERN = r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?"


def check_secret(instance: Any, attribute: "Attribute[str]", value: str) -> None:
    """Refuse a secret that is too short or long, without showing it."""
    if not MIN_SECRET_CHARACTERS <= len(value) <= MAX_SECRET_CHARACTERS or not value.isprintable():
        raise ValueError(
            f"{attribute.name} must have {MIN_SECRET_CHARACTERS} to {MAX_SECRET_CHARACTERS} "
            "printable characters"
        )


class LogFormat(Enum):
    """How a log line is written."""

    JSON = "json"
    TEXT = "text"


@frozen
class Endpoint:
    """An IP address and a port; port 0 lets the kernel choose a free one."""

    address: str = field(validator=matches_re(r"[0-9a-fA-F.:]+"))
    port: int = field(default=0, validator=and_(ge(0), le(65535)))

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


@frozen
class HostSettings:
    """Who this host is and where it stands."""

    name: str = field(validator=matches_re(NAME_PATTERN))
    site: str = field(validator=matches_re(NAME_PATTERN))
    zone: str = field(validator=matches_re(NAME_PATTERN))


@frozen
class CallerSettings:
    """The HTTP side that callers connect to."""

    listen: Endpoint
    threads: int = field(default=64, validator=and_(ge(4), le(2000)))
    max_body_bytes: int = field(default=8 * 1024 * 1024, validator=gt(0))
    max_header_bytes: int = field(default=32 * 1024, validator=ge(1024))
    idle_timeout_s: float = field(default=30.0, validator=gt(0))
    address_lifetime_s: float = field(default=30.0, validator=gt(0))


@frozen
class OperatorSettings:
    """The HTTP side for health, status and metrics; keep it away from callers."""

    listen: Endpoint


@frozen
class PeerSettings:
    """The gRPC side between daemons, all of which hold the same ``shared_key``."""

    listen: Endpoint
    shared_key: str = field(validator=check_secret, repr=False)
    probe_interval_s: float = field(default=0.5, validator=gt(0))
    probe_timeout_s: float = field(default=0.4, validator=gt(0))
    suspect_after_s: float = field(default=2.0, validator=gt(0))
    lease_s: float = field(default=1.5, validator=gt(0))

    def __attrs_post_init__(self) -> None:
        """A lease has to lapse before the witnesses that acknowledged it give its holder up."""
        longest = MAX_LEASE_SHARE * self.suspect_after_s
        if self.lease_s > longest:
            raise ValueError(
                f"lease_s is {self.lease_s:g}, allowed is at most {longest:g}: "
                f"{MAX_LEASE_SHARE:g} of suspect_after_s"
            )


@frozen
class PlatformSettings:
    """The platform's object service."""

    url: str = field(validator=matches_re(r"https?://\S+"))
    token: str = field(default="", repr=False)
    timeout_s: float = field(default=3.0, validator=gt(0))
    watch_s: float = field(default=60.0, validator=gt(0))


@frozen
class UpstreamSettings:
    """How this host talks to engines and plain services."""

    connect_timeout_s: float = field(default=1.0, validator=gt(0))
    first_byte_timeout_s: float = field(default=60.0, validator=gt(0))
    silence_timeout_s: float = field(default=15.0, validator=gt(0))
    max_connections: int = field(default=512, validator=ge(1))


@frozen
class LogSettings:
    """What is logged and how."""

    format: LogFormat = LogFormat.JSON
    level: str = field(default="INFO", validator=in_(LOG_LEVELS))


@frozen
class DaemonSettings:
    """Everything that ``cherrylaned`` is started with."""

    host: HostSettings
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    upstreams: UpstreamSettings = field(factory=UpstreamSettings)
    log: LogSettings = field(factory=LogSettings)
