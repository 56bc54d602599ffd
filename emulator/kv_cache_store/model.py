"""Model of a KV cache store without I/O: an LRU set of salted block keys."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence


class KvCacheStoreModel:
    """An LRU cache of block keys with a fixed capacity.

    Keys are salted with the tenant and the weights version, so an entry of another tenant or
    of older weights never matches.
    """

    def __init__(self, capacity_blocks: int) -> None:
        """Create an empty store with a capacity of ``capacity_blocks``."""
        self._capacity_blocks = capacity_blocks
        self._keys: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks held."""
        return len(self._keys)

    def held_prefix(self, keys: Sequence[int]) -> int:
        """Return how many leading blocks of a chain are held, and mark them as used."""
        held = 0
        for key in keys:
            if key not in self._keys:
                break
            held += 1
        for key in reversed(keys[:held]):
            self._keys.move_to_end(key)
        return held

    def write(self, keys: Iterable[int]) -> None:
        """Store blocks, evicting the least recently used ones beyond the capacity."""
        for key in keys:
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._capacity_blocks:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Remove all blocks, as a restart does."""
        self._keys.clear()
