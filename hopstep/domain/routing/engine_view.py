"""One router's view of one engine: its facts, its load, whether it can be reached.

Load reports lag. Between reports the view adds what this router itself has sent since the
report was taken, and lets reported work drain at the expected prefill speed.
"""

from __future__ import annotations

import math

import msgspec

from hopstep.domain.announced_state import AnnouncedState
from hopstep.domain.engines import EngineFacts, EngineRole, LoadReport

BACKOFF_BASE_SECONDS = 0.5
"""Time in seconds for which an engine is avoided after a first failure."""

RATE_TIME_CONSTANT_SECONDS = 4.0
"""Time constant, in seconds, of the rate at which this router sends work to an engine."""

MAX_REPORT_AGE_SECONDS = 5.0
"""Age in seconds beyond which a load report is disregarded."""

UNREPORTED_INFLOW_SECONDS = 0.6
"""Time in seconds: of what the other routers send, at most the inflow of this time is expected to
be unfinished."""

BACKOFF_LIMIT_SECONDS = 8.0
"""Longest time in seconds for which an engine is avoided after a failure."""


class Dispatch(msgspec.Struct):
    """An attempt that this router has sent and that hasn't ended.

    Attributes:
        sent_at: When it was sent.
        prefill_tokens: Prompt tokens that it was expected to recompute.
        priority: Lower numbers go first.
        started: Whether its first token has come.
    """

    sent_at: float
    prefill_tokens: int
    priority: int
    started: bool = False


class WaitFactors(msgspec.Struct, frozen=True):
    """What the expected wait of a new request depends on, besides the engine.

    Attributes:
        priority: Its priority; lower numbers go first.
        share_before: Share of other work that is expected to go before it.
        prefill_tokens_per_second: Speed at which work drains.
        other_routers: Routers that send to the engines besides this one.
    """

    priority: int
    share_before: float
    prefill_tokens_per_second: float
    other_routers: int


class EngineView:
    """State of one engine as last seen; times are in seconds of the router's monotonic clock."""

    def __init__(self) -> None:
        """Start without any facts; an engine without facts may be tried."""
        self.facts: EngineFacts | None = None
        self.announced_state = AnnouncedState()
        self._announced_state_incarnation = ""
        self._report = LoadReport()
        self._report_at = float("-inf")
        self._dispatches: dict[str, Dispatch] = {}
        self._failures = 0
        self._avoid_until = float("-inf")
        self._rate = 0.0
        self._rate_at = 0.0

    @property
    def incarnation(self) -> str:
        """Incarnation last seen; empty before the first facts."""
        return self.facts.incarnation if self.facts else ""

    @property
    def leaving(self) -> bool:
        """Whether the engine announced that it must get no new work."""
        return self.facts is not None and self.facts.leaving

    def serves(self, model: str, weights_version: str) -> bool:
        """Return whether the engine may have these weights; unknown engines may."""
        if self.facts is None:
            return True
        if self.facts.role is not EngineRole.SERVING:
            return False
        return self.facts.weights.get(model) == weights_version

    def update_facts(self, facts: EngineFacts, now: float) -> None:
        """Store newer facts; they end a backoff, and a new incarnation has no announced state."""
        if self._announced_state_incarnation not in ("", facts.incarnation):
            self.announced_state = AnnouncedState()
        self._announced_state_incarnation = facts.incarnation
        self.facts = facts
        self._failures = 0
        self._avoid_until = float("-inf")
        taken_at = now - facts.load.age_seconds
        if taken_at >= self._report_at:
            self._report = facts.load
            self._report_at = taken_at

    def record_dispatch(self, nonce: str, prefill_tokens: int, priority: int, now: float) -> None:
        """Count an attempt that has just been sent."""
        self._dispatches[nonce] = Dispatch(now, prefill_tokens, priority)
        self._rate = self._own_rate(now) + prefill_tokens / RATE_TIME_CONSTANT_SECONDS
        self._rate_at = now

    def _own_rate(self, now: float) -> float:
        """Return the decayed rate of prompt tokens that this router has sent to be computed."""
        return self._rate * math.exp((self._rate_at - now) / RATE_TIME_CONSTANT_SECONDS)

    def record_first_token(self, nonce: str) -> None:
        """Record that an attempt's prefill is over, which also proves the engine alive."""
        dispatch = self._dispatches.get(nonce)
        if dispatch is not None:
            dispatch.started = True
        self._failures = 0
        self._avoid_until = float("-inf")

    def record_end(self, nonce: str) -> None:
        """Forget an attempt that has ended, however it ended."""
        self._dispatches.pop(nonce, None)

    def record_failure(self, now: float) -> None:
        """Avoid the engine for a time that doubles with each failure in a row."""
        backoff = min(BACKOFF_BASE_SECONDS * 2**self._failures, BACKOFF_LIMIT_SECONDS)
        self._failures += 1
        self._avoid_until = now + backoff

    def is_suspect(self, now: float) -> bool:
        """Return whether the engine is being avoided after a failure."""
        return now < self._avoid_until

    def requests(self) -> int:
        """Return the expected number of requests that the engine runs and queues."""
        reported = self._report.running + self._report.waiting
        unreported = sum(
            1 for dispatch in self._dispatches.values() if dispatch.sent_at > self._report_at
        )
        return max(reported + unreported, len(self._dispatches))

    def waiting_prefill_tokens(self, now: float, factors: WaitFactors) -> float:
        """Return the prompt tokens expected to be prefilled before a new request's own.

        Args:
            now: Time.
            factors: What the request's wait depends on.
        """
        own = 0
        unreported = 0
        for dispatch in self._dispatches.values():
            if dispatch.started or dispatch.priority > factors.priority:
                continue
            own += dispatch.prefill_tokens
            if dispatch.sent_at > self._report_at:
                unreported += dispatch.prefill_tokens
        return max(self._reported_tokens(now, factors) + unreported, float(own))

    def _reported_tokens(self, now: float, factors: WaitFactors) -> float:
        """Return the reported work that remains, and what other routers have sent since.

        Reports lag, and work that the other routers send in between isn't in them. They are
        expected to send at this router's average rate, as equal prefixes lead all routers to the
        same engines.
        """
        elapsed = now - self._report_at
        if elapsed > MAX_REPORT_AGE_SECONDS:
            return 0.0
        inflow = factors.other_routers * self._own_rate(now) * factors.share_before
        drained = (factors.prefill_tokens_per_second - inflow) * elapsed
        unseen = inflow * min(elapsed, UNREPORTED_INFLOW_SECONDS)
        return max(self._report.waiting_prefill_tokens * factors.share_before - drained, unseen)
