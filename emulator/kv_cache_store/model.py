"""The pure model of a KV cache store: which salted blocks one place keeps."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence


class KvCacheStoreModel:
    """Least recently used blocks of one place, in bounded memory.

    Keys are salted with the tenant and the weights version, so an entry of another tenant or
    of older weights never matches.
    """

    def __init__(self, capacity_blocks: int) -> None:
        """Start empty, with room for ``capacity_blocks``."""
        self._capacity_blocks = capacity_blocks
        self._keys: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks held."""
        return len(self._keys)

    def held_prefix(self, keys: Sequence[int]) -> int:
        """Return how many leading blocks of a chain are held, and count them as used."""
        held = 0
        for key in keys:
            if key not in self._keys:
                break
            held += 1
        for key in reversed(keys[:held]):
            self._keys.move_to_end(key)
        return held

    def write(self, keys: Iterable[int]) -> None:
        """Keep blocks; the least recently used ones make room."""
        for key in keys:
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > self._capacity_blocks:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        """Lose everything, as after a restart."""
        self._keys.clear()
