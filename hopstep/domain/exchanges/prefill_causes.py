"""Why shared prompt segments are prefilled although another prompt had them before.

The load that this addresses: long prompts with equal beginnings, of which engines prefill far more
than the distinct ones. What helps depends on the cause.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import msgspec

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.request import Prompt
from hopstep.domain.exchanges.segments import SegmentKey, segment_digest
from hopstep.domain.exchanges.selection import Candidate

MAX_SEGMENTS = 4_096
"""Segments that are remembered, the latest."""

MIN_TOKENS = 64
"""Fewer shared tokens aren't counted."""


class PrefillCause(enum.StrEnum):
    """Why a shared segment is prefilled."""

    FIRST = "first"
    """This node hasn't seen it before, and knows no engine that has it."""

    ELSEWHERE = "elsewhere"
    """Other engines have it, but were loaded more than it costs to prefill it again."""

    WEIGHTS_CHANGED = "weights_changed"
    """It was cached under another weights version."""

    SHARING_CHANGED = "sharing_changed"
    """It was cached for another group of callers, which its callers don't belong to any more."""

    EVICTED = "evicted"
    """No engine has it any more."""


class SharedPrefill(msgspec.Struct, frozen=True):
    """Shared tokens of one prompt that are prefilled.

    Attributes:
        cause: Why.
        tokens: Number of tokens.
    """

    cause: PrefillCause
    tokens: int


class _SentSegment(msgspec.Struct, frozen=True):
    """What a segment was last sent as.

    Attributes:
        digest: Its key's digest.
        group: Group of callers that shared it.
    """

    digest: int
    group: str


class PrefillCauses:
    """Finds causes by the segments that this node has sent, and by its index of caches."""

    def __init__(self) -> None:
        """Start without known segments."""
        self._seen: OrderedDict[int, _SentSegment] = OrderedDict()

    def note_sent(
        self,
        prompt: Prompt,
        isolated: str,
        group: str,
        candidate: Candidate,
        views: Iterable[InstanceView],
    ) -> SharedPrefill | None:
        """Return what an engine prefills of a prompt's shared segments; None for nothing.

        Args:
            prompt: The prompt.
            isolated: Name of its tenant if that is isolated; else empty.
            group: Group of callers that share its segments.
            candidate: The engine that it is sent to.
            views: The service's engines.
        """
        shared = candidate.keys[:-1]
        missing = _first_missing(shared, prompt.prompt_tokens - candidate.uncached_tokens)
        found = None
        if missing is not None:
            others = (view for view in views if view is not candidate.view)
            name = segment_digest(prompt.model, isolated, prompt.segments[missing].segment_id)
            cause = self._cause(name, group, shared[missing], others)
            cached = prompt.prompt_tokens - candidate.uncached_tokens
            tokens = sum(key.tokens for key in shared) - cached
            found = SharedPrefill(cause, tokens) if tokens >= MIN_TOKENS else None
        self._remember(prompt, isolated, group, shared)
        return found

    def _cause(
        self, name: int, group: str, key: SegmentKey, others: Iterable[InstanceView]
    ) -> PrefillCause:
        """Return why a segment is prefilled."""
        if any(key.digest in view.segments for view in others):
            return PrefillCause.ELSEWHERE
        known = self._seen.get(name)
        if known is None:
            return PrefillCause.FIRST
        if known.digest == key.digest:
            return PrefillCause.EVICTED
        if known.group != group:
            return PrefillCause.SHARING_CHANGED
        return PrefillCause.WEIGHTS_CHANGED

    def _remember(
        self, prompt: Prompt, isolated: str, group: str, shared: Sequence[SegmentKey]
    ) -> None:
        """Remember under which weights, and for whom, the shared segments were sent last."""
        for segment, key in zip(prompt.segments, shared, strict=False):
            name = segment_digest(prompt.model, isolated, segment.segment_id)
            self._seen[name] = _SentSegment(key.digest, group)
            self._seen.move_to_end(name)
        while len(self._seen) > MAX_SEGMENTS:
            self._seen.popitem(last=False)


def _first_missing(shared: Sequence[SegmentKey], cached_tokens: int) -> int | None:
    """Return the position of the first segment that isn't cached; None when all are."""
    end = 0
    for position, key in enumerate(shared):
        end += key.tokens
        if end > cached_tokens:
            return position
    return None
