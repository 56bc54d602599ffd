"""Load of one instance: requests and pending tokens of this node and of the others."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.load_ledger import REPORT_SECONDS, InstanceLoad
from hopstep.domain.exchanges.read_speed import MIN_OBSERVED_TOKENS, NO_READS, ReadSums, ReadWindow


class SentWork(msgspec.Struct, frozen=True):
    """A request before its first byte.

    Attributes:
        sent_at: When it was sent, by the steady clock in seconds.
        tokens_ahead: Prompt tokens that were pending at the instance; -1 when its time to the first
            byte doesn't show the instance's speed.
    """

    sent_at: float
    tokens_ahead: int


class InstanceLoadView:
    """Requests at an instance. Times are of the steady clock, in seconds.

    Attributes:
        active: Requests of this node in progress.
        pending_tokens: Prompt tokens of this node's requests that are still to be prefilled.
        used_tokens: Memory of this node's requests there until they end, in tokens.
    """

    def __init__(self, incarnation: str) -> None:
        """Start without load.

        Args:
            incarnation: The instance's incarnation, as ``str(InstanceIncarnation)``.
        """
        self.incarnation = incarnation
        self.active = 0
        self.pending_tokens = 0
        self.used_tokens = 0
        self._sent: dict[str, SentWork] = {}
        self._reads = ReadWindow()
        self._no_load = InstanceLoad(incarnation)
        self._others = self._no_load
        self._others_at = -REPORT_SECONDS

    def total_active(self, now: float) -> int:
        """Return the requests of all nodes at the instance, as far as known."""
        return self.active + self._others_now(now).active

    def total_pending_tokens(self, now: float) -> int:
        """Return the prompt tokens of all nodes still to be prefilled, as far as known."""
        return self.pending_tokens + self._others_now(now).pending_tokens

    def total_used_tokens(self, now: float) -> int:
        """Return the memory in tokens of the requests of all nodes, as far as known."""
        return self.used_tokens + self._others_now(now).used_tokens

    def read_sums(self, now: float) -> ReadSums:
        """Return the recent prefills of all nodes' prompts, as far as known."""
        own, others = self._reads.sums(now), self._others_now(now)
        if not others.expected_read_ms:
            return own
        return ReadSums(
            own.read_ms + others.read_ms, own.expected_read_ms + others.expected_read_ms
        )

    def avoided_by(self, now: float) -> int:
        """Return how many other nodes avoid the instance now."""
        return self._others_now(now).avoided_by

    def set_load_of_others(self, load: InstanceLoad | None, now: float) -> None:
        """Set the load of all other nodes; None for none."""
        self._others = load or self._no_load
        self._others_at = now

    def has_own_load(self, now: float) -> bool:
        """Return whether this node has requests there, or has lately observed its speed."""
        return self.active != 0 or self._reads.sums(now) is not NO_READS

    def own_load(self, now: float, *, avoided: bool) -> InstanceLoad:
        """Return what this node reports to others.

        Args:
            now: Steady clock.
            avoided: Whether this node sends it nothing now.
        """
        reads = self._reads.sums(now)
        return InstanceLoad(
            self.incarnation,
            self.active,
            self.pending_tokens,
            int(avoided),
            reads.read_ms,
            reads.expected_read_ms,
            self.used_tokens,
        )

    def _add_request(self, request_id: str, tokens: int, now: float, *, is_observed: bool) -> None:
        """Count a request that is sent.

        Args:
            request_id: Id of the request.
            tokens: Its prompt tokens to be prefilled.
            now: Steady clock.
            is_observed: Whether its time to the first byte shows the instance's speed.
        """
        ahead = self.total_pending_tokens(now) if is_observed else -1
        self.active += 1
        self.pending_tokens += tokens
        self._sent[request_id] = SentWork(now, ahead)

    def _end_prefill(self, request_id: str, tokens: int) -> SentWork | None:
        """Count a request's prompt as prefilled or dropped; None when it was already."""
        work = self._sent.pop(request_id, None)
        if work is not None:
            self.pending_tokens -= tokens
        return work

    def _observe(self, work: SentWork, tokens: int, now: float) -> None:
        """Observe the time to the first byte of a prompt with much work."""
        read_tokens = work.tokens_ahead + tokens
        if work.tokens_ahead >= 0 and read_tokens >= MIN_OBSERVED_TOKENS:
            self._reads.add(now - work.sent_at, read_tokens, now)

    def discount_pause(self, seconds: float) -> None:
        """Disregard a time in which this node was paused and received nothing."""
        for request_id, work in self._sent.items():
            later = msgspec.structs.replace(work, sent_at=work.sent_at + seconds)
            self._sent[request_id] = later

    def _others_now(self, now: float) -> InstanceLoad:
        """Return the load of other nodes, or no load when the report is too old."""
        return self._others if now - self._others_at <= REPORT_SECONDS else self._no_load
