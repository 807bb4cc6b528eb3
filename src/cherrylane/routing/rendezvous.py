"""Weighted rendezvous hashing.

A member's score for a key is computed from the hashes of both, and the member with the highest
score owns the key. When a member joins or leaves, only the keys that it owns move. The method is
from Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998), with the
logarithmic weights of Schindelhauer and Schomaker (2005). The 32-bit mixing function is
"lowbias32" by Wellons (2018).
"""

from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray
from xxhash import xxh3_64_intdigest

MULTIPLIER_1 = np.uint32(0x7FEB352D)
MULTIPLIER_2 = np.uint32(0x846CA68B)
SHIFT_1 = np.uint32(16)
SHIFT_2 = np.uint32(15)
LOW_MASK = 0xFFFFFFFF
HIGH_SHIFT = 32
# Maps 32-bit integers to the interval from 0 to 1.
UNIT_SCALE = 2.0**-32
# Up to this many members are found by repeated scans, more by sorting all scores.
MAX_SCANS = 8


def hash_text(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same on all hosts and in all releases."""
    # JSON may hold halves of surrogate pairs, which callers write into their chats.
    return xxh3_64_intdigest(text.encode(errors="surrogatepass"))


class RendezvousTable:
    """Ranks a fixed set of members for any key, optionally by weight.

    Example::

        table = RendezvousTable(["a", "b", "c"], [1.0, 1.0, 2.0])
        first, second = table.rank(hash_text("chat-7"), 2)
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float] | None = None) -> None:
        by_name = dict(zip(names, weights or [1.0] * len(names), strict=True))
        self.names = sorted(by_name)
        self._weights = np.array([by_name[name] for name in self.names], dtype=np.float64)
        self._is_weighted = len(set(by_name.values())) > 1
        hashes = [hash_text(name) for name in self.names]
        self._low = np.array([value & LOW_MASK for value in hashes], dtype=np.uint32)
        self._high = np.array([value >> HIGH_SHIFT for value in hashes], dtype=np.uint32)

    def __len__(self) -> int:
        return len(self.names)

    def rank(self, key: int, count: int) -> list[str]:
        """Return the names of the ``count`` members that score highest for ``key``, best first."""
        if not self.names:
            return []
        scores = self._compute_weighted_scores(key) if self._is_weighted else self._mix_hashes(key)
        return [self.names[position] for position in _find_largest(scores, count)]

    def _compute_weighted_scores(self, key: int) -> NDArray[np.float64]:
        uniform = self._mix_hashes(key).astype(np.float64)
        uniform += 0.5
        uniform *= UNIT_SCALE
        np.log(uniform, out=uniform)
        np.negative(uniform, out=uniform)
        return np.divide(self._weights, uniform, out=uniform)

    def _mix_hashes(self, key: int) -> NDArray[np.uint32]:
        mixed = self._low ^ np.uint32(key & LOW_MASK)
        mixed ^= mixed >> SHIFT_1
        mixed *= MULTIPLIER_1
        mixed ^= self._high ^ np.uint32(key >> HIGH_SHIFT)
        mixed ^= mixed >> SHIFT_2
        mixed *= MULTIPLIER_2
        mixed ^= mixed >> SHIFT_1
        return mixed


def _find_largest(values: NDArray[np.generic], count: int) -> list[int]:
    """Return the positions of the largest values, largest first; overwrites ``values``."""
    if count > MAX_SCANS:
        return [int(position) for position in np.argsort(values)[::-1][:count]]
    found: list[int] = []
    for _ in range(min(count, len(values))):
        position = int(values.argmax())
        found.append(position)
        values[position] = 0
    return found
