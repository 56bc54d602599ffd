"""Rechecks of instance limits that were announced long ago: a request shows whether they hold.

An instance may lift its limit while all requests are better served by others; no node would learn
of it then. All times are of the steady clock, in seconds.
"""

from __future__ import annotations

from hopstep.domain.rendezvous import hash_name

RECHECK_AFTER_SECONDS = 2.0
"""Time in seconds without a response that names a limit, after which it may no longer hold."""

RECHECKING_NODES_PER_SECOND = 50.0
"""Nodes that begin to recheck a limit in each second. The result reaches the other nodes half a
second later, so some twenty requests at the most recheck the same limit."""

RECHECK_INTERVAL_SECONDS = 1.0
"""Time in seconds between two rechecks of a node, one request each: a permit comes within that
time, or expires."""

HASH_RANGE = 2.0**64
"""Number of values of ``hash_name``."""


def recheck_from(named_at: float, incarnation: str, node: str, nodes: int) -> float:
    """Return the time from which a node may recheck whether a limit still holds.

    The nodes begin one after the other, in an order that differs for each instance incarnation.

    Args:
        named_at: When a response named the limit last.
        incarnation: The instance incarnation as text.
        node: Name of the node.
        nodes: Number of nodes that may be alive.
    """
    share = hash_name(f"{node} {incarnation}") / HASH_RANGE
    return named_at + RECHECK_AFTER_SECONDS + share * nodes / RECHECKING_NODES_PER_SECOND


class LimitRecheck:
    """One node's rechecks of one limit."""

    def __init__(self) -> None:
        """Start without any recheck."""
        self._wanted_at = -float("inf")
        self._rechecked_at = -float("inf")

    def wants_permit(self, now: float) -> bool:
        """Return whether to ask for a permit now, and if so record it."""
        if now - max(self._wanted_at, self._rechecked_at) < RECHECK_INTERVAL_SECONDS:
            return False
        self._wanted_at = now
        return True

    def may_recheck(self, now: float) -> bool:
        """Return whether a request may be sent to recheck the limit."""
        return now - self._rechecked_at >= RECHECK_INTERVAL_SECONDS

    def note_recheck(self, now: float) -> None:
        """Record that a request is sent to recheck the limit."""
        self._rechecked_at = now
