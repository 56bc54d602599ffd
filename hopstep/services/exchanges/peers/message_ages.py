"""Ages in messages between nodes: milliseconds, by the clock of the sending node."""

from __future__ import annotations

import math

from hopstep.ports.node_exchange import RelayAnswer

MILLISECONDS = 1_000
UNKNOWN_AGE_MS = -1
NEVER_MS = -1
"""Time without a store answer, for a node that has never received one, not even indirectly."""


def age_ms(now: float, since: float) -> int:
    """Return an age in whole milliseconds, rounded up."""
    return int((now - since) * MILLISECONDS) + 1


def age_or_unknown(now: float, since: float) -> int:
    """Return an age in whole milliseconds, rounded up; ``UNKNOWN_AGE_MS`` for an infinite one."""
    return age_ms(now, since) if math.isfinite(since) else UNKNOWN_AGE_MS


def silence_ms(now: float, answered_at: float) -> int:
    """Return the milliseconds since the store last answered; ``NEVER_MS`` for never."""
    return age_ms(now, answered_at) if math.isfinite(answered_at) else NEVER_MS


def store_last_answer_at(answer: RelayAnswer, sent_at: float) -> float:
    """Return when the store last answered the sender of an answer, directly or through others.

    Args:
        answer: The answer.
        sent_at: When its query was sent, by this node's clock.
    """
    if answer.store_response_age_ms == NEVER_MS:
        return -float("inf")
    return sent_at - answer.store_response_age_ms / MILLISECONDS
