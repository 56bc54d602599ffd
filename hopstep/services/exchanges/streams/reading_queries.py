"""Answers other nodes' questions that ask for a reading of the store first.

Messages are taken one after the other, so none may wait for the store: these wait here, and share
one reading.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
import trio

from hopstep.ports.origin_messages import OriginQuery
from hopstep.services.exchanges.directory.current_view import CurrentView

MAX_WAITING = 1_024
"""Questions that wait for a reading; further ones get no answer, and their senders go on without
it."""


class WaitingQuery(msgspec.Struct, frozen=True):
    """A question that waits for a reading.

    Attributes:
        sender: Node that asks.
        query: The question.
        received_at: When it came, by the steady clock in seconds.
    """

    sender: str
    query: OriginQuery
    received_at: float


class Answer(Protocol):
    """Answers a question, see ``StreamOrigins``."""

    async def __call__(self, sender: str, query: OriginQuery, *, is_current: bool) -> None:
        """Answer."""


class ReadingQueries:
    """Questions of other nodes that wait for a reading of the store."""

    def __init__(self, view: CurrentView, answer: Answer) -> None:
        """Start without questions. Must be called inside the event loop.

        Args:
            view: Reads the store.
            answer: Called for each question after a reading, or when the store doesn't answer.
        """
        self._view = view
        self._answer = answer
        self._waiting: list[WaitingQuery] = []
        self._filled = trio.Event()

    def put(self, sender: str, query: OriginQuery) -> None:
        """Answer a question after a reading that began since it came."""
        if len(self._waiting) < MAX_WAITING:
            self._waiting.append(WaitingQuery(sender, query, trio.current_time()))
            self._filled.set()

    async def run(self) -> None:
        """Read the store and answer until cancelled."""
        while True:
            await self._filled.wait()
            self._filled = trio.Event()
            waiting, self._waiting = self._waiting, []
            latest_at = max(each.received_at for each in waiting)
            is_current = await self._view.confirm(latest_at)
            for each in waiting:
                await self._answer(each.sender, each.query, is_current=is_current)
