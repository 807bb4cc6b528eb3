"""Weighted rendezvous hashing.

Every member gets a score from the key's and its own hash; the highest score wins. When a member
joins or leaves, only the keys that it wins or won move. The method is Thaler and Ravishankar's
"Using name-based mappings to increase hit rates" (1998), weighted by the logarithmic method of
Schindelhauer and Schomaker (2005). The 32-bit mixing is Wellons' "lowbias32" (2018).
"""

from collections.abc import Sequence
from math import log

import numpy as np
from attrs import frozen
from numpy.typing import NDArray
from xxhash import xxh3_64_intdigest

MIX_1 = np.uint32(0x7FEB352D)
MIX_2 = np.uint32(0x846CA68B)
SHIFT_1 = np.uint32(16)
SHIFT_2 = np.uint32(15)
LOW_BITS = 0xFFFFFFFF
HIGH_SHIFT = 32
SCALE = 2.0**-32
FEW = 8


def hash_text(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same on every host and in every release."""
    return xxh3_64_intdigest(text.encode())


@frozen
class _WeightClass:
    """The members of one weight: positions ``start`` to ``stop``."""

    weight: float
    start: int
    stop: int


class RendezvousTable:
    """Ranks a fixed set of members for any key.

    Example::

        table = RendezvousTable(["a", "b", "c"], [1.0, 1.0, 2.0])
        first, second = table.rank(hash_text("chat-7"), 2)
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float] | None = None) -> None:
        by_weight = [1.0] * len(names) if weights is None else list(weights)
        members = sorted(zip(by_weight, names, strict=True))
        self.names = [name for _, name in members]
        self._classes = _find_classes([weight for weight, _ in members])
        hashes = [hash_text(name) for name in self.names]
        self._low = np.array([value & LOW_BITS for value in hashes], dtype=np.uint32)
        self._high = np.array([value >> HIGH_SHIFT for value in hashes], dtype=np.uint32)

    def __len__(self) -> int:
        return len(self.names)

    def rank(self, key: int, count: int) -> list[str]:
        """Return the names of the ``count`` best members for ``key``, best first."""
        if not self.names:
            return []
        mixed = self._mix(key)
        if len(self._classes) == 1:
            return [self.names[position] for position, _ in _find_largest(mixed, count)]
        scored: list[tuple[float, int]] = []
        for group in self._classes:
            for index, value in _find_largest(mixed[group.start : group.stop], count):
                score = group.weight / -log((value + 0.5) * SCALE)
                scored.append((score, group.start + index))
        scored.sort(reverse=True)
        return [self.names[position] for _, position in scored[:count]]

    def _mix(self, key: int) -> NDArray[np.uint32]:
        mixed = self._low ^ np.uint32(key & LOW_BITS)
        mixed ^= mixed >> SHIFT_1
        mixed *= MIX_1
        mixed ^= self._high ^ np.uint32(key >> HIGH_SHIFT)
        mixed ^= mixed >> SHIFT_2
        mixed *= MIX_2
        mixed ^= mixed >> SHIFT_1
        return mixed


def _find_classes(weights: list[float]) -> list[_WeightClass]:
    if not weights:
        return []
    starts = [
        index for index, weight in enumerate(weights) if index == 0 or weights[index - 1] != weight
    ]
    stops = [*starts[1:], len(weights)]
    return [
        _WeightClass(weights[start], start, stop) for start, stop in zip(starts, stops, strict=True)
    ]


def _find_largest(values: NDArray[np.uint32], count: int) -> list[tuple[int, int]]:
    """Return positions and values of the largest, largest first; overwrites ``values``."""
    if count > FEW:
        order = np.argsort(values)[::-1][:count]
        return [(int(position), int(values[position])) for position in order]
    found: list[tuple[int, int]] = []
    for _ in range(min(count, len(values))):
        position = int(values.argmax())
        found.append((position, int(values[position])))
        values[position] = 0
    return found
