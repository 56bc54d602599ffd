"""Whether this node has lost contact with most routers that were alive in the recent past.

In a large cluster a node exchanges messages with each member only rarely, so the answer is a
sample: of the members that responded or were probed in the window, more than half (this node
included) must have responded. After a first failed probe the protocol probes more members at
once, so that the sample is large when it matters.
"""

from __future__ import annotations

import random

from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.table import Member, MemberTable
from hopstep.domain.peer_message import MemberState

CENSUS_SIZE = 16
"""Number of members that are probed at once after a failed probe."""


class PartitionDetector:
    """Keeps the members that count for the majority, and the unanswered probes of this node."""

    def __init__(self, config: MembershipConfig) -> None:
        """Start without any members to count.

        Args:
            config: Windows.
        """
        self._config = config
        self._reference: set[str] = set()
        self._unanswered_since: dict[str, float] = {}
        self._received_at: dict[str, float] = {}
        self._census_at = float("-inf")

    def record_attempt(self, name: str, now: float) -> None:
        """Record a probe of a member; the time of the first unanswered one is kept."""
        self._unanswered_since.setdefault(name, now)

    def record_received(self, name: str, now: float) -> None:
        """Record a message from a member, received directly or passed on."""
        self._unanswered_since.pop(name, None)
        self._received_at[name] = now

    def forget_attempts(self) -> None:
        """Forget all unanswered probes, after a pause in which no answer could be read."""
        self._unanswered_since.clear()

    def is_partitioned(self, table: MemberTable, now: float) -> bool:
        """Return whether most of the sampled members are unresponsive.

        A node without other members is not partitioned. Members that left on a plan don't count.
        With no responsive member at all, the node is partitioned.
        """
        if not any(self._counts(table, name) for name in self._reference):
            return False
        responsive = sum(
            1
            for name in self._received_at
            if self._is_responsive(name, now) and self._is_counted(table, name)
        )
        if responsive == 0:
            return True
        unresponsive = sum(
            1
            for name in self._unanswered_since
            if self._is_unresponsive(name, now) and self._is_counted(table, name)
        )
        return (responsive + 1) * 2 <= responsive + unresponsive + 1

    def update(self, table: MemberTable, now: float) -> None:
        """Update the counted members, while this node is in contact with a majority.

        While it is partitioned no member is removed: its own verdict that all others are dead
        must not make it a majority of one.
        """
        self._reference.update(table.live_names())
        if self.is_partitioned(table, now):
            return
        limit = now - self._config.recent_past_seconds
        if len(self._reference) > len(table.live_names()):
            self._reference = {
                name for name in self._reference if not _is_past(table.get(name), limit)
            }
        window = self._config.partition_window_seconds
        self._unanswered_since = _since(self._unanswered_since, now - 2 * window)
        self._received_at = _since(self._received_at, now - window)

    def census(self, table: MemberTable, generator: random.Random, now: float) -> list[str]:
        """Return unresponsive members to probe at once after a failed probe, at intervals."""
        window = self._config.partition_window_seconds
        if now - self._census_at < window / 4:
            return []
        self._census_at = now
        unresponsive = sorted(
            name
            for name in self._reference
            if self._counts(table, name) and not self._is_responsive(name, now)
        )
        return generator.sample(unresponsive, min(CENSUS_SIZE, len(unresponsive)))

    def _is_counted(self, table: MemberTable, name: str) -> bool:
        return name in self._reference and self._counts(table, name)

    def _counts(self, table: MemberTable, name: str) -> bool:
        member = table.get(name)
        return member is not None and not member.planned

    def _is_responsive(self, name: str, now: float) -> bool:
        received_at = self._received_at.get(name)
        return (
            received_at is not None and now - received_at <= self._config.partition_window_seconds
        )

    def _is_unresponsive(self, name: str, now: float) -> bool:
        """Return whether a member hasn't answered for longer than a probe may take."""
        since = self._unanswered_since.get(name)
        return since is not None and now - since >= self._config.heartbeat_seconds


def _is_past(member: Member | None, limit: float) -> bool:
    """Return whether a member is no longer in the table, or was dead before ``limit``."""
    if member is None:
        return True
    return member.record.state is MemberState.DEAD and member.changed_at <= limit


def _since(times: dict[str, float], oldest: float) -> dict[str, float]:
    return {name: at for name, at in times.items() if at > oldest}
