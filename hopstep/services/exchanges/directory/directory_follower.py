"""Reads the directory from the store: always on relays, on other nodes when no relay answers.

While the store is down calls are repeated with growing pauses, and the node's view of it ages.
"""

from __future__ import annotations

import random

import trio

from hopstep.domain.exchanges.freshness import ANSWER_SLACK_SECONDS, FreshnessLimits
from hopstep.domain.store_position import NO_POSITION
from hopstep.exceptions import ErrorCode, StoreError, StoreHistoryLostError
from hopstep.log_events.configuration import DIRECTORY_HISTORY_LOST, STORE_LOST, STORE_REGAINED
from hopstep.log_events.process import CONNECTIONS_DROPPED
from hopstep.logs import emit
from hopstep.ports.serving_directory import DirectoryBatch, ServingDirectory
from hopstep.services.exchanges.directory.answered_calls import note_answered
from hopstep.services.exchanges.directory.change_origin import STORE_SOURCE
from hopstep.services.exchanges.directory.key_freshness import OVERDUE
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.pause_watch import PauseWatch

CALL_SPACING_SECONDS = 0.4
"""Least time between the starts of two calls, so that one call returns several changes."""

MIN_WAIT_SECONDS = 0.1
"""Shortest waiting time of a watch, even if the next answer is due sooner."""

IMMEDIATE_ANSWER_SECONDS = 0.5
"""A watch that takes longer to be answered found no change when it was sent.

This doesn't hold if the node itself was paused in between.
"""

WATCH_LAG_SECONDS = 0.3
"""Longest time from the acknowledgement of a change to the answer of a pending watch."""

OWN_READING_AGE_SECONDS = 3.2
"""A node whose view is older than this reads the store itself, even if it has a relay."""

MAX_CONCURRENT_CALLS = 3
"""Concurrent calls for one answer; the wait before the next one doubles with each call."""

LOST_CALL_SECONDS = 0.8
"""Longest wait for the answer of a call while the store is lost. A silent store may never answer
it, even once it is back."""

CHECK_SECONDS = 0.1
"""Time between two checks of an overdue call."""

DUE_MARGIN_SECONDS = 0.01
"""Added to the time at which an answer is due, so that it has passed on waking up."""

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8


