"""Index of the prompt segments that an instance probably has cached; it is only an estimate.

A segment counts as cached only if all segments before it are. Model and salt are part of its key,
so segments of another isolation group or weights version never match.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.request import PromptSegment

DIGEST_BYTES = 8


class SegmentKey(msgspec.Struct, frozen=True, array_like=True):
    """One segment under a salt.

    Attributes:
        digest: 64-bit hash of model, salt and segment.
        tokens: Length of this segment.
    """

    digest: int
    tokens: int


def segment_digest(model: str, salt: str, segment_id: str) -> int:
    """Return the 64-bit hash of a segment under a salt."""
    hashed = hashlib.blake2b(f"{model}\0{salt}\0{segment_id}".encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), "big")


def segment_keys(
    model: str, salt: str, segments: Iterable[PromptSegment]
) -> tuple[SegmentKey, ...]:
    """Return the keys of a prompt's segments under a salt."""
    return tuple(
        SegmentKey(segment_digest(model, salt, segment.segment_id), segment.tokens)
        for segment in segments
    )


class SegmentIndex:
    """Segments of one instance in order of use, least recent first, bounded by its memory.

    It holds the segments that were sent to the instance, including those still being prefilled,
    without those that the instance's cache events report as dropped.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Start empty.

        Args:
            capacity_tokens: Tokens that the instance can cache.
        """
        self._capacity = capacity_tokens
        self._kept: OrderedDict[int, int] = OrderedDict()
        self._read_at: dict[int, float] = {}
        self._tokens = 0

    def __len__(self) -> int:
        """Return the number of segments."""
        return len(self._kept)

    def __contains__(self, digest: int) -> bool:
        """Return whether a segment is cached or being prefilled."""
        return digest in self._kept

    @property
    def used_share(self) -> float:
        """Tokens of all segments as a fraction of what the instance can cache."""
        return self._tokens / max(1, self._capacity)

    def cached_tokens(self, keys: Iterable[SegmentKey]) -> int:
        """Return the tokens of the leading segments that a new prompt would find cached."""
        tokens = 0
        for key in keys:
            if key.digest not in self._kept:
                break
            tokens += key.tokens
        return tokens

    def movable_tokens(self, keys: Iterable[SegmentKey], now: float) -> int:
        """Return the tokens of the leading segments that are prefilled by now.

        Args:
            keys: The prompt.
            now: Steady clock, seconds.
        """
        tokens = 0
        for key in keys:
            if key.digest not in self._kept or self._read_at[key.digest] > now:
                break
            tokens += key.tokens
        return tokens

    def read_between(self, start: float, end: float) -> list[int]:
        """Return the segments whose expected prefill end is in a span of the steady clock."""
        return [digest for digest, at in self._read_at.items() if start <= at < end]

    def read_at(self, digest: int) -> float:
        """Return the expected prefill end of a segment in the index; steady clock, seconds."""
        return self._read_at[digest]

    def record(self, keys: Iterable[SegmentKey], read_at: float = 0.0) -> None:
        """Note that a prompt with these segments was sent to the instance.

        Args:
            keys: The prompt.
            read_at: When the segments that it hadn't cached are prefilled; steady clock, seconds.
        """
        for key in keys:
            known = self._kept.pop(key.digest, None)
            if known is None:
                self._tokens += key.tokens
                self._read_at[key.digest] = read_at
            self._kept[key.digest] = key.tokens
        while self._tokens > self._capacity and self._kept:
            self._forget(next(iter(self._kept)))

    def mark_read(self, keys: Iterable[SegmentKey], now: float) -> None:
        """Note that these segments are prefilled.

        Args:
            keys: The prompt.
            now: Steady clock, seconds.
        """
        for key in keys:
            if self._read_at.get(key.digest, now) > now:
                self._read_at[key.digest] = now

    def drop(self, digests: Iterable[int]) -> None:
        """Remove segments that the instance has dropped from its cache."""
        for digest in digests:
            if digest in self._kept:
                self._forget(digest)

    def clear(self) -> None:
        """Remove all segments: the instance's cache was emptied."""
        self._kept.clear()
        self._read_at.clear()
        self._tokens = 0

    def _forget(self, digest: int) -> None:
        """Remove one segment."""
        self._tokens -= self._kept.pop(digest)
        del self._read_at[digest]
