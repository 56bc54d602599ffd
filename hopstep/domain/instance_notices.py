"""Notices in the head of an instance's response: shutting down, backoff, a limit."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec


class AnswerKind(enum.Enum):
    """What a response answers. It isn't known in advance which kinds of responses name a limit."""

    REQUEST = enum.auto()
    """A request, with its id: such a response names a limit as long as there is one."""

    REFUSAL = enum.auto()
    """A request, by a refusal without the request's id."""

    CONTROL = enum.auto()
    """A report or an order."""

    CACHE_EVENTS = enum.auto()
    """A read of cache events."""


class LimitNotice(msgspec.Struct, frozen=True):
    """What the head of one response announces about the instance's limit.

    Attributes:
        per_second: Requests a second that it accepts from all nodes together; None when the
            response names no limit, so that there is none any more.
        date: Unix time at which the head was made, by the instance's clock; None without a date.
        kind: What the response answers.
    """

    per_second: float | None = None
    date: float | None = None
    kind: AnswerKind = AnswerKind.REQUEST


class InstanceNotice(msgspec.Struct, frozen=True):
    """What the head of one response announces about the instance that sent it.

    Attributes:
        leaving: Whether the instance is about to shut down and accepts nothing new.
        backoff_seconds: Time for which this node should send it nothing; 0 when not asked for.
        limit: The limit notice; None when the response doesn't show whether there is a limit.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0
    limit: LimitNotice | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the response announces nothing about the instance."""
        return not self.leaving and not self.backoff_seconds and self.limit is None


NoticeListener = Callable[[InstanceNotice], None]
"""Called with the notice of a response as soon as the response's head is read."""


def ignore_notice(_notice: InstanceNotice) -> None:
    """Ignore a notice."""
