"""Obtains a reading of the store that began after a client's resume came.

A relay reads the store itself. Any other node asks its relay first, so that few nodes call the
store for the resumes of many. If the first way brings nothing soon, the other one is taken as well.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from hopstep.services.exchanges.directory.current_view import READING_SECONDS, CurrentView
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.streams.origin_inquiry import Inquiry
from hopstep.services.exchanges.streams.origin_sharing import ROUND_SECONDS, OriginSharing

SECOND_WAY_SECONDS = 0.05
"""Time after which the second way is taken: both ways usually take below 20 ms."""

READERS = 2
"""Nodes that are asked to read the store for one resume: one of them may have lost it."""


Way = Callable[[Inquiry], Awaitable[None]]
"""Obtains a reading, and notes it in the question."""


class ViewConfirmation:
    """Confirms the answers to a question by a reading of the store, by this node or another."""

    def __init__(
        self, knowledge: ServingKnowledge, view: CurrentView, sharing: OriginSharing
    ) -> None:
        """Connect the parts.

        Args:
            knowledge: The relays.
            view: Reads the store.
            sharing: Asks other nodes.
        """
        self._knowledge = knowledge
        self._view = view
        self._sharing = sharing

    async def run(
        self, inquiry: Inquiry, is_sole: Callable[[], bool], is_earlier: Callable[[], bool]
    ) -> None:
        """Confirm the answers, once the nodes had time to send them.

        Args:
            inquiry: The question.
            is_sole: Whether only one version is known so far.
            is_earlier: Whether one version only is known of the nodes that have ended; this needs a
                reading by this node itself. In all other cases no reading can help.
        """
        with trio.move_on_after(ROUND_SECONDS[0]):
            while inquiry.missing and inquiry.record is None:
                await inquiry.progress.wait()
        if inquiry.record is None and is_sole():
            await self._confirm(inquiry)
        elif inquiry.record is None and is_earlier():
            await self._read(inquiry)
        inquiry.needs_reading = False
        inquiry.notify()

    async def _confirm(self, inquiry: Inquiry) -> None:
        """Take the better way, and the other one if that doesn't succeed soon."""
        first, second = self._ways(inquiry)
        ended = trio.Event()

        async def take_first() -> None:
            await first(inquiry)
            ended.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take_first)
            with trio.move_on_after(SECOND_WAY_SECONDS):
                await ended.wait()
            if not inquiry.has_current_view:
                await second(inquiry)

    def _ways(self, inquiry: Inquiry) -> tuple[Way, Way]:
        """Return the two ways, the better one first."""
        if self._knowledge.relays.relay() in inquiry.claims:
            return self._ask_readers, self._read
        return self._read, self._ask_readers

    async def _read(self, inquiry: Inquiry) -> None:
        """Read the store."""
        inquiry.is_own_view_current = await self._view.confirm(inquiry.asked_at)
        inquiry.notify()

    async def _ask_readers(self, inquiry: Inquiry) -> None:
        """Let other nodes read the store, and wait for their answers."""
        readers = self._readers(inquiry)
        for name in readers:
            await self._sharing.ask_to_read(inquiry, name)
        if not readers:
            return
        with trio.move_on_after(READING_SECONDS):
            while not inquiry.has_current_view:
                await inquiry.progress.wait()

    def _readers(self, inquiry: Inquiry) -> list[str]:
        """Return nodes that answer and are likely to reach the store, relays first."""
        relays = self._knowledge.relays
        own, all_relays = relays.relay(), relays.digest_targets()
        names = [name for name, claim in inquiry.claims.items() if claim.is_fresh]
        ranked = sorted(names, key=lambda name: (name != own, name not in all_relays, name))
        return ranked[:READERS]
