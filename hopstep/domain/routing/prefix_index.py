"""Estimate of which engines hold which prompt prefixes; bounded in size, and may be wrong.

The index holds *heads*, a sample of the block keys (``prompt_heads``), taken from the
prompts that this router dispatches and from the engines' cache events. A head maps to the set
of engines expected to hold the prefix up to it. Block keys are salted by tenant and weights
version (``hopstep.domain.blocks``), so an entry of another tenant or of older weights can't
match. An entry belongs to one incarnation of an engine: when the incarnation or the loaded
weights change, all entries of the engine are dropped.

A set of engines is one integer with a bit for each engine, so that looking up a prompt is one
dictionary access for each head, whatever the number of engines.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

RETIRED_BITS_BEFORE_SWEEP = 64
"""Bits of ended incarnations that may remain set before they are cleared from all entries."""


class PrefixIndex:
    """Map from prefix heads to the engines expected to hold them."""

    def __init__(self, max_heads: int, stride: int) -> None:
        """Start empty.

        Args:
            max_heads: Most heads kept; the least recently learned ones are dropped first.
            stride: Divides the keys that are heads.
        """
        self._max_heads = max_heads
        self._stride = stride
        self._holders: dict[int, int] = {}
        self._bits: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}
        self._live_mask = 0
        self._retired: list[int] = []
        self._free: list[int] = []
        self._next_bit = 0

    def __len__(self) -> int:
        """Return the number of heads kept."""
        return len(self._holders)

    def resize(self, max_heads: int) -> None:
        """Change the maximum and drop the least recently learned heads above it."""
        self._max_heads = max_heads
        self._drop_excess()

    def incarnation(self, engine: str) -> str:
        """Return the incarnation that the engine's entries belong to; empty if none."""
        return self._incarnations.get(engine, "")

    def begin_incarnation(self, engine: str, incarnation: str) -> None:
        """Drop every entry of the engine and accept entries of ``incarnation`` from now on."""
        self.forget_engine(engine)
        self._bits[engine] = self._allocate_bit()
        self._incarnations[engine] = incarnation
        self._live_mask |= 1 << self._bits[engine]

    def forget_engine(self, engine: str) -> None:
        """Drop every entry of the engine and accept none until ``begin_incarnation``."""
        bit = self._bits.pop(engine, None)
        if bit is None:
            return
        del self._incarnations[engine]
        self._live_mask &= ~(1 << bit)
        self._retired.append(bit)

    def learn(self, engine: str, incarnation: str, heads: Sequence[int], held: int) -> None:
        """Record that the engine holds the first ``held`` heads of a prompt and no others.

        Args:
            engine: Name of the engine.
            incarnation: Incarnation that was observed; ignored unless it is the current one.
            heads: Heads of the prompt, shallowest first.
            held: How many of them the engine holds.
        """
        if not incarnation or self._incarnations.get(engine) != incarnation:
            return
        mask = 1 << self._bits[engine]
        for head in heads[held:]:
            self._clear(head, mask)
        # The deepest head first, so that the shared shallow heads are the last to be dropped.
        for head in reversed(heads[:held]):
            self._holders[head] = self._holders.pop(head, 0) | mask
        self._drop_excess()

    def record_stored(self, engine: str, incarnation: str, keys: Iterable[int]) -> None:
        """Record a stored event; keys that aren't heads are ignored."""
        if not incarnation or self._incarnations.get(engine) != incarnation:
            return
        mask = 1 << self._bits[engine]
        for key in keys:
            if not key % self._stride:
                self._holders[key] = self._holders.get(key, 0) | mask
        self._drop_excess()

    def record_evicted(self, engine: str, incarnation: str, keys: Iterable[int]) -> None:
        """Record an evicted event; keys that aren't heads are ignored."""
        if not incarnation or self._incarnations.get(engine) != incarnation:
            return
        mask = 1 << self._bits[engine]
        for key in keys:
            self._clear(key, mask)

    def held_heads(self, heads: Sequence[int], engines: Sequence[str]) -> list[int]:
        """Return how many leading heads each engine is expected to hold.

        Args:
            heads: Heads of a prompt, shallowest first.
            engines: Names of the engines asked about.

        Returns:
            One count for each engine, in the order given.
        """
        masks = list(self._masks_by_depth(heads))
        return [self._depth(self._bits.get(engine), masks) for engine in engines]

    def _masks_by_depth(self, heads: Sequence[int]) -> Iterator[int]:
        """Yield, for each depth, the engines that hold every head down to it."""
        mask = self._live_mask
        for head in heads:
            mask &= self._holders.get(head, 0)
            if not mask:
                return
            yield mask

    @staticmethod
    def _depth(bit: int | None, masks: list[int]) -> int:
        """Return the depth down to which ``bit`` is set; the masks only lose bits."""
        if bit is None:
            return 0
        low, high = 0, len(masks)
        while low < high:
            middle = (low + high) // 2
            if masks[middle] >> bit & 1:
                low = middle + 1
            else:
                high = middle
        return low

    def _clear(self, head: int, mask: int) -> None:
        """Remove engines from a head's holders, and drop the head when no holder is left."""
        holders = self._holders.get(head)
        if holders is None:
            return
        remaining = holders & ~mask
        if remaining & self._live_mask:
            self._holders[head] = remaining
        else:
            del self._holders[head]

    def _drop_excess(self) -> None:
        """Drop heads above the maximum: first those of ended incarnations, then the oldest."""
        if len(self._holders) > self._max_heads and self._retired:
            self._sweep()
        while len(self._holders) > self._max_heads:
            del self._holders[next(iter(self._holders))]

    def _allocate_bit(self) -> int:
        """Return a bit that no entry has set."""
        if not self._free and len(self._retired) >= RETIRED_BITS_BEFORE_SWEEP:
            self._sweep()
        if self._free:
            return self._free.pop()
        self._next_bit += 1
        return self._next_bit - 1

    def _sweep(self) -> None:
        """Clear the bits of ended incarnations in every entry, and free them for reuse."""
        kept = ((head, holders & self._live_mask) for head, holders in self._holders.items())
        self._holders = {head: holders for head, holders in kept if holders}
        self._free.extend(self._retired)
        self._retired.clear()
