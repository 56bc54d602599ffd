"""Distribution over priorities of the work that this router sends."""

from __future__ import annotations

HALF_LIFE_SECONDS = 10.0
"""Time in seconds in which the weight of past work halves."""


class PriorityMix:
    """Decayed prompt tokens sent to be computed, by priority.

    Load reports don't distinguish priorities, but engines serve the lower numbers first. The
    share of reported work that goes before a request is assumed to be the same as in the work
    that this router itself sends.
    """

    def __init__(self) -> None:
        """Start without any recorded work."""
        self._tokens: dict[int, float] = {}
        self._updated_at = 0.0

    def record(self, priority: int, prefill_tokens: int, now: float) -> None:
        """Count work that is being sent."""
        decay = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._updated_at = now
        self._tokens = {key: tokens * decay for key, tokens in self._tokens.items()}
        self._tokens[priority] = self._tokens.get(priority, 0.0) + prefill_tokens

    def share_before(self, priority: int) -> float:
        """Return the share of the work that goes before a new request, 1 when unknown."""
        total = sum(self._tokens.values())
        if total <= 0.0:
            return 1.0
        before = sum(tokens for key, tokens in self._tokens.items() if key <= priority)
        return before / total
