"""Lets a request be sent only by a view of the instances that is recent enough.

An instance that leaves must get no request later than the drain bound after the store has taken its
entry. A request is chosen and sent by this node's view, whose age therefore counts against the
bound: what is left of it is for the way to the instance. A view that has grown too old is read anew
before the request is sent.

If the store doesn't answer although this node runs on time, the store or the way to it is at fault:
requests go on by the view that there is. If this node itself is late it can't tell, and refuses.
"""

from __future__ import annotations

import math
from typing import NoReturn

import trio

from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.log_events.configuration import VIEW_NOT_RENEWED
from hopstep.logs import emit
from hopstep.services.exchanges.directory.current_view import CurrentView
from hopstep.services.exchanges.directory.directory_follower import DirectoryFollower
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.pause_watch import PauseWatch

READING_SECONDS = 0.5
"""Time within which a store that works has answered, also one that is a hundred times slower than
its usual 4 ms."""

UNANSWERED_SECONDS = 1.0
"""Time for which an unanswered reading shows that the store is away, or that this node is late."""

LATE_SECONDS = 0.1
"""Delay of the event loop from which this node itself may be why no answer was seen."""

NO_AGE = -1.0


class SendingView:
    """This node's view of the instances, as requests are sent by it."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        view: CurrentView,
        follower: DirectoryFollower,
        pauses: PauseWatch,
        max_age_seconds: float,
    ) -> None:
        """Start without a reading. Must be called inside the event loop.

        Args:
            knowledge: The view.
            view: Reads the store when the view is too old.
            follower: Knows whether the store has been lost.
            pauses: Detects delays of the node's own event loop.
            max_age_seconds: Age of the oldest view by which a request may be sent.
        """
        self._knowledge = knowledge
        self._view = view
        self._follower = follower
        self._pauses = pauses
        self._max_age = max_age_seconds
        self._unanswered_until = -float("inf")
        self._late_until = -float("inf")
        self._last_reading_at = float("inf")
        self._wanted = trio.Event()
        self._read = trio.Event()

    @property
    def is_recent(self) -> bool:
        """Whether the view is recent enough."""
        return self._knowledge.history.age_seconds <= self._max_age

    @property
    def allows_sending(self) -> bool:
        """Whether a request may be sent by the view now."""
        return self.is_recent or self._is_store_away()

    @property
    def is_too_late(self) -> bool:
        """Whether this node is too late to send requests; they are refused at once."""
        return trio.current_time() < self._late_until and not self.allows_sending

    async def run(self) -> None:
        """Read the store whenever requests wait for it, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            began_at = trio.current_time()
            await self._view.confirm(began_at - self._max_age, self._max_age)
            self._last_reading_at = began_at
            self._read.set()
            self._read = trio.Event()

    async def require(self) -> None:
        """Wait until a request may be sent by the view.

        Raises:
            ServiceError: ``VIEW_OUTDATED`` when this node is too late to tell.
        """
        asked_at = trio.current_time()
        if self.is_too_late:
            self._wanted.set()
            self._refuse()
        if await self._renewed(asked_at + READING_SECONDS):
            return
        waiting_since = min(asked_at, self._last_reading_at)
        if self._pauses.longest_delay_since(waiting_since) < LATE_SECONDS:
            self._note_unanswered()
            return
        if not await self._renewed(asked_at + self._max_age):
            self._late_until = trio.current_time() + UNANSWERED_SECONDS
            self._refuse()

    @staticmethod
    def _refuse() -> NoReturn:
        """Refuse a request."""
        raise ServiceError(
            ErrorCode.VIEW_OUTDATED,
            "this node is too late to tell whether the instances still accept requests",
        )

    async def _renewed(self, until: float) -> bool:
        """Return whether a request may be sent, after one reading if necessary.

        Args:
            until: Latest end of the wait, by the steady clock in seconds.
        """
        if not self.allows_sending:
            self._wanted.set()
            with trio.move_on_at(until):
                await self._read.wait()
        return self.allows_sending

    def _is_store_away(self) -> bool:
        """Return whether the store doesn't answer this node, although the node runs on time."""
        now = trio.current_time()
        if now < self._unanswered_until:
            return True
        if not self._follower.has_lost_store:
            return False
        return self._pauses.longest_delay_since(now - self._max_age) < LATE_SECONDS

    def _note_unanswered(self) -> None:
        """Let requests go on for a while, as the store doesn't answer."""
        now = trio.current_time()
        if now >= self._unanswered_until:
            age = self._knowledge.history.age_seconds
            emit(VIEW_NOT_RENEWED, age_seconds=round(age, 3) if math.isfinite(age) else NO_AGE)
        self._unanswered_until = now + UNANSWERED_SECONDS
