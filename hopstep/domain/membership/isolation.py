"""Whether this node has lost contact with most routers that were alive in the recent past.

In a large cluster a node meets each member only now and then, so the answer is a sample: of
the members that were heard from or tried in the window, more than half (this node included)
must have been heard. After a first failed probe the protocol tries more members at once, so
that the sample is large when it matters.
"""

from __future__ import annotations

import random

from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.table import MemberTable
from hopstep.domain.peer_message import MemberState

CENSUS_SIZE = 16
"""Members that are tried at once after a failed probe."""


class IsolationDetector:
    """Keeps the members that count for the majority, and whom this node has tried."""

    def __init__(self, config: MembershipConfig) -> None:
        """Start without anybody to count.

        Args:
            config: Windows.
        """
        self._config = config
        self._reference: set[str] = set()
        self._tried_at: dict[str, float] = {}
        self._census_at = float("-inf")

    def note_tried(self, name: str, now: float) -> None:
        """Remember since when a member owes an answer."""
        self._tried_at.setdefault(name, now)

    def note_heard(self, name: str) -> None:
        """Forget what a member owed: something came from it."""
        self._tried_at.pop(name, None)

    def forget_tries(self) -> None:
        """Forget all tries, after a pause in which no answer could be read."""
        self._tried_at.clear()

    def is_isolated(self, table: MemberTable, now: float) -> bool:
        """Return whether most of the sampled members are silent.

        A node that knows of nobody else is not isolated. Members that left on a plan don't
        count. With none heard of at all, the node is isolated.
        """
        counted = heard = silent = 0
        for name in self._reference:
            if not self._counts(table, name):
                continue
            counted += 1
            if self._was_heard(table, name, now):
                heard += 1
            elif self._is_silent(name, now):
                silent += 1
        if counted == 0:
            return False
        if heard == 0:
            return True
        return (heard + 1) * 2 <= heard + silent + 1

    def update(self, table: MemberTable, now: float) -> None:
        """Follow the membership, as long as this node is in contact with a majority.

        While it is isolated nobody is taken out: its own verdict that all others are dead
        must not make it a majority of one.
        """
        self._reference.update(table.live_names())
        if self.is_isolated(table, now):
            return
        limit = now - self._config.recent_past_seconds
        for name in list(self._reference):
            member = table.get(name)
            if member is None or (
                member.record.state is MemberState.DEAD and member.changed_at <= limit
            ):
                self._reference.discard(name)
        oldest = now - 2 * self._config.isolation_window_seconds
        self._tried_at = {name: at for name, at in self._tried_at.items() if at > oldest}

    def census(self, table: MemberTable, generator: random.Random, now: float) -> list[str]:
        """Return silent members to try at once after a failed probe, at intervals."""
        window = self._config.isolation_window_seconds
        if now - self._census_at < window / 4:
            return []
        self._census_at = now
        silent = sorted(
            name
            for name in self._reference
            if self._counts(table, name) and not self._was_heard(table, name, now)
        )
        return generator.sample(silent, min(CENSUS_SIZE, len(silent)))

    def _counts(self, table: MemberTable, name: str) -> bool:
        member = table.get(name)
        return member is not None and not member.planned

    def _was_heard(self, table: MemberTable, name: str, now: float) -> bool:
        member = table.get(name)
        if member is None:
            return False
        return now - member.heard_at <= self._config.isolation_window_seconds

    def _is_silent(self, name: str, now: float) -> bool:
        """Return whether a member has owed an answer for longer than a probe may take."""
        tried_at = self._tried_at.get(name)
        return tried_at is not None and now - tried_at >= self._config.heartbeat_seconds
