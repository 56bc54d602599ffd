"""Ages in messages between nodes: milliseconds, by the clock of the node that tells them."""

from __future__ import annotations

import math

from hopstep.ports.node_exchange import RelayAnswer

MILLISECONDS = 1_000
UNKNOWN_AGE_MS = -1
NEVER_MS = -1
"""Silence of a node that nobody with the store has ever told anything."""


def age_ms(now: float, since: float) -> int:
    """Return an age in whole milliseconds, rounded up."""
    return int((now - since) * MILLISECONDS) + 1


def age_or_unknown(now: float, since: float) -> int:
    """Return an age in whole milliseconds, rounded up; ``UNKNOWN_AGE_MS`` for an infinite one."""
    return age_ms(now, since) if math.isfinite(since) else UNKNOWN_AGE_MS


def silence_ms(now: float, heard_at: float) -> int:
    """Return a time since the store last answered; ``NEVER_MS`` for never."""
    return age_ms(now, heard_at) if math.isfinite(heard_at) else NEVER_MS


def store_heard_at(answer: RelayAnswer, sent_at: float) -> float:
    """Return when the store last answered the node that sent an answer, or those it heard from.

    Args:
        answer: The answer.
        sent_at: When its query was sent, by the own clock.
    """
    if answer.store_response_age_ms == NEVER_MS:
        return -float("inf")
    return sent_at - answer.store_response_age_ms / MILLISECONDS
