"""A prefix cache in limited memory, in blocks of text, with events that tell of its changes."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Any

from attrs import define, field, frozen

BLOCK_CHARACTERS = 256
EVENT_LIMIT = 4096


@frozen
class CacheEvent:
    """One change of the cache; ``sequence`` has gaps where events were dropped."""

    sequence: int
    type: str
    block: str

    def to_wire(self) -> dict[str, Any]:
        """Return the event as plain data."""
        return {"sequence": self.sequence, "type": self.type, "block": self.block}


@define
class PrefixCache:
    """Holds the most recently used ``capacity`` blocks."""

    capacity: int
    drop_every: int = 0
    blocks: OrderedDict[str, None] = field(factory=OrderedDict)
    events: list[CacheEvent] = field(factory=list)
    sequence: int = 0

    def match(self, prompt: str) -> int:
        """Return how many leading characters of ``prompt`` are held."""
        held = 0
        for block in block_names(prompt):
            if block not in self.blocks:
                break
            held += BLOCK_CHARACTERS
        return min(held, len(prompt))

    def store(self, prompt: str) -> None:
        """Hold every block of ``prompt``, dropping the least recently used ones."""
        for block in block_names(prompt):
            if block not in self.blocks:
                self._record("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            evicted, _ = self.blocks.popitem(last=False)
            self._record("removed", evicted)

    def _record(self, event_type: str, block: str) -> None:
        self.sequence += 1
        if self.drop_every and self.sequence % self.drop_every == 0:
            return
        self.events.append(CacheEvent(self.sequence, event_type, block))
        del self.events[:-EVENT_LIMIT]


def block_names(prompt: str) -> list[str]:
    """Return a name for each whole block of ``prompt``, which depends on all text before it."""
    names: list[str] = []
    digest = blake2b(digest_size=8)
    whole = len(prompt) // BLOCK_CHARACTERS * BLOCK_CHARACTERS
    for start in range(0, whole, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        names.append(digest.hexdigest())
    return names
