"""What an instance says of itself in the head of an answer: leaving, rest, a limit."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec


class AnswerKind(enum.Enum):
    """What an answer is to. Whether all kinds of answers name a limit isn't known beforehand."""

    REQUEST = enum.auto()
    """To a request, with its id: it names a limit as long as there is one."""

    REFUSAL = enum.auto()
    """A refusal without the request's id."""

    CONTROL = enum.auto()
    """To a report or an order."""

    CACHE_EVENTS = enum.auto()
    """To a read of cache events."""


class LimitNotice(msgspec.Struct, frozen=True):
    """What the head of one answer says of the instance's limit.

    Attributes:
        per_second: Requests a second that it takes from all nodes together; None when the answer
            names no limit, so that there is none any more.
        date: Unix time at which the head was made, by the instance's clock; None when not told.
        kind: What the answer is to.
    """

    per_second: float | None = None
    date: float | None = None
    kind: AnswerKind = AnswerKind.REQUEST


class InstanceNotice(msgspec.Struct, frozen=True):
    """What the head of one answer says of the instance that gave it.

    Attributes:
        leaving: Whether the instance is about to leave and wants nothing new.
        rest_seconds: For so long it wants nothing from this node; 0 for no such wish.
        limit: What it says of its limit; None when the answer tells nothing of it either way.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0
    limit: LimitNotice | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the answer says nothing of the instance."""
        return not self.leaving and not self.backoff_seconds and self.limit is None


NoticeListener = Callable[[InstanceNotice], None]
"""Told what an answer says of its instance, as soon as the answer's head is read."""


def ignore_notice(_notice: InstanceNotice) -> None:
    """Take no notice."""
