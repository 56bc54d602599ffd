"""Whether an instance accepts requests, by its own notices. All times: steady clock, in seconds.

Notices are of one incarnation of an instance. A leaving notice holds for that incarnation, whatever
its directory entry says; a backoff lasts until its end, and a later notice never shortens it; a
limit holds until a later response names another one or none.
"""

from __future__ import annotations

from collections.abc import Iterator

from hopstep.domain.instance_limit import NEVER, HeadTimes, InstanceLimit
from hopstep.domain.instance_notices import InstanceNotice, LimitNotice
from hopstep.domain.limits.limited_sends import LimitedSends

OPENING_STEP_SECONDS = 0.25
"""Length of a step after a backoff: a node sends one request at a time in the first step, and twice
as many in each further one. It is long enough for a refusal of the first requests to arrive (some
10 ms within a region, 40 times that where links are slow)."""

MAX_REMEMBERED_INCARNATIONS = 4_096
"""Incarnations whose notices are remembered: enough for a fleet of 10,000 instances of which 40 in
100 shut down while the store can't show it; some 0.5 MB."""


class AnnouncedState:
    """What one incarnation of an instance has announced about itself.

    Attributes:
        leaving_since: When it announced that it is shutting down; None as long as it hasn't.
        backoff_until: End of the backoff that it asked this node for.
        limit: Requests a second that it accepts from all nodes together.
        sends: This node's sends to it under a limit; None as long as it has named none.
    """

    def __init__(self) -> None:
        """Start without any received notice."""
        self.leaving_since: float | None = None
        self.backoff_until = -float("inf")
        self.limit = InstanceLimit()
        self.sends: LimitedSends | None = None

    @property
    def has_announced_leaving(self) -> bool:
        """Whether it has announced that it is shutting down."""
        return self.leaving_since is not None

    def take(
        self, notice: InstanceNotice, now: float, asked_at: float = -float("inf")
    ) -> InstanceNotice:
        """Apply a notice and return the part of it that is new.

        Args:
            notice: Notice in the head of a response.
            now: When the head was read.
            asked_at: The request was sent no earlier than this.
        """
        leaving = notice.leaving and self.note_leaving(now)
        extended = (
            self._take_backoff(now + notice.backoff_seconds) if notice.backoff_seconds else False
        )
        limit_notice = notice.limit
        limits = limit_notice is not None and self.take_limit(
            limit_notice, HeadTimes(asked_at, now, limit_notice.date)
        )
        return InstanceNotice(
            leaving, notice.backoff_seconds * extended, limit_notice if limits else None
        )

    def take_limit(self, limit_notice: LimitNotice, times: HeadTimes) -> bool:
        """Apply a limit notice, and return whether the limit has changed."""
        is_new = self.limit.take(limit_notice, times)
        if self.limit.is_set and self.sends is None:
            self.sends = LimitedSends()
        return is_new

    @property
    def is_limit_known(self) -> bool:
        """Whether any response has shown whether there is a limit."""
        return self.limit.times != NEVER

    @property
    def limited_sends(self) -> LimitedSends | None:
        """This node's sends to it under the current limit; None without a limit."""
        return self.sends if self.limit.is_set else None

    def _take_backoff(self, until: float) -> bool:
        """Extend the backoff; return False when it already ends later."""
        if until <= self.backoff_until:
            return False
        self.backoff_until = until
        return True

    def note_leaving(self, since: float) -> bool:
        """Note a shutdown from the earliest reported time; return whether that is new."""
        is_new = self.leaving_since is None
        if self.leaving_since is None or since < self.leaving_since:
            self.leaving_since = since
        return is_new

    def is_backing_off(self, now: float) -> bool:
        """Return whether it has asked this node for a backoff that isn't over."""
        return now < self.backoff_until

    def admits(self, active: int, now: float) -> bool:
        """Return whether it accepts one more request, leaving notices aside.

        Args:
            active: Requests of this node at the instance.
            now: Steady clock.
        """
        return now >= self.opens_at(active)

    def opens_at(self, active: int) -> float:
        """Return when it accepts one more request; in the past when it does now.

        The steps keep all waiting requests from being sent at once at the end of a backoff.
        """
        return self.backoff_until + active.bit_length() * OPENING_STEP_SECONDS


class AnnouncedStates:
    """Announced states of incarnations, also while their entries are missing from the directory."""

    def __init__(self) -> None:
        """Start without any state."""
        self._states: dict[str, AnnouncedState] = {}

    def __iter__(self) -> Iterator[tuple[str, AnnouncedState]]:
        """Iterate over incarnations with an announced state, in the order of their first notice."""
        return iter(tuple(self._states.items()))

    def of_incarnation(self, incarnation: str) -> AnnouncedState:
        """Return the state that an incarnation has announced; an empty one without any notice."""
        return self._states.get(incarnation) or AnnouncedState()

    def remember(self, incarnation: str, announced_state: AnnouncedState) -> None:
        """Store the state of an incarnation; beyond the bound the oldest one is dropped."""
        self._states[incarnation] = announced_state
        if len(self._states) > MAX_REMEMBERED_INCARNATIONS:
            del self._states[next(iter(self._states))]
