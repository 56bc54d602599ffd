"""When a limit that was heard long ago is asked about: a request is sent to see whether it holds.

An instance may lift its limit while all requests are better served by others; nobody would hear
of it then. All times are of the steady clock, in seconds.
"""

from __future__ import annotations

from hopstep.domain.rendezvous import hash_name

DOUBT_SECONDS = 2.0
"""A limit that no answer has named for so long may be over."""

NODES_PER_SECOND = 50.0
"""So many nodes come to doubt a limit in a second. What one of them hears the others know half a
second later, so that some twenty requests at the most ask the same."""

ASKING_SECONDS = 1.0
"""A node asks for one request at a time, and again after so long: a permit comes within that time,
or expires."""

HASHES = 2.0**64


def recheck_from(heard_at: float, life: str, node: str, nodes: int) -> float:
    """Return from when on a node asks whether a limit still holds.

    Each node has a place of its own in the order in which nodes come to doubt the limit of a life.

    Args:
        heard_at: When an answer named the limit last.
        life: The life, as ``str(InstanceLife)``.
        node: Name of the node.
        nodes: How many nodes may be alive.
    """
    share = hash_name(f"{node} {life}") / HASHES
    return heard_at + DOUBT_SECONDS + share * nodes / NODES_PER_SECOND


class LimitRecheck:
    """One node's doubt of one limit."""

    def __init__(self) -> None:
        """Have asked nothing."""
        self._wanted_at = -float("inf")
        self._asked_at = -float("inf")

    def wants_permit(self, now: float) -> bool:
        """Return whether a permit is asked for now, and note it."""
        if now - max(self._wanted_at, self._asked_at) < ASKING_SECONDS:
            return False
        self._wanted_at = now
        return True

    def may_recheck(self, now: float) -> bool:
        """Return whether a request may be sent to ask."""
        return now - self._asked_at >= ASKING_SECONDS

    def note_recheck(self, now: float) -> None:
        """Note that a request is sent to ask."""
        self._asked_at = now
