"""Reads the directory from the store: on relays always, on other nodes when no relay can tell.

While the store is down calls are repeated, ever more rarely; what is known ages meanwhile.
"""

from __future__ import annotations

import random

import trio

from hopstep import log_events
from hopstep.domain.exchanges.freshness import ANSWER_SLACK_SECONDS, FreshnessLimits
from hopstep.domain.store_place import NOWHERE
from hopstep.exceptions import StoreError, StoreHistoryLostError
from hopstep.logs import emit
from hopstep.ports.serving_directory import ServingDirectory
from hopstep.services.exchanges.directory.key_freshness import OVERDUE
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.news import STORE_SOURCE
from hopstep.services.exchanges.pause_watch import PauseWatch

CALL_SPACING_SECONDS = 0.4
"""Between the starts of two calls, so that changes gather."""

MIN_WAIT_SECONDS = 0.1
"""Of a watch, also where the next answer is due sooner."""

PROMPT_ANSWER_SECONDS = 0.5
"""A watch that was answered later had nothing to tell when it was sent, if this node ran on."""

WATCH_LAG_SECONDS = 0.3
"""A pending watch is answered at most this long after a change was acknowledged."""

OWN_WAY_AGE_SECONDS = 3.2
"""A node whose knowledge is older reads the store itself, whoever else should tell it."""

MAX_CALLS = 3
"""Side by side for one answer: each waits twice as long as the one before it for company."""

CHECK_SECONDS = 0.1
"""Between two looks at a call that is overdue."""

MOMENT_SECONDS = 0.01
"""Behind the time at which an answer is due, so that it is past."""

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8


