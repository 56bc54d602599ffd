"""When the store last answered a node, or those that told it what they know, and when it was away.

All times are of the node's steady clock, in seconds.
"""

from __future__ import annotations

AWAY_SECONDS = 2.0
"""A store that was silent for longer was away: entries of instances that live may have lapsed.

Less than three of the instances' heartbeats of 1.2 s, after which an entry lapses.
"""

RELISTING_SECONDS = 2.0
"""What operators and instances had in the store, and it has lost, is back so long after its return:
entries that lapsed while it was away, and what a copy lacks."""

PROPAGATION_SECONDS = 0.6
"""Until all nodes have heard of what is written: from the store, and from whoever reads it."""

ENTRY_LAPSE_SECONDS = 4.0
"""The entry of an instance that has ended lapses after three heartbeats of 1.2 s."""

NEVER = -float("inf")


class StoreContact:
    """What a node knows of the store's answers.

    Attributes:
        read_at: When the store last answered this node.
        told_at: When it last answered a node that has told this one all it knows.
        away_until: How long its last absence has lasted at least, as this node's own calls show.
        relisting_until: Until when entries that lapsed in its last absence may come back.
    """

    def __init__(self, started_at: float) -> None:
        """Know of no answer.

        Args:
            started_at: Start of the node.
        """
        self.read_at = NEVER
        self.reported_at = NEVER
        self.away_until = NEVER
        self.relisting_until = NEVER
        self._started_at = started_at
        self._unanswered_at = NEVER

    @property
    def last_answer_at(self) -> float:
        """When the store last answered this node or whoever told it."""
        return max(self.read_at, self.reported_at)

    def note_unanswered(self, sent_at: float) -> None:
        """Note a call that failed, or whose answer is overdue.

        Args:
            sent_at: When it was sent.
        """
        self._unanswered_at = max(self._unanswered_at, sent_at)

    def note_return(self, answered_at: float) -> None:
        """Note whether an answer ends an absence; call this before the answer is noted itself.

        A node that stood still heard nothing either; but then no call of its own has failed.

        Args:
            answered_at: When the store answered, here or elsewhere.
        """
        away_since = max(self.last_answer_at, self._started_at)
        if answered_at - away_since <= AWAY_SECONDS:
            return
        self.relisting_until = answered_at + RELISTING_SECONDS
        if self._unanswered_at > away_since:
            self.away_until = self._unanswered_at

    def note_restore(self, now: float) -> None:
        """Note that the store has come back from a copy, which may lack entries."""
        until = now + RELISTING_SECONDS + PROPAGATION_SECONDS
        self.relisting_until = max(self.relisting_until, until)

    def note_read(self, answered_at: float) -> None:
        """Note an answer to this node."""
        self.read_at = max(self.read_at, answered_at)

    def note_reported(self, answered_at: float) -> None:
        """Note an answer to a node that has told this one all it knows."""
        self.reported_at = max(self.reported_at, answered_at)

    def relisting_seconds(self, now: float) -> float | None:
        """Return for how long entries that lapsed may still come back; None when it is over."""
        left = self.relisting_until - now
        return left if left > 0 else None
