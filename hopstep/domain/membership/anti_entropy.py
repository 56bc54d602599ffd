"""Schedule of comparisons with other members, and the messages of a comparison."""

from __future__ import annotations

import random

from hopstep.domain.membership.gossip import SizeOf
from hopstep.domain.membership.state import MembershipState
from hopstep.domain.membership.synchronization import Synchronizer
from hopstep.domain.peer_message import PullRequest, Push, SyncRequest, SyncSummary


class AntiEntropy:
    """Compares with a random live member at intervals, shorter ones while something differs."""

    def __init__(
        self, state: MembershipState, generator: random.Random, size_of: SizeOf, now: float
    ) -> None:
        """Plan the first exchange.

        Args:
            state: This member's state.
            generator: Source of random choices.
            size_of: Encoded bytes of a change.
            now: Current time in seconds.
        """
        self._state = state
        self._generator = generator
        self._synchronizer = Synchronizer(state.table, state.entries, size_of)
        self.next_at = now + generator.random() * state.config.sync_seconds

    def tick(self, now: float) -> None:
        """Begin an exchange when one is due."""
        if now < self.next_at:
            return
        spread = 0.5 + self._generator.random()
        self.next_at = now + self._state.config.sync_seconds * spread
        self._begin(now)

    def schedule_now(self, now: float) -> None:
        """Begin an exchange with the next tick."""
        self.next_at = now

    def after_answer(self, now: float, *, changed: bool) -> None:
        """Plan the next exchange after an answer, which shows that something differed."""
        config = self._state.config
        wait = config.sync_retry_seconds if changed else config.sync_differing_seconds
        self.next_at = min(self.next_at, now + wait)

    def on_request(self, request: SyncRequest, source: str, now: float) -> None:
        """Answer digests with the states that differ."""
        free_bytes = self._state.outbox.free_bytes(now)
        summary = self._synchronizer.summarize(request, self._state.own, free_bytes)
        if summary is not None:
            self._state.outbox.send_values(source, summary, (), now)

    def on_summary(self, summary: SyncSummary, source: str, now: float) -> bool:
        """Merge states and pull what is missing; return whether anything changed."""
        changed = False
        for status in summary.statuses:
            changed |= self._state.merge_claim(status, now, spread=False)
        pull = self._synchronizer.missing(summary, self._state.own)
        if pull is not None:
            self._state.outbox.send(source, pull, now)
        return changed

    def on_pull(self, request: PullRequest, sender: str, source: str, now: float) -> None:
        """Send the requested records and entries."""
        member = self._state.table.get(sender)
        audience = member.record.labels_digest if member else 0
        free_bytes = self._state.outbox.free_bytes(now)
        values = self._synchronizer.answer(request, self._state.own, audience, free_bytes)
        if values:
            self._state.outbox.send_values(source, Push(), values, now)

    def _begin(self, now: float) -> None:
        names = self._state.table.live_names()
        member = self._state.table.get(self._generator.choice(names)) if names else None
        if member is not None:
            request = self._synchronizer.request(self._state.own, self._generator)
            self._state.outbox.send(member.record.peer_address, request, now)
