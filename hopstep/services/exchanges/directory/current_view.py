"""Makes a node's view of the directory current: as of a time, not only recent."""

from __future__ import annotations

import trio

from hopstep.domain.store_position import NO_POSITION
from hopstep.exceptions import StoreError
from hopstep.ports.serving_directory import ServingDirectory
from hopstep.services.exchanges.directory.answered_calls import note_answered
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.pause_watch import PauseWatch

READING_SECONDS = 0.15
"""Longest wait for one answer of the store: the store takes up to some 100 ms when it is slow."""

READING_SPACING_SECONDS = 0.02
"""Shortest time between the starts of two readings, so that many resumes share one: each call has
a price."""


class CurrentView:
    """Reads changes from the store when a decision needs a view of now; readers share a call."""

    def __init__(
        self, knowledge: ServingKnowledge, directory: ServingDirectory, pauses: PauseWatch
    ) -> None:
        """Start without a reading.

        Args:
            knowledge: Receives what is read.
            directory: Where entries are published.
            pauses: Detects delays of the node's own event loop.
        """
        self._knowledge = knowledge
        self._pauses = pauses
        self._directory = directory
        self._turn = trio.Lock()
        self._next_at = -float("inf")

    async def confirm(self, at: float, seconds: float = READING_SECONDS) -> bool:
        """Return whether the view has all changes before a time, after a reading if necessary.

        Args:
            at: The time, by the steady clock in seconds.
            seconds: Longest wait for an answer of the store.
        """
        async with self._turn:
            if not self._is_current(at):
                await trio.sleep_until(self._next_at)
                with trio.move_on_after(seconds):
                    await self._read()
        return self._is_current(at)

    def _is_current(self, at: float) -> bool:
        """Return whether the view has all changes before a time.

        It hasn't while the store may lack what was lost with a restore.
        """
        return self._knowledge.history.reached_at >= at and not self._knowledge.is_settling

    async def _read(self) -> None:
        """Read the changes since the node's position; without one the node has no view yet."""
        knowledge = self._knowledge
        if knowledge.store_position == NO_POSITION:
            return
        sent_at = trio.current_time()
        self._next_at = sent_at + READING_SPACING_SECONDS
        since = min(sent_at, knowledge.history.reached_at)
        try:
            batch = await self._directory.changes(knowledge.store_position, 0.0)
            note_answered(knowledge.contact, self._pauses, sent_at)
            knowledge.apply_changes(batch, since, sent_at)
        except StoreError:
            return
