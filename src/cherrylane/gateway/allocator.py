"""Settings of the C library's allocator for a process that passes on large responses.

Freed blocks of very different sizes leave holes in the heap that larger ones do not fit into. In a
trial with 130 slow streams of events of 900 KB, 16 MB that were in use took 66 MB. Large blocks are
therefore mapped each for itself, and returned to the system when they are freed. By itself, glibc
raises the size from which it does so to that of the largest block ever freed.
"""

from ctypes import CDLL, c_int

from logbook import Logger

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Bytes from which a block is mapped for itself. Above what asyncio allocates for each read, 256 KB,
# so that an ordinary read takes no system call more.
MAPPED_BYTES = 320 * 1024
# Free bytes at the end of the heap that are kept, so that a read does not grow and shrink it.
KEPT_BYTES = 1024 * 1024

log = Logger("cherrylane.gateway")


def reduce_fragmentation() -> None:
    """Map large blocks each for itself; other allocators than glibc's stay as they are."""
    try:
        mallopt = CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        log.info("allocator left as it is", extra={"reason": str(error)})
        return
    mallopt.argtypes = [c_int, c_int]
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    mallopt(M_TRIM_THRESHOLD, KEPT_BYTES)
