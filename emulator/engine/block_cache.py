"""Prefix cache of an emulated engine: salted 16-token blocks in bounded memory.

Keys are chained (``hopstep.domain.blocks.block_keys``). A request that holds a block also holds
every block before it, and releases its last block first. So a block is always evicted before
the blocks that precede it, and the cached part of a prompt is a prefix.
"""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Callable, Sequence

from hopstep.ports.engine import CacheEventKind

EventSink = Callable[[CacheEventKind, tuple[int, ...]], None]


class BlockCache:
    """Blocks that running requests hold, and evictable ones in LRU order."""

    def __init__(self, block_count: int, event_sink: EventSink) -> None:
        """Start empty.

        Args:
            block_count: Blocks in memory.
            event_sink: Called with the kind of event and the keys stored or evicted.
        """
        self._block_count = block_count
        self._event_sink = event_sink
        self._references: dict[int, int] = {}
        self._evictable: OrderedDict[int, None] = OrderedDict()
        self._reserved = 0

    @property
    def free_block_ratio(self) -> float:
        """Share of blocks that are free or evictable."""
        return 1.0 - (len(self._references) + self._reserved) / self._block_count

    def __contains__(self, key: int) -> bool:
        """Return whether the block with ``key`` is cached."""
        return key in self._references or key in self._evictable

    def __len__(self) -> int:
        """Return the number of cached blocks."""
        return len(self._references) + len(self._evictable)

    def match(self, keys: Sequence[int], limit: int) -> int:
        """Return how many of the first ``limit`` keys are cached.

        Bisects, as the cached part of a chain is always a prefix.
        """
        return bisect.bisect_left(range(limit), True, key=lambda at: keys[at] not in self)

    def reserve(self, matched_keys: Sequence[int], new_blocks: int) -> bool:
        """Hold cached blocks and reserve memory for new ones, evicting blocks if necessary.

        Args:
            matched_keys: Cached keys, first block first.
            new_blocks: Blocks that the request will fill.

        Returns:
            False, with nothing changed, when there isn't enough free capacity.
        """
        unused = self._block_count - len(self) - self._reserved
        idle = sum(1 for key in matched_keys if key not in self._references)
        if new_blocks > unused + len(self._evictable) - idle:
            return False
        self._hold(matched_keys)
        if new_blocks > unused:
            self._evict(new_blocks - unused)
        self._reserved += new_blocks
        return True

    def store(self, keys: Sequence[int]) -> None:
        """Cache and hold computed or imported blocks in reserved memory."""
        references = self._references
        stored: list[int] = []
        for key in keys:
            count = references.get(key, 0)
            references[key] = count + 1
            if count:
                continue
            if key in self._evictable:
                del self._evictable[key]
            else:
                stored.append(key)
        self._reserved -= len(keys)
        if stored:
            self._event_sink(CacheEventKind.STORED, tuple(stored))

    def release(self, held_keys: Sequence[int], reserved_blocks: int) -> None:
        """Release a request's blocks; they stay cached until they are evicted."""
        references = self._references
        for key in reversed(held_keys):
            count = references[key]
            if count > 1:
                references[key] = count - 1
            else:
                del references[key]
                self._evictable[key] = None
        self._reserved -= reserved_blocks

    def drop_evictable(self) -> None:
        """Evict every block that no running request holds."""
        if self._evictable:
            self._evict(len(self._evictable))

    def _hold(self, keys: Sequence[int]) -> None:
        """Increment the reference count of each cached block."""
        references = self._references
        for key in keys:
            count = references.get(key, 0)
            if not count:
                del self._evictable[key]
            references[key] = count + 1

    def _evict(self, count: int) -> None:
        """Evict the least recently used blocks, the last of a prefix first."""
        evicted = tuple(self._evictable.popitem(last=False)[0] for _ in range(count))
        self._event_sink(CacheEventKind.EVICTED, evicted)
