"""How long a node may rely on others for what the store says, by the operators' bounds.

Age and silence differ. The age of what a node knows proves what it can't have missed, and grows
while a watch waits. Silence counts from the last answer of the store to whoever read it: while its
answers come, a waiting watch would have told a change at once. So silence tells that a way to the
store is lost long before the age does.
"""

from __future__ import annotations

import msgspec

MAX_ANSWER_INTERVAL_SECONDS = 0.9
"""A reader asks the store so often, also where operators allow much more: keys age by it."""

ANSWER_INTERVAL_SHARE = 0.4
"""Of the bound. The rest is for noticing a loss, and for two hops of 0.2 s between nodes."""

ANSWER_SLACK_SECONDS = 0.4
"""For an answer that is due: a store that is a hundred times slower than its 4 ms takes so long."""

OWN_READING_SHARE = 0.8
"""Of the bound, after which a node trusts no other: the rest is enough for a call to the store."""


class FreshnessLimits(msgspec.Struct, frozen=True):
    """Limits on silence, in seconds.

    Attributes:
        answer_interval: Longest time between two answers of the store at a node that reads it.
        silence: A reader that was answered nothing for longer has lost the store.
        own_reading: A node that others have told nothing newer reads the store itself.
    """

    answer_interval: float
    silence: float
    own_reading: float


def freshness_limits(bound_seconds: float) -> FreshnessLimits:
    """Return the limits under which every change is known in time.

    Args:
        bound_seconds: From a change's acknowledgement until every node must act by it.
    """
    answer_interval = min(MAX_ANSWER_INTERVAL_SECONDS, ANSWER_INTERVAL_SHARE * bound_seconds)
    return FreshnessLimits(
        answer_interval,
        answer_interval + ANSWER_SLACK_SECONDS,
        OWN_READING_SHARE * bound_seconds,
    )
