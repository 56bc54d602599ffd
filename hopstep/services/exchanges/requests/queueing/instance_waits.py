"""Waits of one request until an instance has capacity for it, or accepts requests again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from hopstep.domain.exchanges.instance_scope import InstanceScope
from hopstep.domain.exchanges.selection import Candidate
from hopstep.services.exchanges.requests.exchange_parts import (
    MILLISECONDS,
    ExchangeOutcome,
    ExchangeParts,
)
from hopstep.services.exchanges.requests.queueing.queue_refusals import QueueRefusalError


class InstanceWaits:
    """Finds the instances of one request's attempts.

    Attributes:
        return_seconds: Expected time until the queue has drained far enough for the request; None
            when it wasn't refused for its wait.
    """

    def __init__(
        self, parts: ExchangeParts, scope: InstanceScope, outcome: ExchangeOutcome
    ) -> None:
        """Create the waits of one request.

        Args:
            parts: Objects that all requests share.
            scope: The request, and which instances may serve it; the caller changes it.
            outcome: Records how long it waited.
        """
        self.return_seconds: float | None = None
        self._parts = parts
        self._scope = scope
        self._outcome = outcome

    async def acquire(
        self, only: str | None, recheck: Callable[[], Awaitable[None]], *, started: bool
    ) -> Candidate | None:
        """Return the instance for the next attempt; see ``RequestQueue.acquire``."""
        began_at = trio.current_time()
        try:
            return await self._parts.queue.acquire(self._scope, only, recheck, started=started)
        except QueueRefusalError as refusal:
            self.return_seconds = refusal.return_seconds
            raise
        finally:
            self._count(began_at)

    async def wait_for_opening(self) -> bool:
        """Wait until an instance accepts the request; return False when none will early enough.

        Waits only as long as a response within the route's objective is expected: a longer wait
        makes most responses late, and holds requests that are refused in the end.
        """
        parts, request = self._parts, self._scope.request
        answer_by = request.received_at + request.route.objective_seconds
        opening = parts.choice.next_opening(self._scope, answer_by)
        began_at = trio.current_time()
        until = min(opening.permit_by, opening.opens_at or float("inf"))
        if opening.limited and parts.limits.may_wait(opening.limited, request.rank, until):
            await parts.limits.wait(opening.limited, request.rank, until)
        elif opening.opens_at is not None:
            await trio.sleep_until(opening.opens_at)
        else:
            if opening.limited:
                parts.limits.note_refused(opening.limited)
            return False
        self._count(began_at)
        return True

    def _count(self, began_at: float) -> None:
        """Count a time in which the request waited at this node."""
        self._outcome.waited_ms += round((trio.current_time() - began_at) * MILLISECONDS)
