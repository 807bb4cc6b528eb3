"""Limits of a listener."""

from attrs import frozen


@frozen
class InboundLimits:
    """Size and time limits of requests; replaced when the configuration changes."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    read_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
