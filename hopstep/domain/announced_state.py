"""Whether an instance wants requests, by its own word. All times are of the steady clock, seconds.

The word is of one life of an instance. That it leaves stays true for that life, whatever an entry
says that is read before or after; a rest runs to its end, and a later one never shortens it; a
limit holds until a later answer names another one or none.
"""

from __future__ import annotations

from collections.abc import Iterator

from hopstep.domain.instance_limit import NEVER, HeadTimes, InstanceLimit
from hopstep.domain.instance_notices import InstanceNotice, LimitNotice
from hopstep.domain.limits.limited_sends import LimitedSends

OPENING_STEP_SECONDS = 0.25
"""After a rest a node sends one request at a time, and twice as many after each such step: long
enough for a refusal of the first ones to come back (some 10 ms within a region, 40 times that where
links are slow)."""

MAX_REMEMBERED_INCARNATIONS = 4_096
"""Lives whose word is remembered: a fleet of 10,000 instances, 40 in 100 of which leave while the
store can't say so; some 0.5 MB."""


class AnnouncedState:
    """What one life of an instance has said of itself.

    Attributes:
        leaving_since: When it said that it leaves; None as long as it hasn't.
        resting_until: End of the rest that it asked this node for.
        limit: Requests a second that it takes from all nodes together.
        sends: What this node sends it under a limit; None as long as it has named none.
    """

    def __init__(self) -> None:
        """Have heard nothing."""
        self.leaving_since: float | None = None
        self.backoff_until = -float("inf")
        self.limit = InstanceLimit()
        self.sends: LimitedSends | None = None

    @property
    def has_announced_leaving(self) -> bool:
        """Whether it has said that it leaves."""
        return self.leaving_since is not None

    def take(
        self, notice: InstanceNotice, now: float, asked_at: float = -float("inf")
    ) -> InstanceNotice:
        """Take a notice and return the part of it that is news.

        Args:
            notice: What the head of an answer says.
            now: When the head was read.
            asked_at: The request had not been sent before then.
        """
        leaving = notice.leaving and self.note_leaving(now)
        rest = self._take_rest(now + notice.backoff_seconds) if notice.backoff_seconds else False
        word = notice.limit
        limits = word is not None and self.take_limit(word, HeadTimes(asked_at, now, word.date))
        return InstanceNotice(leaving, notice.backoff_seconds * rest, word if limits else None)

    def take_limit(self, word: LimitNotice, times: HeadTimes) -> bool:
        """Take what a head says of the limit, and return whether another one holds now."""
        is_news = self.limit.take(word, times)
        if self.limit.is_set and self.sends is None:
            self.sends = LimitedSends()
        return is_news

    @property
    def is_limit_known(self) -> bool:
        """Whether any answer has told whether there is a limit."""
        return self.limit.times != NEVER

    @property
    def limited_sends(self) -> LimitedSends | None:
        """What this node sends it under the limit that holds now; None without a limit."""
        return self.sends if self.limit.is_set else None

    def _take_rest(self, until: float) -> bool:
        """Take the end of a rest; return False when a later one is known."""
        if until <= self.backoff_until:
            return False
        self.backoff_until = until
        return True

    def note_leaving(self, since: float) -> bool:
        """Note that it leaves, from the earliest time told; return whether that is news."""
        is_news = self.leaving_since is None
        if self.leaving_since is None or since < self.leaving_since:
            self.leaving_since = since
        return is_news

    def is_backing_off(self, now: float) -> bool:
        """Return whether it has asked this node for rest that isn't over."""
        return now < self.backoff_until

    def admits(self, active: int, now: float) -> bool:
        """Return whether it wants one more request, apart from leaving.

        Args:
            active: Requests of this node at the instance.
            now: Steady clock.
        """
        return now >= self.opens_at(active)

    def opens_at(self, active: int) -> float:
        """Return when it admits one more request; in the past when it does now.

        Without the steps all that had waited for the end of a rest would come at once.
        """
        return self.backoff_until + active.bit_length() * OPENING_STEP_SECONDS


class AnnouncedStates:
    """Remembers what lives have said, also when their entries go and come back."""

    def __init__(self) -> None:
        """Remember nothing."""
        self._states: dict[str, AnnouncedState] = {}

    def __iter__(self) -> Iterator[tuple[str, AnnouncedState]]:
        """Iterate over the lives that have said something, the longest known first."""
        return iter(tuple(self._states.items()))

    def of_incarnation(self, incarnation: str) -> AnnouncedState:
        """Return what a life has said; of one that has said nothing, an empty standing."""
        return self._states.get(incarnation) or AnnouncedState()

    def remember(self, incarnation: str, announced_state: AnnouncedState) -> None:
        """Keep what a life has said; beyond the bound the longest known is forgotten."""
        self._states[incarnation] = announced_state
        if len(self._states) > MAX_REMEMBERED_INCARNATIONS:
            del self._states[next(iter(self._states))]
