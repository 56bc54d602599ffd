"""What a cache store keeps, as its events tell: late, and with a few missing."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from hopstep.domain.exchanges.request import PromptSegment

PUSH_SECONDS = 2.0
"""A segment that an instance was asked to save isn't saved by another one for so long."""


class StoreEvent(msgspec.Struct, frozen=True):
    """One change of a cache store.

    Attributes:
        salt: Text under which the segment is kept.
        segment_id: The segment.
        tokens: Tokens kept now; 0 when it was dropped.
        model: Its model.
    """

    salt: str
    segment_id: str
    tokens: int
    model: str


class StoreContents:
    """Segments of one cache store, by model, salt and id."""

    def __init__(self) -> None:
        """Start empty and out of reach."""
        self.reachable = False
        self._kept: dict[tuple[str, str, str], int] = {}
        self._pushed: dict[tuple[str, str, str], float] = {}

    def __len__(self) -> int:
        """Return the number of segments."""
        return len(self._kept)

    def clear(self) -> None:
        """Forget everything: the store was emptied, or events were lost."""
        self._kept.clear()
        self._pushed.clear()

    def apply(self, events: Iterable[StoreEvent]) -> None:
        """Take events, oldest first."""
        for event in events:
            key = (event.model, event.salt, event.segment_id)
            if event.tokens > 0:
                self._kept[key] = event.tokens
            else:
                self._kept.pop(key, None)

    def cached_tokens(self, model: str, salt: str, segments: Iterable[PromptSegment]) -> int:
        """Return the tokens of the leading segments that are kept whole."""
        if not self.reachable:
            return 0
        tokens = 0
        for segment in segments:
            if self._kept.get((model, salt, segment.segment_id), 0) <= 0:
                break
            tokens += segment.tokens
        return tokens

    def claim_push(
        self, model: str, salt: str, segments: Iterable[PromptSegment], now: float
    ) -> bool:
        """Return whether an instance should save these segments, and note that it will.

        Args:
            model: Their model.
            salt: Text under which they are kept.
            segments: Shared segments of a prompt.
            now: Steady clock, seconds.
        """
        if not self.reachable:
            return False
        keys = [(model, salt, segment.segment_id) for segment in segments]
        missing = [
            key
            for key in keys
            if key not in self._kept and now - self._pushed.get(key, -PUSH_SECONDS) >= PUSH_SECONDS
        ]
        for key in missing:
            self._pushed[key] = now
        return bool(missing)
