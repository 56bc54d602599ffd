"""Counts bytes of instances that belong to no request, and logs them at a bounded rate."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from hopstep.log_events.instances import SURPLUS_BYTES_RECEIVED
from hopstep.logs import emit
from hopstep.ports.surplus_answers import SurplusBytes, SurplusPlace

LINE_INTERVAL_SECONDS = 1.0
"""Time between two log lines on one instance."""

MAX_INSTANCES = 1_024
"""Instances whose counts are kept; those with the oldest lines are forgotten first."""


class _Count(msgspec.Struct):
    """Findings on one instance.

    Attributes:
        logged_at: When the last line was written, by the steady clock in seconds.
        unlogged: Findings since then.
    """

    logged_at: float
    unlogged: int = 0


class SurplusAnswers:
    """Receives surplus bytes from the connections to instances."""

    def __init__(self) -> None:
        """Start without any finding."""
        self._counts: dict[str, _Count] = {}
        self._count: Callable[[SurplusPlace], None] = lambda _place: None

    def count_with(self, count: Callable[[SurplusPlace], None]) -> None:
        """Set the function that counts each finding."""
        self._count = count

    def note(self, found: SurplusBytes) -> None:
        """Count one finding, and log it unless its instance was logged a moment ago."""
        self._count(found.place)
        now = trio.current_time()
        count = self._counts.pop(found.address, None)
        if count is not None and now - count.logged_at < LINE_INTERVAL_SECONDS:
            count.unlogged += 1
            self._counts[found.address] = count
            return
        unlogged = count.unlogged if count is not None else 0
        self._counts[found.address] = _Count(now)
        if len(self._counts) > MAX_INSTANCES:
            self._counts.pop(next(iter(self._counts)))
        emit(
            SURPLUS_BYTES_RECEIVED,
            address=found.address,
            place=found.place.value,
            connection=found.connection,
            sends=found.sends,
            size=found.size,
            unlogged=unlogged,
        )
