"""Limit on the idle connections that a host keeps to an upstream shared by all hosts.

Non-idempotent requests each open a new connection. If all connections of a burst were kept, idle
ones would use up the upstream's connection limit. The upstream resets connections beyond its limit,
and a non-idempotent request on a reset connection cannot be retried.
"""

# Fraction of a host's even share of an upstream's connections that may be idle; the rest is left
# for requests in progress.
IDLE_SHARE = 0.4
# Idle connections kept when the upstream's connection limit is not known.
DEFAULT_IDLE = 8


def share_idle_connections(max_connections: int, hosts: int) -> int:
    """Return how many idle connections each of ``hosts`` may keep to an upstream.

    ``max_connections`` is the upstream's limit for all hosts together, 0 if it is not known.

    Example::

        share_idle_connections(100, 8)  # 5
    """
    if max_connections <= 0:
        return DEFAULT_IDLE
    return int(max_connections * IDLE_SHARE / max(1, hosts))
