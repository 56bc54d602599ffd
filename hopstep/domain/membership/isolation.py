"""Whether this node has lost contact with most routers that were alive in the recent past.

In a large cluster a node meets each member only now and then, so the answer is a sample: of
the members that were heard from or tried in the window, more than half (this node included)
must have been heard. After a first failed probe the protocol tries more members at once, so
that the sample is large when it matters.
"""

from __future__ import annotations

import random

from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.table import Member, MemberTable
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
        self._heard_at: dict[str, float] = {}
        self._census_at = float("-inf")

    def note_tried(self, name: str, now: float) -> None:
        """Remember since when a member owes an answer."""
        self._tried_at.setdefault(name, now)

    def note_heard(self, name: str, now: float) -> None:
        """Remember that something came from a member, directly or passed on."""
        self._tried_at.pop(name, None)
        self._heard_at[name] = now

    def forget_tries(self) -> None:
        """Forget all tries, after a pause in which no answer could be read."""
        self._tried_at.clear()

    def is_isolated(self, table: MemberTable, now: float) -> bool:
        """Return whether most of the sampled members are silent.

        A node that knows of nobody else is not isolated. Members that left on a plan don't
        count. With none heard of at all, the node is isolated.
        """
        if not any(self._counts(table, name) for name in self._reference):
            return False
        heard = sum(
            1
            for name in self._heard_at
            if self._was_heard(name, now) and self._is_counted(table, name)
        )
        if heard == 0:
            return True
        silent = sum(
            1
            for name in self._tried_at
            if self._is_silent(name, now) and self._is_counted(table, name)
        )
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
        if len(self._reference) > len(table.live_names()):
            self._reference = {
                name for name in self._reference if not _is_past(table.get(name), limit)
            }
        window = self._config.isolation_window_seconds
        self._tried_at = _since(self._tried_at, now - 2 * window)
        self._heard_at = _since(self._heard_at, now - window)

    def census(self, table: MemberTable, generator: random.Random, now: float) -> list[str]:
        """Return silent members to try at once after a failed probe, at intervals."""
        window = self._config.isolation_window_seconds
        if now - self._census_at < window / 4:
            return []
        self._census_at = now
        silent = sorted(
            name
            for name in self._reference
            if self._counts(table, name) and not self._was_heard(name, now)
        )
        return generator.sample(silent, min(CENSUS_SIZE, len(silent)))

    def _is_counted(self, table: MemberTable, name: str) -> bool:
        return name in self._reference and self._counts(table, name)

    def _counts(self, table: MemberTable, name: str) -> bool:
        member = table.get(name)
        return member is not None and not member.planned

    def _was_heard(self, name: str, now: float) -> bool:
        heard_at = self._heard_at.get(name)
        return heard_at is not None and now - heard_at <= self._config.isolation_window_seconds

    def _is_silent(self, name: str, now: float) -> bool:
        """Return whether a member has owed an answer for longer than a probe may take."""
        tried_at = self._tried_at.get(name)
        return tried_at is not None and now - tried_at >= self._config.heartbeat_seconds


def _is_past(member: Member | None, limit: float) -> bool:
    """Return whether a member is forgotten, or was declared dead before ``limit``."""
    if member is None:
        return True
    return member.record.state is MemberState.DEAD and member.changed_at <= limit


def _since(times: dict[str, float], oldest: float) -> dict[str, float]:
    return {name: at for name, at in times.items() if at > oldest}
