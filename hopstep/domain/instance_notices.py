"""What an instance says of itself in the head of an answer: that it leaves, or wants rest."""

from __future__ import annotations

from collections.abc import Callable

import msgspec


class InstanceNotice(msgspec.Struct, frozen=True):
    """What the head of one answer says of the instance that gave it.

    Attributes:
        leaving: Whether the instance is about to leave and wants nothing new.
        rest_seconds: For so long it wants nothing from this node; 0 for no such wish.
    """

    leaving: bool = False
    rest_seconds: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the answer says nothing of the instance."""
        return not self.leaving and not self.rest_seconds


NoticeListener = Callable[[InstanceNotice], None]
"""Told what an answer says of its instance, as soon as the answer's head is read."""


def ignore_notice(_notice: InstanceNotice) -> None:
    """Take no notice."""
