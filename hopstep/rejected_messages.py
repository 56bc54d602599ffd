"""Counts the messages of other nodes that are rejected, and logs them at a bounded rate."""

from __future__ import annotations

from collections import Counter

from hopstep.log_events.membership import NODE_MESSAGE_REJECTED
from hopstep.logs import emit


class RejectedMessages:
    """Logs the first message that is rejected for a reason, and each time their number doubles.

    Nodes that start or stop, and nodes of other releases, may send many of them.
    """

    def __init__(self) -> None:
        """Start without rejected messages."""
        self._counts: Counter[str] = Counter()

    def total(self) -> int:
        """Return the number of rejected messages."""
        return self._counts.total()

    def note(self, reason: str) -> None:
        """Count one message.

        Args:
            reason: One of a bounded number of texts.
        """
        self._counts[reason] += 1
        count = self._counts[reason]
        if count & (count - 1) == 0:
            emit(NODE_MESSAGE_REJECTED, reason=reason, count=count)
