"""Limits on what is read from callers and from servers.

Each reader has a limit on the size, on the time as a whole and on the time between bytes, since the
other end may be in trouble and send bytes without end, or one now and then.
"""

from attrs import frozen


@frozen
class InboundLimits:
    """Size and time limits of requests; replaced when the configuration changes.

    ``read_timeout_s`` is for a whole head, and for the time between two parts of a body;
    ``body_timeout_s`` is for a whole body, and for the rest of a response to leave.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    read_timeout_s: float = 3.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 15.0


@frozen
class ResponseLimits:
    """Size limits of responses; the time limits are those of each exchange.

    ``max_head_bytes`` covers a head and all that precedes it, such as interim responses, and
    ``max_body_bytes`` a body that is read as a whole.
    """

    max_head_bytes: int = 64 * 1024
    max_body_bytes: int = 16 * 1024 * 1024
