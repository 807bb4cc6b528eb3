"""Memory for the bodies that a process holds whole, shared by all of them.

Each body has a limit of its own, but many at once may exceed the memory of the host. What one may
hold is a share of what is still free (dynamic thresholds; Choudhury and Hahne, 1998): many large
bodies leave room for others, and the largest is the first that may not grow.
"""

from attrs import define

# Share of the memory that is still free which one body may hold.
SHARE_OF_FREE = 0.25
# Bytes that any body may hold.
SMALL_BYTES = 64 * 1024
# Share of a process's memory for bodies; each may be held twice while it is passed on.
SHARE_OF_MEMORY = 0.25
DEFAULT_MEMORY_BYTES = 300 * 1024 * 1024


@define
class BodyMemory:
    """The memory for bodies, and how much of it is held.

    Example::

        memory = BodyMemory(limit_bytes=75_000_000)
        held = memory.open()
        held.grow(1_200_000)  # True
        held.release()
    """

    limit_bytes: int = int(DEFAULT_MEMORY_BYTES * SHARE_OF_MEMORY)
    held_bytes: int = 0

    def open(self) -> "HeldMemory":
        """Return the memory of one more body, which holds nothing yet."""
        return HeldMemory(self)


@define(eq=False)
class HeldMemory:
    """The memory that a body holds, or several bodies of one request."""

    memory: BodyMemory
    size: int = 0

    def grow(self, count: int) -> bool:
        """Hold ``count`` bytes more; returns False if that is more than there is for one body."""
        size = self.size + count
        free = self.memory.limit_bytes - self.memory.held_bytes
        if size > SMALL_BYTES and size > free * SHARE_OF_FREE:
            return False
        self.size = size
        self.memory.held_bytes += count
        return True

    def shrink(self, count: int) -> None:
        """Hold ``count`` bytes less."""
        self.size -= count
        self.memory.held_bytes -= count

    def release(self) -> None:
        """Hold nothing any more."""
        self.shrink(self.size)
