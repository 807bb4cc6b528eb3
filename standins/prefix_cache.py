"""A prefix cache of bounded size, in blocks of text, that emits events on changes."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Any

from attrs import define, field, frozen

BLOCK_CHARACTERS = 256
MAX_EVENTS = 4096


@frozen
class CacheEvent:
    """A change of the cache; ``sequence`` has gaps where events were dropped."""

    sequence: int
    type: str
    block: str

    def to_wire(self) -> dict[str, Any]:
        """Return the event as a JSON-compatible dict."""
        return {"sequence": self.sequence, "type": self.type, "block": self.block}


@define
class PrefixCache:
    """LRU cache of up to ``capacity`` blocks; every ``drop_every``-th event is lost, if set."""

    capacity: int
    drop_every: int = 0
    blocks: OrderedDict[str, None] = field(factory=OrderedDict)
    events: list[CacheEvent] = field(factory=list)
    sequence: int = 0

    def match(self, prompt: str) -> int:
        """Return how many leading characters of ``prompt`` are cached."""
        matched = 0
        for block in hash_blocks(prompt):
            if block not in self.blocks:
                break
            matched += BLOCK_CHARACTERS
        return min(matched, len(prompt))

    def store(self, prompt: str) -> None:
        """Add all blocks of ``prompt`` and evict the least recently used ones beyond capacity."""
        for block in hash_blocks(prompt):
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
        del self.events[:-MAX_EVENTS]


def hash_blocks(prompt: str) -> list[str]:
    """Return a hash of each full block of ``prompt``, which also covers all text before it."""
    hashes: list[str] = []
    digest = blake2b(digest_size=8)
    blocks_end = len(prompt) // BLOCK_CHARACTERS * BLOCK_CHARACTERS
    for start in range(0, blocks_end, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.hexdigest())
    return hashes
