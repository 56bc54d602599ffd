"""Whether an instance has capacity for one more request."""

from __future__ import annotations

import msgspec


class CapacityNeed(msgspec.Struct, frozen=True):
    """What a request needs at an instance.

    Attributes:
        tokens: Memory in tokens that it takes until its end; 0 for services without prompts.
        urgent: Whether its priority is above the least urgent one of its service.
    """

    tokens: int = 0
    urgent: bool = False


def queue_allowance(slots: int, *, urgent: bool) -> int:
    """Return how many requests beyond its slots an instance may be sent.

    An engine must not idle while load reports are on their way, and requests in its own queue can't
    be sent elsewhere any more. More urgent requests get twice the allowance, so that less urgent
    ones never keep them out.
    """
    return 2 * slots if urgent else slots
