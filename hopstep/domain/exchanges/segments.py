"""Which prompt segments an instance probably keeps: hints, never truth.

A segment counts as kept only behind all segments before it, so keys are chained hashes. The salt
goes into the chain: segments of another isolation group or weights version never match.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.request import PromptSegment

DIGEST_BYTES = 8


class SegmentKey(msgspec.Struct, frozen=True, array_like=True):
    """One segment behind all those before it.

    Attributes:
        digest: Chained 64-bit hash.
        tokens: Length of this segment.
    """

    digest: int
    tokens: int


def chain_keys(salt: str, segments: Iterable[PromptSegment]) -> tuple[SegmentKey, ...]:
    """Return the keys of a prompt's segments under a salt."""
    keys: list[SegmentKey] = []
    previous = salt.encode()
    for segment in segments:
        hashed = hashlib.blake2b(previous, digest_size=DIGEST_BYTES)
        hashed.update(segment.segment_id.encode())
        previous = hashed.digest()
        keys.append(SegmentKey(int.from_bytes(previous, "big"), segment.tokens))
    return tuple(keys)


class SegmentPicture:
    """Segments of one instance by least recent use, bounded by its memory."""

    def __init__(self, capacity_tokens: int) -> None:
        """Start empty.

        Args:
            capacity_tokens: Tokens that the instance is expected to keep.
        """
        self._capacity = capacity_tokens
        self._kept: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        """Return the number of segments."""
        return len(self._kept)

    def cached_tokens(self, keys: Iterable[SegmentKey]) -> int:
        """Return the tokens of the leading segments that are kept."""
        tokens = 0
        for key in keys:
            if key.digest not in self._kept:
                break
            tokens += key.tokens
        return tokens

    def record(self, keys: Iterable[SegmentKey]) -> None:
        """Note that a prompt with these segments was sent to the instance."""
        for key in keys:
            known = self._kept.pop(key.digest, None)
            if known is None:
                self._tokens += key.tokens
            self._kept[key.digest] = key.tokens
        while self._tokens > self._capacity and self._kept:
            _, tokens = self._kept.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget everything: the instance was emptied."""
        self._kept.clear()
        self._tokens = 0
