"""How many idle connections a host keeps to an upstream that all hosts share.

This answers bursts of requests that may run only once: each of them needs a connection of its own,
and if all of these were kept, the upstream's bound would be reached by idle ones. It resets what
comes beyond, and a request on such a connection cannot be repeated.
"""

# Part of a host's even share of an upstream's connections that may be idle; the rest is for
# requests in work.
IDLE_SHARE = 0.4
# Idle connections that are kept where the upstream names no bound.
DEFAULT_IDLE = 8


def share_idle_connections(most_connections: int, hosts: int) -> int:
    """Return how many idle connections one of ``hosts`` may keep to an upstream.

    ``most_connections`` is what the upstream accepts from all hosts together, 0 if it is not known.

    Example::

        share_idle_connections(100, 8)  # 5
    """
    if most_connections <= 0:
        return DEFAULT_IDLE
    return int(most_connections * IDLE_SHARE / max(1, hosts))