class DirectoryFollower:
    """Keeps a node's knowledge current by its own calls to the store."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        directory: ServingDirectory,
        generator: random.Random,
        limits: FreshnessLimits,
        pauses: PauseWatch,
    ) -> None:
        """Follow nothing yet.

        Args:
            knowledge: Takes what the store says.
            directory: Where entries are published.
            generator: Spreads retries.
            limits: How long the store or a relay may be silent.
            pauses: Notices pauses of the node itself.
        """
        self._knowledge = knowledge
        self._directory = directory
        self._generator = generator
        self._limits = limits
        self._pauses = pauses
        pauses.on_pause(self._excuse)
        self._connected = True
        self._history_lost = False
        self._asked = False
        self._called_at = float("inf")
        self._reading_since: float | None = None
        self._began = trio.Event()
        self._reconsidered = trio.Event()

    def read_once(self) -> None:
        """Make one call, although relays answer: they can't tell everything."""
        self._asked = True
        self.reconsider()

    def reconsider(self) -> None:
        """Look again whether this node should read the store: relays may have fallen silent."""
        self._reconsidered.set()
        self._reconsidered = trio.Event()

    @property
    def reads(self) -> bool:
        """Whether this node reads the store itself, since no other can tell what is new."""
        knowledge = self._knowledge
        silent = knowledge.told_silence_seconds > self._limits.own_reading
        relays = knowledge.relays
        return silent or (relays.is_stand_in and not relays.has_source) or not relays.relay()

    @property
    def has_lost_store(self) -> bool:
        """Whether this node reads the store and has had no answer for too long."""
        self._pauses.check()
        return trio.current_time() > self._answer_due_at

    @property
    def _answer_due_at(self) -> float:
        """When the store counts as lost without an answer; infinite while it isn't read."""
        if self._reading_since is None:
            return float("inf")
        return max(self._knowledge.contact.read_at, self._reading_since) + self._limits.silence

    def _excuse(self, _seconds: float) -> None:
        """Wait for an answer as if from now on: this node couldn't hear any."""
        if self._reading_since is not None:
            self._reading_since = trio.current_time()

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence)
            await self._read()

    async def _read(self) -> None:
        """Make calls whenever they are needed, until cancelled."""
        pause = MIN_PAUSE_SECONDS
        while True:
            await self._wait_needed()
            started_at = trio.current_time()
            try:
                await self._call_until_answered()
                pause = MIN_PAUSE_SECONDS
                self._note_connection(True, "")
                await trio.sleep_until(started_at + CALL_SPACING_SECONDS)
            except StoreHistoryLostError:
                place = self._knowledge.place
                emit(log_events.DIRECTORY_HISTORY_LOST, era=place.era, revision=place.revision)
                self._history_lost = True
            except StoreError as error:
                self._note_connection(False, error.code.value)
                await trio.sleep(pause * (0.5 + self._generator.random()))
                pause = min(MAX_PAUSE_SECONDS, pause * 2.0)

    async def _watch_silence(self) -> None:
        """Note a lost store as soon as an answer is overdue, although the call still waits."""
        while True:
            if self._reading_since is None:
                await self._began.wait()
            elif self.has_lost_store:
                self._note_connection(False, OVERDUE)
                self._note_overdue_call()
                await trio.sleep(CHECK_SECONDS)
            else:
                await trio.sleep_until(self._answer_due_at + MOMENT_SECONDS)

    def _note_overdue_call(self) -> None:
        """Note a call under way that should have been answered: it tells as much as a failed one.

        While the store is lost no call waits for a change.
        """
        if not self._connected and trio.current_time() - self._called_at > ANSWER_SLACK_SECONDS:
            self._knowledge.contact.note_unanswered(self._called_at)

    async def _wait_needed(self) -> None:
        """Wait until this node should read the store itself."""
        knowledge = self._knowledge
        while not self.reads and knowledge.history.age_seconds < OWN_WAY_AGE_SECONDS:
            self._reading_since = None
            if self._asked:
                break
            told_until = knowledge.contact.told_at + self._limits.own_reading
            known_until = knowledge.history.reached_at + OWN_WAY_AGE_SECONDS
            with trio.move_on_at(min(told_until, known_until) + MOMENT_SECONDS):
                await self._reconsidered.wait()
        self._asked = False
        if self.reads and self._reading_since is None:
            self._reading_since = trio.current_time()
            self._began.set()
            self._began = trio.Event()

    async def _call_until_answered(self) -> None:
        """Make a call, and others beside it when its answer is overdue; the first answer counts.

        The connection of a call may have fallen silent while new ones work; or the store is slow,
        and the first call is answered after all. While the store is lost one call is enough.

        Raises:
            StoreError: The last error, when all calls have failed.
        """
        patience = self._wait_seconds(trio.current_time()) + ANSWER_SLACK_SECONDS
        sender, outcomes = trio.open_memory_channel[StoreError | None](MAX_CALLS)
        failure: StoreError | None = None
        pending = 0
        async with trio.open_nursery() as nursery:
            for calls_left in reversed(range(MAX_CALLS if self._connected else 1)):
                nursery.start_soon(self._report_call, sender)
                pending += 1
                with trio.move_on_after(patience if calls_left else float("inf")) as overdue:
                    while pending:
                        failure = await outcomes.receive()
                        pending -= 1
                        if failure is None:
                            break
                if not overdue.cancelled_caught:
                    nursery.cancel_scope.cancel()
                    break
                await self._leave_connections()
                patience *= 2
        if failure is not None:
            raise failure

    async def _report_call(self, outcomes: trio.MemorySendChannel[StoreError | None]) -> None:
        """Make one call, and send how it ended."""
        sent_at = self._called_at = trio.current_time()
        try:
            await self._call(sent_at)
        except StoreError as error:
            lost_history = isinstance(error, StoreHistoryLostError)
            if not lost_history and not self._pauses.has_just_ended:
                self._knowledge.contact.note_unanswered(sent_at)
            outcomes.send_nowait(error)
        else:
            outcomes.send_nowait(None)

    async def _leave_connections(self) -> None:
        """Make later calls on new connections, unless this node itself stood still."""
        if not self._pauses.has_just_ended:
            emit(log_events.CONNECTIONS_DROPPED, peer=STORE_SOURCE, reason=OVERDUE)
            await self._directory.reconnect()

    async def _call(self, sent_at: float) -> None:
        """Make one call and take what it says; after a failure one that is answered at once."""
        knowledge = self._knowledge
        if self._history_lost or knowledge.place == NOWHERE:
            knowledge.take_snapshot(await self._directory.snapshot(), sent_at)
            self._history_lost = False
            return
        placed_at = knowledge.history.reached_at
        batch = await self._directory.changes(knowledge.place, self._wait_seconds(sent_at))
        now = trio.current_time()
        waited = now - sent_at > PROMPT_ANSWER_SECONDS and not self._pauses.has_just_ended
        since = now - WATCH_LAG_SECONDS if waited else min(sent_at, placed_at)
        knowledge.take_changes(batch, since, sent_at)

    def _wait_seconds(self, sent_at: float) -> float:
        """Return how long a watch may wait: until an answer is due, so that a loss shows in time.

        A call that finds out whether the store is back doesn't wait, nor one beside a relay, nor
        one that may confirm keys.
        """
        knowledge = self._knowledge
        if (
            not self._connected
            or not self.reads
            or knowledge.is_settling
            or not knowledge.keys.is_fresh
        ):
            return 0.0
        due_at = max(knowledge.contact.read_at, sent_at - CALL_SPACING_SECONDS)
        due_at += self._limits.answer_interval
        return max(MIN_WAIT_SECONDS, due_at - sent_at)

    def _note_connection(self, connected: bool, reason: str) -> None:
        """Log a lost or regained way to the store."""
        if connected == self._connected or (not connected and self._pauses.has_just_ended):
            return
        self._connected = connected
        knowledge = self._knowledge
        age = round(knowledge.keys.age_seconds, 3) if knowledge.index is not None else -1.0
        if connected:
            emit(log_events.STORE_REGAINED, age_seconds=age)
        else:
            emit(log_events.STORE_LOST, reason=reason, age_seconds=age)
