"""How many descriptors a process may use for connections.

The system always gives the lowest free descriptor, so the number of a new one tells how many are
open at least.
"""

from os import close, dup
from sys import maxsize

# Descriptors of a process's limit that are left to files, and to the listeners, peers and store.
RESERVED_DESCRIPTORS = 200
# Descriptors that callers leave to the upstreams of those that are connected. The loop also accepts
# up to 100 connections before it sets up the first of them.
LEFT_BY_CALLERS = 200


def find_lowest_free() -> int:
    """Return the number of the lowest free descriptor, a huge one if there is none."""
    try:
        descriptor = dup(1)
    except OSError:
        return maxsize
    close(descriptor)
    return descriptor


def find_callers_limit(max_descriptors: int) -> int:
    """Return the first descriptor that callers may not use, 0 if there is no limit.

    Example::

        find_callers_limit(4100)  # 3700
    """
    limit = find_upstreams_limit(max_descriptors)
    return max(limit - LEFT_BY_CALLERS, limit // 2)


def find_upstreams_limit(max_descriptors: int) -> int:
    """Return the first descriptor that connections to upstreams may not use, 0 without a limit."""
    return max(max_descriptors - RESERVED_DESCRIPTORS, max_descriptors // 2)
