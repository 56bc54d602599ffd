"""How long a node may rely on other nodes for the store's contents, within the operators' bounds.

Age and silence are different. The age of a node's view bounds the changes that it can have missed;
it grows while a watch waits. Silence is the time since the store last answered the node that reads
it: while it answers, a waiting watch returns any change at once. So silence shows a lost connection
to the store long before the age does.
"""

from __future__ import annotations

import msgspec

MAX_ANSWER_INTERVAL_SECONDS = 0.9
"""Longest interval of a reader's calls to the store, also where operators allow a longer one, since
the age of keys grows with it."""

ANSWER_INTERVAL_SHARE = 0.3
"""Share of the bound. A view grows twice as old as this interval, as its age counts from the
sending of a call, and a hop of 0.2 s to another node adds to that; all must stay below the sending
age."""

SILENCE_SHARE = 0.4
"""Share of the bound for which a reader may be without an answer, besides the slack of one answer.
More than the interval: a node that has just replaced a reader has heard nothing for a while."""

ANSWER_SLACK_SECONDS = 0.4
"""Seconds that an answer may be overdue: a store takes this long when it is a hundred times slower
than its usual 4 ms."""

SENDING_AGE_SHARE = 0.75
"""Share of the bound up to which a view may be old by which a request is sent to an instance. The
remainder is for the way to the instance."""

OWN_READING_SHARE = 0.8
"""Share of the bound after which a node no longer relies on others: the remainder is enough for a
call to the store."""


class FreshnessLimits(msgspec.Struct, frozen=True):
    """Limits on the time without answers, in seconds.

    Attributes:
        answer_interval: Longest time between two answers of the store to a node that reads it.
        silence: A reader without an answer for longer than this has lost the store.
        own_reading: A node without newer reports of others for longer reads the store itself.
        sending_age: Age of the oldest view by which a request may be sent to an instance.
    """

    answer_interval: float
    silence: float
    own_reading: float
    sending_age: float


def freshness_limits(bound_seconds: float) -> FreshnessLimits:
    """Return the limits under which every node knows every change in time.

    Args:
        bound_seconds: Time from the acknowledgement of a change until every node must apply it.
    """
    answer_interval = min(MAX_ANSWER_INTERVAL_SECONDS, ANSWER_INTERVAL_SHARE * bound_seconds)
    return FreshnessLimits(
        answer_interval,
        min(MAX_ANSWER_INTERVAL_SECONDS, SILENCE_SHARE * bound_seconds) + ANSWER_SLACK_SECONDS,
        OWN_READING_SHARE * bound_seconds,
        SENDING_AGE_SHARE * bound_seconds,
    )