class DirectoryFollower:
    """Keeps a node's view of the directory current by its own calls to the store."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        directory: ServingDirectory,
        generator: random.Random,
        limits: FreshnessLimits,
        pauses: PauseWatch,
    ) -> None:
        """Prepare; reading starts with ``run``.

        Args:
            knowledge: Receives the entries that are read.
            directory: Where entries are published.
            generator: Adds jitter to retries.
            limits: How long the store or a relay may be unresponsive.
            pauses: Detects pauses of the node itself.
        """
        self._knowledge = knowledge
        self._directory = directory
        self._generator = generator
        self._limits = limits
        self._pauses = pauses
        pauses.on_pause(self._disregard_pause)
        self._connected = True
        self._history_lost = False
        self._read_requested = False
        self._last_call_at = float("inf")
        self._reading_since: float | None = None
        self._reading_started = trio.Event()
        self._reconsidered = trio.Event()

    def read_once(self) -> None:
        """Make one call although a relay answers, as it can't provide all changes."""
        self._read_requested = True
        self.reconsider()

    def reconsider(self) -> None:
        """Check again whether this node should read the store, as relays may not respond."""
        self._reconsidered.set()
        self._reconsidered = trio.Event()

    @property
    def reads_store(self) -> bool:
        """Whether this node reads the store itself, as no other node provides the changes."""
        knowledge = self._knowledge
        unreported = knowledge.seconds_since_relayed_contact > self._limits.own_reading
        relays = knowledge.relays
        return unreported or (relays.is_stand_in and not relays.has_source) or not relays.relay()

    @property
    def has_lost_store(self) -> bool:
        """Whether this node reads the store and an answer is overdue."""
        self._pauses.check()
        return trio.current_time() > self._answer_due_at

    @property
    def _answer_due_at(self) -> float:
        """Time after which the store counts as lost; infinite while it isn't read."""
        if self._reading_since is None:
            return float("inf")
        return max(self._knowledge.contact.read_at, self._reading_since) + self._limits.silence

    def _disregard_pause(self, _seconds: float) -> None:
        """Restart the wait for an answer after a pause, in which this node couldn't receive any."""
        if self._reading_since is not None:
            self._reading_since = trio.current_time()

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_overdue)
            await self._read()

    async def _read(self) -> None:
        """Call the store whenever that is needed, until cancelled."""
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
                position = self._knowledge.store_position
                emit(DIRECTORY_HISTORY_LOST, era=position.era, revision=position.revision)
                self._history_lost = True
            except StoreError as error:
                self._note_connection(False, error.code.value)
                await trio.sleep_until(started_at + pause * (0.5 + self._generator.random()))
                pause = min(MAX_PAUSE_SECONDS, pause * 2.0)

    async def _watch_overdue(self) -> None:
        """Report the store as lost as soon as an answer is overdue, while the call still waits."""
        while True:
            if self._reading_since is None:
                await self._reading_started.wait()
            elif self.has_lost_store:
                self._note_connection(False, OVERDUE)
                self._note_overdue_call()
                await trio.sleep(CHECK_SECONDS)
            else:
                await trio.sleep_until(self._answer_due_at + DUE_MARGIN_SECONDS)

    def _note_overdue_call(self) -> None:
        """Treat a pending call that should have been answered like a failed one.

        This holds while the store is lost, as then no call waits for a change.
        """
        if not self._connected and trio.current_time() - self._last_call_at > ANSWER_SLACK_SECONDS:
            self._knowledge.contact.note_unanswered(self._last_call_at)

    async def _wait_needed(self) -> None:
        """Wait until this node has to read the store itself."""
        knowledge = self._knowledge
        while not self.reads_store and knowledge.history.age_seconds < OWN_READING_AGE_SECONDS:
            self._reading_since = None
            if self._read_requested:
                break
            relayed_until = knowledge.contact.reported_at + self._limits.own_reading
            current_until = knowledge.history.reached_at + OWN_READING_AGE_SECONDS
            with trio.move_on_at(min(relayed_until, current_until) + DUE_MARGIN_SECONDS):
                await self._reconsidered.wait()
        self._read_requested = False
        if self.reads_store and self._reading_since is None:
            self._reading_since = trio.current_time()
            self._reading_started.set()
            self._reading_started = trio.Event()

    async def _call_until_answered(self) -> None:
        """Make a call, and further ones when its answer is overdue; the first answer counts.

        The connection of a call may be dead while new ones work, or the store is slow and answers
        the first call late. While the store is lost only one call is made.

        Raises:
            StoreError: The last error, when all calls have failed.
        """
        overdue_seconds = self._wait_seconds(trio.current_time()) + ANSWER_SLACK_SECONDS
        sender, outcomes = trio.open_memory_channel[StoreError | None](MAX_CONCURRENT_CALLS)
        failure: StoreError | None = None
        pending = 0
        async with trio.open_nursery() as nursery:
            for calls_left in reversed(range(MAX_CONCURRENT_CALLS if self._connected else 1)):
                nursery.start_soon(self._call_and_report, sender)
                pending += 1
                with trio.move_on_after(overdue_seconds if calls_left else float("inf")) as overdue:
                    while pending:
                        failure = await outcomes.receive()
                        pending -= 1
                        if failure is None:
                            break
                if not overdue.cancelled_caught:
                    nursery.cancel_scope.cancel()
                    break
                await self._replace_connections()
                overdue_seconds *= 2
        if failure is not None:
            raise failure

    async def _call_and_report(self, outcomes: trio.MemorySendChannel[StoreError | None]) -> None:
        """Make one call, and send its outcome: the error, or None."""
        sent_at = self._last_call_at = trio.current_time()
        try:
            await self._call(sent_at)
        except StoreError as error:
            lost_history = isinstance(error, StoreHistoryLostError)
            if not lost_history and not self._pauses.has_just_ended:
                self._knowledge.contact.note_unanswered(sent_at)
            outcomes.send_nowait(error)
        else:
            outcomes.send_nowait(None)

    async def _replace_connections(self) -> None:
        """Open new connections for later calls, unless this node itself was paused."""
        if not self._pauses.has_just_ended:
            emit(CONNECTIONS_DROPPED, peer=STORE_SOURCE, reason=OVERDUE)
            await self._directory.reconnect()

    async def _call(self, sent_at: float) -> None:
        """Make one call and apply its answer: a snapshot without a valid position, else changes."""
        knowledge = self._knowledge
        if self._history_lost or knowledge.store_position == NO_POSITION:
            snapshot = await self._directory.snapshot()
            note_answered(knowledge.contact, self._pauses, sent_at)
            knowledge.apply_snapshot(snapshot, sent_at)
            self._history_lost = False
            return
        current_at = knowledge.history.reached_at
        wait_seconds = self._wait_seconds(sent_at)
        batch = await self._read_changes(wait_seconds)
        note_answered(knowledge.contact, self._pauses, sent_at, wait_seconds)
        now = trio.current_time()
        had_no_change = now - sent_at > IMMEDIATE_ANSWER_SECONDS and not self._pauses.has_just_ended
        since = now - WATCH_LAG_SECONDS if had_no_change else min(sent_at, current_at)
        knowledge.apply_changes(batch, since, sent_at)

    async def _read_changes(self, wait_seconds: float) -> DirectoryBatch:
        """Return the changes since the node's position; a lost store is waited for only briefly.

        Raises:
            StoreError: When the call failed, or wasn't answered in time.
        """
        position = self._knowledge.store_position
        if self._connected:
            return await self._directory.changes(position, wait_seconds)
        with trio.move_on_after(LOST_CALL_SECONDS):
            return await self._directory.changes(position, wait_seconds)
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no answer while the store is lost")

    def _wait_seconds(self, sent_at: float) -> float:
        """Return how long a watch may wait: until an answer is due, so that a loss is seen in time.

        A call doesn't wait if it checks whether the store is back, if relays provide the changes,
        or if its answer may confirm keys.
        """
        knowledge = self._knowledge
        if (
            not self._connected
            or not self.reads_store
            or knowledge.is_settling
            or not knowledge.keys.is_fresh
        ):
            return 0.0
        due_at = max(knowledge.contact.read_at, sent_at - CALL_SPACING_SECONDS)
        due_at += self._limits.answer_interval
        return max(MIN_WAIT_SECONDS, due_at - sent_at)

    def _note_connection(self, connected: bool, reason: str) -> None:
        """Log that the store was lost or regained."""
        if connected == self._connected or (not connected and self._pauses.has_just_ended):
            return
        self._connected = connected
        knowledge = self._knowledge
        age = round(knowledge.keys.age_seconds, 3) if knowledge.index is not None else -1.0
        if connected:
            emit(STORE_REGAINED, age_seconds=age)
        else:
            emit(STORE_LOST, reason=reason, age_seconds=age)
