"""What one life of an instance has said last of its limit. Times are of the steady clock, seconds.

Answers may be read in another order than they were made. Of each head it is known that it was made
after its request was sent and before it was read, and by the instance's own clock when it names a
date. Where that doesn't tell which of two heads is the newer one, the lower limit counts.
"""

from __future__ import annotations

import msgspec

from hopstep.domain.instance_notices import AnswerKind, LimitNotice

NO_LIMIT = float("inf")


class HeadTimes(msgspec.Struct, frozen=True):
    """When a head was made, as far as that is known.

    Attributes:
        after: The request had been sent by then.
        before: The head had been read by then.
        date: By the instance's clock, Unix time; None when not told.
    """

    after: float
    before: float
    date: float | None = None

    def is_later(self, other: HeadTimes) -> bool:
        """Return whether this head was surely made after another one of the same life."""
        if self.date is not None and other.date is not None and self.date != other.date:
            return self.date > other.date
        return self.after >= other.before

    def joined(self, other: HeadTimes) -> HeadTimes:
        """Return the times of the later one of two heads that say the same."""
        if self.is_later(other):
            return self
        if other.is_later(self):
            return other
        return HeadTimes(max(self.after, other.after), max(self.before, other.before), self.date)


NEVER = HeadTimes(-float("inf"), -float("inf"))


class InstanceLimit:
    """The limit that holds for one life.

    Attributes:
        per_second: Requests a second from all nodes together; ``NO_LIMIT`` for none.
        times: When the head was made that said so last.
    """

    def __init__(self) -> None:
        """Have heard nothing, so that there is no limit."""
        self.per_second = NO_LIMIT
        self.times = NEVER
        self._named_by = {AnswerKind.REQUEST}

    @property
    def is_set(self) -> bool:
        """Whether there is a limit."""
        return self.per_second != NO_LIMIT

    def take(self, word: LimitNotice, times: HeadTimes) -> bool:
        """Take what a head says, and return whether another limit holds now.

        An answer that names no limit lifts one only if answers of its kind have named some.
        """
        if word.per_second is not None:
            self._named_by.add(word.kind)
        elif word.kind not in self._named_by:
            return False
        said = NO_LIMIT if word.per_second is None else word.per_second
        if said == self.per_second:
            self.times = times.joined(self.times)
            return False
        if self.times.is_later(times):
            return False
        if said > self.per_second and not times.is_later(self.times):
            return False
        self.per_second, self.times = said, times
        return True
