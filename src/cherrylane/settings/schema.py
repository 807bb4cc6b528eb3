"""Settings of one daemon, as ``attrs`` classes that are passed to components as a whole.

Durations are in seconds and sizes in bytes, as the suffixes of the names say.
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
    """Reject a secret that is too short, too long or not printable, without revealing it."""
    if not MIN_SECRET_CHARACTERS <= len(value) <= MAX_SECRET_CHARACTERS or not value.isprintable():
        raise ValueError(
            f"{attribute.name} must have {MIN_SECRET_CHARACTERS} to {MAX_SECRET_CHARACTERS} "
            "printable characters"
        )


class LogFormat(Enum):
    """The format of log lines."""

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
    """The name and location of this host."""

    name: str = field(validator=matches_re(NAME_PATTERN))
    site: str = field(validator=matches_re(NAME_PATTERN))
    zone: str = field(validator=matches_re(NAME_PATTERN))


@frozen
class CallerSettings:
    """The HTTP server for callers."""

    listen: Endpoint
    threads: int = field(default=64, validator=and_(ge(4), le(2000)))
    max_body_bytes: int = field(default=8 * 1024 * 1024, validator=gt(0))
    max_header_bytes: int = field(default=32 * 1024, validator=ge(1024))
    idle_timeout_s: float = field(default=30.0, validator=gt(0))
    address_lifetime_s: float = field(default=30.0, validator=gt(0))


@frozen
class OperatorSettings:
    """The HTTP server for health, status and metrics; do not expose it to callers."""

    listen: Endpoint


@frozen
class PeerSettings:
    """The gRPC server for other daemons; all of them use the same ``shared_key``."""

    listen: Endpoint
    shared_key: str = field(validator=check_secret, repr=False)
    probe_interval_s: float = field(default=0.5, validator=gt(0))
    probe_timeout_s: float = field(default=0.4, validator=gt(0))
    suspect_after_s: float = field(default=2.0, validator=gt(0))
    lease_s: float = field(default=1.5, validator=gt(0))

    def __attrs_post_init__(self) -> None:
        """Ensure a lease expires before its witnesses can declare its holder dead."""
        max_lease_s = MAX_LEASE_SHARE * self.suspect_after_s
        if self.lease_s > max_lease_s:
            raise ValueError(
                f"lease_s is {self.lease_s:g}, must be at most {max_lease_s:g}: "
                f"{MAX_LEASE_SHARE:g} of suspect_after_s"
            )


@frozen
class PlatformSettings:
    """The connection to the platform's object service.

    ``timeout_s`` is for each call, and ``watch_s`` the longest time that a watch waits for changes.
    A change that a pending watch misses while the service is silent is learned after that.
    """

    url: str = field(validator=matches_re(r"https?://\S+"))
    token: str = field(default="", repr=False)
    timeout_s: float = field(default=3.0, validator=gt(0))
    watch_s: float = field(default=6.0, validator=gt(0))


@frozen
class UpstreamSettings:
    """Timeouts and limits of connections to engines and plain services.

    ``first_byte_timeout_s`` is for the start of a response, ``head_timeout_s`` and
    ``body_timeout_s`` for its whole head and a whole body that is no stream. An exchange ends when
    the upstream neither sends nor takes a byte for ``silence_timeout_s``, and a stream when none
    of its events is complete within it.
    """

    connect_timeout_s: float = field(default=1.0, validator=gt(0))
    first_byte_timeout_s: float = field(default=60.0, validator=gt(0))
    silence_timeout_s: float = field(default=15.0, validator=gt(0))
    head_timeout_s: float = field(default=10.0, validator=gt(0))
    body_timeout_s: float = field(default=60.0, validator=gt(0))
    max_connections: int = field(default=512, validator=ge(1))


@frozen
class LogSettings:
    """The format and level of the log."""

    format: LogFormat = LogFormat.JSON
    level: str = field(default="INFO", validator=in_(LOG_LEVELS))


@frozen
class DaemonSettings:
    """All settings of ``cherrylaned``."""

    host: HostSettings
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    upstreams: UpstreamSettings = field(factory=UpstreamSettings)
    log: LogSettings = field(factory=LogSettings)
