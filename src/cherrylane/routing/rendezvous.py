"""Weighted rendezvous hashing.

Every member gets a score from the key's and its own hash; the highest score wins. When a member
joins or leaves, only the keys that it wins or won move. The method is Thaler and Ravishankar's
"Using name-based mappings to increase hit rates" (1998), weighted by the logarithmic method of
Schindelhauer and Schomaker (2005).
"""

from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray
from xxhash import xxh3_64_intdigest

MIX_1 = np.uint64(0xBF58476D1CE4E5B9)
MIX_2 = np.uint64(0x94D049BB133111EB)
SHIFT_1 = np.uint64(30)
SHIFT_2 = np.uint64(27)
SHIFT_3 = np.uint64(31)
FRACTION_SHIFT = np.uint64(11)
FRACTION_SCALE = 2.0**-53


def hash_text(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same on every host and in every release."""
    return xxh3_64_intdigest(text.encode())


class RendezvousTable:
    """Ranks a fixed set of members for any key.

    Example::

        table = RendezvousTable(["a", "b", "c"], [1.0, 1.0, 2.0])
        first, second = table.rank(hash_text("chat-7"), 2)
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float] | None = None) -> None:
        self.names = list(names)
        self._hashes = np.array([hash_text(name) for name in names], dtype=np.uint64)
        values = np.ones(len(names)) if weights is None else np.asarray(weights, dtype=np.float64)
        self._negative_weights = -values
        self._equal = bool(len(values) == 0 or np.all(values == values[0]))

    def __len__(self) -> int:
        return len(self.names)

    def rank(self, key: int, count: int) -> list[str]:
        """Return the names of the ``count`` best members for ``key``, best first."""
        return [self.names[index] for index in self.rank_indexes(key, count)]

    def rank_indexes(self, key: int, count: int) -> list[int]:
        """Return the positions of the ``count`` best members for ``key``, best first."""
        scores = self._score(key)
        size = len(scores)
        if count >= size:
            return [int(index) for index in np.argsort(-scores, kind="stable")]
        best = np.argpartition(scores, size - count)[size - count :]
        return [int(index) for index in best[np.argsort(-scores[best], kind="stable")]]

    def _score(self, key: int) -> NDArray[np.float64]:
        mixed = self._hashes ^ np.uint64(key)
        mixed ^= mixed >> SHIFT_1
        mixed *= MIX_1
        mixed ^= mixed >> SHIFT_2
        mixed *= MIX_2
        mixed ^= mixed >> SHIFT_3
        uniform = (mixed >> FRACTION_SHIFT).astype(np.float64)
        if self._equal:
            return uniform
        uniform += 0.5
        uniform *= FRACTION_SCALE
        np.log(uniform, out=uniform)
        np.divide(self._negative_weights, uniform, out=uniform)
        return uniform
