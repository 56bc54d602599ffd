"""The limit that an incarnation of an instance has named last. Times: steady clock, in seconds.

Responses may be read in another order than they were made. A response head was made after its
request was sent and before it was read, and at its date by the instance's clock if it has one. If
that doesn't decide which of two heads is newer, the lower limit applies.
"""

from __future__ import annotations

import msgspec

from hopstep.domain.instance_notices import AnswerKind, LimitNotice

NO_LIMIT = float("inf")


class HeadTimes(msgspec.Struct, frozen=True):
    """When a response head was made, as far as known.

    Attributes:
        after: Not before this time: the request was sent then.
        before: Not after this time: the head was read then.
        date: Date in the head, Unix time by the instance's clock; None without one.
    """

    after: float
    before: float
    date: float | None = None

    def is_later(self, other: HeadTimes) -> bool:
        """Return whether this head was certainly made after another one of the same incarnation."""
        if self.date is not None and other.date is not None and self.date != other.date:
            return self.date > other.date
        return self.after >= other.before

    def joined(self, other: HeadTimes) -> HeadTimes:
        """Return the times of the later one of two heads that name the same limit."""
        if self.is_later(other):
            return self
        if other.is_later(self):
            return other
        return HeadTimes(max(self.after, other.after), max(self.before, other.before), self.date)


NEVER = HeadTimes(-float("inf"), -float("inf"))


class InstanceLimit:
    """The limit that applies to one incarnation.

    Attributes:
        per_second: Requests a second from all nodes together; ``NO_LIMIT`` for none.
        times: When the latest head that named this limit was made.
    """

    def __init__(self) -> None:
        """Start without any received head, and so without a limit."""
        self.per_second = NO_LIMIT
        self.times = NEVER
        self._named_by = {AnswerKind.REQUEST}

    @property
    def is_set(self) -> bool:
        """Whether there is a limit."""
        return self.per_second != NO_LIMIT

    def take(self, notice: LimitNotice, times: HeadTimes) -> bool:
        """Apply the limit notice of a head, and return whether the limit has changed.

        A response without a limit lifts it only if responses of its kind have named limits.
        """
        if notice.per_second is not None:
            self._named_by.add(notice.kind)
        elif notice.kind not in self._named_by:
            return False
        named = NO_LIMIT if notice.per_second is None else notice.per_second
        if named == self.per_second:
            self.times = times.joined(self.times)
            return False
        if self.times.is_later(times):
            return False
        if named > self.per_second and not times.is_later(self.times):
            return False
        self.per_second, self.times = named, times
        return True
