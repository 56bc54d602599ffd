"""Port to listeners for bytes of instances that belong to no request in progress."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec


class SurplusPlace(enum.StrEnum):
    """Where on a kept connection surplus bytes were found."""

    BEHIND_ANSWER = "behind_answer"
    """Received together with a complete answer, behind its end."""

    BEFORE_SEND = "before_send"
    """Unread on the socket before the next send."""

    IN_PLACE_OF_ANSWER = "in_place_of_answer"
    """A head with the id of another request, or with an id that no answer to the call has."""


class SurplusBytes(msgspec.Struct, frozen=True):
    """Surplus bytes that were found on one connection.

    Attributes:
        address: ``ip:port`` of the instance.
        place: Where they were found.
        connection: Number of the connection in this process.
        sends: Number of calls that were sent over the connection before.
        size: Bytes that were received so far; 0 when that isn't known.
    """

    address: str
    place: SurplusPlace
    connection: int
    sends: int
    size: int


SurplusListener = Callable[[SurplusBytes], None]


def ignore_surplus(_found: SurplusBytes) -> None:
    """Do nothing."""
