"""Whether something may be sent to one life of an instance now, later or never, and why.

Everything that is sent to an instance asks here, at its choice and again right before its first
byte, so that no word of an instance binds one kind of call and not another.
"""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.announced_state import AnnouncedState

NEVER = float("inf")
"""A barrier that doesn't end."""


class Barrier(enum.StrEnum):
    """What keeps something from an instance."""

    UNTRUSTED = "untrusted"
    """Its newest entry in the directory can't be trusted."""

    ENDED = "ended"
    """Another instance answers at its address."""

    DRAINING = "draining"
    """Its entry says that it leaves."""

    LEAVING = "leaving"
    """Its own answers say so."""

    BACKING_OFF = "resting"
    """It has asked this node for rest, or opens again in steps after one."""

    STATE_UNKNOWN = "unheard"
    """This node has just started and hasn't heard yet what the instance takes: it gets one request
    at a time until it answers or another node tells."""

    LIMITED = "limited"
    """It takes only so many requests from all nodes, and this node holds no permit."""


class Purpose(enum.Enum):
    """What would be sent."""

    REQUEST = enum.auto()
    """A request, or a retry, that another instance may serve too."""

    LAST_REQUEST = enum.auto()
    """A request that no other instance may serve."""

    SENDING = enum.auto()
    """A request that was chosen for the instance, right before its first byte leaves."""

    LAST_SENDING = enum.auto()
    """The same, where the instance was chosen although it leaves."""

    ORDER = enum.auto()
    """An order or a report."""

    ORDER_SENDING = enum.auto()
    """The same, with a permit, right before it is sent."""

    CACHE_EVENTS = enum.auto()
    """A read of what the instance keeps."""

    SOURCE = enum.auto()
    """Nothing of this node: another instance brings kept segments from it."""


class Admission(msgspec.Struct, frozen=True):
    """The answer.

    Attributes:
        barrier: What is in the way; None when nothing is.
        until: When that ends; ``NEVER`` when it doesn't, or when only a permit can end it.
    """

    barrier: Barrier | None = None
    until: float = NEVER

    @property
    def is_open(self) -> bool:
        """Whether it may be sent now."""
        return self.barrier is None


OPEN = Admission()

STATE_CHECK_SECONDS = 0.05
"""Between two looks whether a node that has just started has heard of an instance."""

CHOOSING = frozenset({Purpose.REQUEST, Purpose.LAST_REQUEST})
"""Purposes that add one more request to those of this node at the instance."""

PAST_LEAVING = frozenset({Purpose.CACHE_EVENTS, Purpose.LAST_SENDING})
"""Purposes that an instance which leaves still serves. Reads of events cost it nothing."""


WITH_PERMIT = frozenset({Purpose.SENDING, Purpose.LAST_SENDING, Purpose.ORDER_SENDING})
"""Purposes that have their own permit."""


class AskedInstance(msgspec.Struct, frozen=True):
    """What the answer depends on.

    Attributes:
        standing: What this life has said of itself.
        listed: What the directory has against it; None for nothing.
        active: Requests of this node at it.
        told_by: Until then a node that has just started may not have heard what others know.
        last_requests_seconds: For so long after its word a leaving instance takes what no other
            instance may serve.
    """

    announced_state: AnnouncedState
    listed: Barrier | None = None
    active: int = 0
    last_requests_seconds: float = 0.0
    reports_due_by: float = -float("inf")


def admission(asked: AskedInstance, purpose: Purpose, now: float) -> Admission:
    """Return whether something may be sent to an instance.

    Args:
        asked: The instance.
        purpose: What would be sent.
        now: Steady clock, seconds.
    """
    if asked.listed is not None and purpose is not Purpose.CACHE_EVENTS:
        return Admission(asked.listed)
    if _leaves(asked, purpose, now):
        return Admission(Barrier.LEAVING)
    rest_ends_at = _rest_ends_at(asked, purpose)
    if now < rest_ends_at:
        return Admission(Barrier.BACKING_OFF, rest_ends_at)
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


def _leaves(asked: AskedInstance, purpose: Purpose, now: float) -> bool:
    """Return whether an instance leaves too soon for a purpose."""
    since = asked.announced_state.leaving_since
    if since is None or purpose in PAST_LEAVING:
        return False
    if purpose is Purpose.LAST_REQUEST:
        return now >= since + asked.last_requests_seconds
    return True


def _rest_ends_at(asked: AskedInstance, purpose: Purpose) -> float:
    """Return when a rest is over: for one more request, in steps."""
    if purpose in CHOOSING:
        return asked.announced_state.opens_at(asked.active)
    return asked.announced_state.backoff_until


def _is_limited(announced_state: AnnouncedState, purpose: Purpose, now: float) -> bool:
    """Return whether a limit is in the way.

    Cache events aren't read under a limit: each read would count like a request, and what is kept
    is also known from what was sent.
    """
    sends = announced_state.limited_sends
    if sends is None or purpose is Purpose.SOURCE:
        return False
    if purpose is Purpose.CACHE_EVENTS:
        return True
    if purpose in WITH_PERMIT:
        return False
    return sends.free(now) <= 0
