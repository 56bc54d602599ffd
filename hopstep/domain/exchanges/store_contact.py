"""When the store last answered a node or the nodes that report to it, and when it was unavailable.

All times are of the node's steady clock, in seconds.
"""

from __future__ import annotations

import msgspec

OUTAGE_SECONDS = 2.0
"""A store without answers for longer was unavailable: entries of live instances may have expired.

Less than three of the instances' heartbeats of 1.2 s, after which an entry expires with its lease.
"""

RELISTING_SECONDS = 2.0
"""Time after the store's return until operators and instances have written lost entries again:
those that expired while it was unavailable, and those that a backup lacks."""

PROPAGATION_SECONDS = 0.6
"""Time until all nodes know of a write, from the store or from a node that reads it."""

ENTRY_LAPSE_SECONDS = 4.0
"""Time after which the entry of a terminated instance has expired: three heartbeats of 1.2 s."""

NEVER = -float("inf")


class AnsweredCall(msgspec.Struct, frozen=True):
    """A call of this node that the store has answered.

    Attributes:
        sent_at: When it was sent.
        answered_at: When its answer was read.
        wait_seconds: Time for which the store was asked to wait for a change.
        delay_seconds: Longest delay of this node's own event loop since the last answer.
    """

    sent_at: float
    answered_at: float
    wait_seconds: float = 0.0
    delay_seconds: float = 0.0


class StoreContact:
    """What a node knows about the store's answers.

    Attributes:
        read_at: When the store last answered this node.
        reported_at: When it last answered a node that has reported its whole state to this one.
        outage_until: Until when at least its last outage has lasted, by this node's own calls.
        relisting_until: Until when entries that expired in its last outage may come back.
    """

    def __init__(self, started_at: float) -> None:
        """Start without any answer.

        Args:
            started_at: Start of the node.
        """
        self.read_at = NEVER
        self.reported_at = NEVER
        self.outage_until = NEVER
        self.relisting_until = NEVER
        self._started_at = started_at
        self._unanswered_at = NEVER
        self._silent_since = float("inf")

    @property
    def last_answer_at(self) -> float:
        """When the store last answered this node or a node that reported to it."""
        return max(self.read_at, self.reported_at)

    def note_unanswered(self, sent_at: float) -> None:
        """Note a call that failed or whose answer is overdue.

        Args:
            sent_at: When it was sent.
        """
        self._unanswered_at = max(self._unanswered_at, sent_at)
        if sent_at >= self.last_answer_at:
            self._silent_since = min(self._silent_since, sent_at)

    def note_outage_end(self, answered_at: float) -> None:
        """Note whether an answer ends an outage; call this before the answer itself is noted.

        A node that was paused got no answers either; but then none of its own calls has failed.

        Args:
            answered_at: When the store answered this or another node.
        """
        unanswered_since = max(self.last_answer_at, self._started_at)
        if answered_at - unanswered_since <= OUTAGE_SECONDS:
            return
        if self._unanswered_at > unanswered_since:
            self.outage_until = self._unanswered_at

    def note_own_answer(self, call: AnsweredCall) -> None:
        """Expect expired entries back if an answer shows that the store was silent for long.

        Call this before the answer itself is noted. The time for which the store was asked to wait,
        and that for which this node was late to read, show nothing about the store.
        """
        silent_since = call.sent_at
        if self._silent_since >= self.last_answer_at:
            silent_since = min(self._silent_since, silent_since)
        explained_seconds = call.delay_seconds
        if silent_since == call.sent_at:
            explained_seconds += call.wait_seconds
        if call.answered_at - silent_since - explained_seconds > OUTAGE_SECONDS:
            self._expect_relisting(call.answered_at + RELISTING_SECONDS)

    def note_reported_relisting(self, until: float) -> None:
        """Note until when another node, which has seen an outage, expects expired entries back."""
        self._expect_relisting(until)

    def _expect_relisting(self, until: float) -> None:
        """Expect entries that expired in an outage back until a time."""
        self.relisting_until = max(self.relisting_until, until)

    def note_restore(self, now: float) -> None:
        """Note that the store was restored from a backup, which may lack entries."""
        self._expect_relisting(now + RELISTING_SECONDS + PROPAGATION_SECONDS)

    def note_read(self, answered_at: float) -> None:
        """Note an answer to this node."""
        self.read_at = max(self.read_at, answered_at)
        self._silent_since = float("inf")

    def note_reported(self, answered_at: float) -> None:
        """Note an answer to a node that has reported its whole state to this one."""
        self.reported_at = max(self.reported_at, answered_at)

    def relisting_seconds(self, now: float) -> float | None:
        """Return for how long expired entries may still come back; None when that time is over."""
        left = self.relisting_until - now
        return left if left > 0 else None
