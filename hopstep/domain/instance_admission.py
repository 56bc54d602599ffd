"""Whether something may be sent to an incarnation of an instance now, later or never, and why.

This is checked for everything that is sent to an instance, at the choice of the instance and again
right before the first byte, so that an instance's notices apply to all kinds of calls.
"""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.announced_state import AnnouncedState

NEVER = float("inf")
"""End of a barrier that doesn't end by itself."""

LAST_SENDS_SHARE = 0.75
"""Fraction of the drain bound during which the first byte of a request may be sent to an instance
that is shutting down, where no other may serve it. The rest is left for transmission."""


class Barrier(enum.StrEnum):
    """Reason why something may not be sent to an instance."""

    UNTRUSTED = "untrusted"
    """Its newest entry in the directory can't be trusted."""

    ENDED = "ended"
    """It has terminated, or another instance answers at its address."""

    DRAINING = "draining"
    """Its directory entry says that it is about to shut down."""

    LEAVING = "leaving"
    """Its own notices say that it is about to shut down."""

    BACKING_OFF = "resting"
    """It has asked this node to back off, or accepts requests in steps after a backoff."""

    STATE_UNKNOWN = "unheard"
    """This node has just started and doesn't know yet whether the instance has a limit: it gets one
    request at a time until it answers or another node reports."""

    LIMITED = "limited"
    """It limits the requests from all nodes, and this node has no free permit."""


class Purpose(enum.Enum):
    """Kind of call that would be sent."""

    REQUEST = enum.auto()
    """A request, or a retry, that another instance may serve too."""

    LAST_REQUEST = enum.auto()
    """A request that no other instance may serve."""

    RESUME = enum.auto()
    """A stream that has begun, and that no other instance of its software version may go on with.
    """

    SENDING = enum.auto()
    """A request that was chosen for the instance, right before its first byte leaves."""

    LAST_SENDING = enum.auto()
    """The same, where the instance was chosen although it is shutting down."""

    RESUME_SENDING = enum.auto()
    """The same for a stream that has begun."""

    ORDER = enum.auto()
    """An order or a report."""

    ORDER_SENDING = enum.auto()
    """An order or a report with a permit, right before it is sent."""

    CACHE_EVENTS = enum.auto()
    """A read of the instance's cache events."""

    SOURCE = enum.auto()
    """Nothing by this node: another instance moves cached segments from it."""


class Admission(msgspec.Struct, frozen=True):
    """Result of the check.

    Attributes:
        barrier: Why it may not be sent; None when it may.
        until: When the barrier ends; ``NEVER`` when it doesn't, or when only a permit can end it.
    """

    barrier: Barrier | None = None
    until: float = NEVER

    @property
    def is_open(self) -> bool:
        """Whether it may be sent now."""
        return self.barrier is None


OPEN = Admission()

STATE_CHECK_SECONDS = 0.05
"""Interval at which a node that has just started checks whether an instance's limit is known."""

CHOOSING = frozenset({Purpose.REQUEST, Purpose.LAST_REQUEST, Purpose.RESUME})
"""Purposes that add a request to those of this node at the instance."""

FIRST_OF_SHUTDOWN = frozenset(
    {Purpose.LAST_REQUEST, Purpose.LAST_SENDING, Purpose.RESUME, Purpose.RESUME_SENDING}
)
"""Purposes that are allowed for a limited time after an instance has announced its shutdown."""

FIRST_OF_DRAINING = frozenset({Purpose.RESUME, Purpose.RESUME_SENDING})
"""Those of them that are allowed also after its entry was acknowledged as draining."""

WITH_PERMIT = frozenset(
    {Purpose.SENDING, Purpose.LAST_SENDING, Purpose.RESUME_SENDING, Purpose.ORDER_SENDING}
)
"""Purposes for which a permit is held already."""


class AskedInstance(msgspec.Struct, frozen=True):
    """Input to the check.

    Attributes:
        announced_state: What this incarnation has announced.
        listed: Barrier that follows from its directory entry; None for none.
        active: Requests of this node at it.
        reports_due_by: Until then a node that has just started may lack the others' reports.
        last_requests_seconds: Time after its leaving notice in which it still accepts requests
            that no other instance may serve; for a stream that has begun also after its draining.
            For the sending of such a request it is the time in which that may begin.
        draining_since: When its entry was acknowledged as draining, or earlier.
    """

    announced_state: AnnouncedState
    listed: Barrier | None = None
    active: int = 0
    last_requests_seconds: float = 0.0
    reports_due_by: float = -float("inf")
    draining_since: float = -float("inf")


def admission(asked: AskedInstance, purpose: Purpose, now: float) -> Admission:
    """Return whether something may be sent to an instance.

    Args:
        asked: The instance.
        purpose: Kind of call that would be sent.
        now: Steady clock, seconds.
    """
    if asked.listed is not None and not _passes_listed(asked, purpose, now):
        return Admission(asked.listed)
    if _is_leaving(asked, purpose, now):
        return Admission(Barrier.LEAVING)
    backoff_ends_at = _backoff_ends_at(asked, purpose)
    if now < backoff_ends_at:
        return Admission(Barrier.BACKING_OFF, backoff_ends_at)
    if _is_limited(asked.announced_state, purpose, now):
        return Admission(Barrier.LIMITED)
    if (
        purpose in CHOOSING
        and now < asked.reports_due_by
        and asked.active
        and not asked.announced_state.is_limit_known
    ):
        return Admission(Barrier.STATE_UNKNOWN, now + STATE_CHECK_SECONDS)
    return OPEN


def _passes_listed(asked: AskedInstance, purpose: Purpose, now: float) -> bool:
    """Return whether a purpose is allowed despite the barrier of the directory entry."""
    if purpose is Purpose.CACHE_EVENTS:
        return True
    if asked.listed is not Barrier.DRAINING:
        return False
    if purpose not in FIRST_OF_DRAINING:
        return False
    return now < asked.draining_since + asked.last_requests_seconds


def _is_leaving(asked: AskedInstance, purpose: Purpose, now: float) -> bool:
    """Return whether a purpose is ruled out because the instance is shutting down."""
    since = asked.announced_state.leaving_since
    if since is None or purpose is Purpose.CACHE_EVENTS:
        # Reads of events cost the instance nothing.
        return False
    if purpose in FIRST_OF_SHUTDOWN:
        return now >= since + asked.last_requests_seconds
    return True


def _backoff_ends_at(asked: AskedInstance, purpose: Purpose) -> float:
    """Return when a backoff is over; for one more request, by the steps after it."""
    if purpose in CHOOSING:
        return asked.announced_state.opens_at(asked.active)
    return asked.announced_state.backoff_until


def _is_limited(announced_state: AnnouncedState, purpose: Purpose, now: float) -> bool:
    """Return whether the instance's limit forbids a call.

    Cache events aren't read under a limit: each read would count like a request, and cached
    segments are also known from the requests that were sent.
    """
    sends = announced_state.limited_sends
    if sends is None or purpose is Purpose.SOURCE:
        return False
    if purpose is Purpose.CACHE_EVENTS:
        return True
    if purpose in WITH_PERMIT:
        return False
    return sends.free(now) <= 0
