"""Reads the directory from the store: on relays always, on other nodes when no relay answers.

While the store is down calls are repeated, ever more rarely; what is known ages meanwhile.
"""

from __future__ import annotations

import random

import trio

from hopstep import log_events
from hopstep.exceptions import StoreError, StoreHistoryLostError
from hopstep.logs import emit
from hopstep.ports.serving_directory import ServingDirectory
from hopstep.services.exchanges.knowledge import NO_REVISION, ServingKnowledge

WATCH_SECONDS = 0.9
"""Wait of one watch; what is known is up to twice as old before the next answer."""

CALL_SPACING_SECONDS = 0.4
"""Between the starts of two calls, so that changes gather."""

PROMPT_ANSWER_SECONDS = 0.5
"""A watch that was answered later had nothing to tell when it was sent."""

WATCH_LAG_SECONDS = 0.3
"""A pending watch is answered at most this long after a change was acknowledged."""

OWN_WAY_AGE_SECONDS = 3.2
"""A node whose knowledge is older reads the store itself, whoever else should tell it."""

CHECK_SECONDS = 0.1
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8


class DirectoryFollower:
    """Keeps a node's knowledge current by its own calls to the store."""

    def __init__(
        self, knowledge: ServingKnowledge, directory: ServingDirectory, generator: random.Random
    ) -> None:
        """Follow nothing yet.

        Args:
            knowledge: Takes what the store says.
            directory: Where entries are published.
            generator: Spreads retries.
        """
        self._knowledge = knowledge
        self._directory = directory
        self._generator = generator
        self._connected = True
        self._history_lost = False
        self._asked = False

    def read_once(self) -> None:
        """Make one call, although relays answer: they can't tell everything."""
        self._asked = True

    async def run(self) -> None:
        """Read until cancelled."""
        pause = MIN_PAUSE_SECONDS
        while True:
            await self._wait_needed()
            started_at = trio.current_time()
            try:
                await self._call(started_at)
                pause = MIN_PAUSE_SECONDS
                self._note_connection(True, "")
                await trio.sleep_until(started_at + CALL_SPACING_SECONDS)
            except StoreHistoryLostError:
                emit(log_events.DIRECTORY_HISTORY_LOST, revision=self._knowledge.revision)
                self._history_lost = True
            except StoreError as error:
                self._note_connection(False, error.code.value)
                await trio.sleep(pause * (0.5 + self._generator.random()))
                pause = min(MAX_PAUSE_SECONDS, pause * 2.0)

    async def _wait_needed(self) -> None:
        """Wait until this node should read the store itself."""
        knowledge = self._knowledge
        while knowledge.relays.relay() and knowledge.age_seconds < OWN_WAY_AGE_SECONDS:
            if self._asked:
                break
            await trio.sleep(CHECK_SECONDS)
        self._asked = False

    async def _call(self, sent_at: float) -> None:
        """Make one call and take what it says; after a failure one that is answered at once."""
        knowledge = self._knowledge
        if self._history_lost or knowledge.revision == NO_REVISION:
            knowledge.take_snapshot(await self._directory.snapshot(), sent_at)
            self._history_lost = False
            return
        confirmed_at = knowledge.confirmed_at
        wait_seconds = WATCH_SECONDS if self._may_wait else 0.0
        batch = await self._directory.changes(knowledge.revision, wait_seconds)
        now = trio.current_time()
        waited = now - sent_at > PROMPT_ANSWER_SECONDS
        since = now - WATCH_LAG_SECONDS if waited else min(sent_at, confirmed_at)
        knowledge.take_changes(batch, since, sent_at)

    @property
    def _may_wait(self) -> bool:
        """Whether a call may wait for a change: not while the age of what is known grows."""
        own = not self._knowledge.relays.relay()
        return self._connected and own

    def _note_connection(self, connected: bool, reason: str) -> None:
        """Log a lost or regained way to the store."""
        if connected == self._connected:
            return
        self._connected = connected
        knowledge = self._knowledge
        age = round(knowledge.age_seconds, 3) if knowledge.index is not None else -1.0
        if connected:
            emit(log_events.STORE_REGAINED, age_seconds=age)
        else:
            emit(log_events.STORE_LOST, reason=reason, age_seconds=age)
