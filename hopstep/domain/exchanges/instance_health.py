"""Health of one instance: failures, latency, suspension, and silence.

Addresses engines that go silent without closing a connection: after a suspension an instance gets
one request at a time, so that a node loses one request to it and not all that it has waiting.
"""

from __future__ import annotations

from collections.abc import Mapping

from hopstep.domain.exchanges.backoff import doubled_seconds

FIRST_SUSPENSION_SECONDS = 0.4
"""Suspension after a first failure; each consecutive failure doubles it."""

MAX_SUSPENSION_SECONDS = 4.0
UNRESPONSIVE_SECONDS = 1.0
"""Time for which requests wait without a byte of any response, after which an instance counts as
unresponsive."""

UNRESPONSIVE_SECONDS_PER_TOKEN = 1.0 / 10_000
"""Further time for each pending prompt token, as an engine sends nothing during the prefill of long
prompts: a quarter of the usual speed."""

SMOOTHING = 0.2
"""Weight of the latest observation in moving averages."""

UNBOUNDED_SECONDS = 0.25
"""Time after each part of a long answer that may have no end in which others are preferred."""

DEFAULT_LATENCY_SECONDS = 0.1
"""Expected latency without any observation."""


class InstanceHealth:
    """How an instance has responded to this node. Times are of the steady clock, in seconds.

    Attributes:
        latency_seconds: Moving average of the time to the first byte; 0 without an observation.
        failure_rate: Moving average of failures, 0 to 1.
        suspended_until: Until then it is sent nothing, as long as there are other instances.
        ends_long_answers: Whether it has ended a long answer without a stated length, with no
            failure since.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.latency_seconds = 0.0
        self.failure_rate = 0.0
        self.suspended_until = 0.0
        self.ends_long_answers = False
        self._unbounded_until = 0.0
        self._failures = 0
        self._is_reported = False
        self._on_trial = False
        self._trial_request = ""
        self._last_byte_at = 0.0
        self._unanswered_since: dict[str, float] = {}
        self._streaming_since: dict[str, float] = {}

    @property
    def expected_latency(self) -> float:
        """Time from sending a request to its first byte, as observed, or a default."""
        return self.latency_seconds or DEFAULT_LATENCY_SECONDS

    def note_received_byte(self, now: float) -> None:
        """Note that a byte has arrived; it ends a trial, and a suspension by others' reports."""
        self._last_byte_at = now
        self._end_trial()
        if self._is_reported:
            self._is_reported = False
            self.suspended_until = 0.0
            self._failures = 0

    def note_reached(self, now: float) -> None:
        """Note that it accepts connections: what seemed its failure was that of a link to it."""
        self.note_received_byte(now)
        self._failures = 0
        self.suspended_until = 0.0

    def seconds_without_byte(self, now: float) -> float:
        """Return the time since the last byte from the instance."""
        return now - self._last_byte_at

    def succeeded(self, seconds: float) -> None:
        """Update the statistics after a complete response.

        Args:
            seconds: Time from sending the request to the first byte.
        """
        self._failures = 0
        self.suspended_until = 0.0
        self.failure_rate += SMOOTHING * (0.0 - self.failure_rate)
        known = self.latency_seconds or seconds
        self.latency_seconds = known + SMOOTHING * (seconds - known)

    def failed(self, now: float, *, unreachable: bool) -> None:
        """Update the statistics after a failure.

        Args:
            now: Steady clock.
            unreachable: Whether it couldn't be reached or the connection broke; otherwise it
                answered.
        """
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate)
        if not unreachable:
            self._end_trial()
            return
        self._failures += 1
        self.ends_long_answers = False
        self._is_reported = False
        self._on_trial = True
        self.suspended_until = now + _suspension_seconds(self._failures)

    def note_unbounded(self, now: float) -> None:
        """Note that it sends an answer that may have no end: others are preferred for a moment."""
        self._unbounded_until = now + UNBOUNDED_SECONDS

    def note_long_answer_ended(self) -> None:
        """Note that it has ended a long answer without a stated length."""
        self.ends_long_answers = True
        self._unbounded_until = 0.0

    def may_be_unbounded(self, now: float) -> bool:
        """Return whether it sends an answer that may have no end."""
        return now < self._unbounded_until

    def suspend(self, until: float) -> None:
        """Send it nothing before a time, as long as there are other instances."""
        self._on_trial = True
        self.suspended_until = max(self.suspended_until, until)

    def suspend_as_reported(self, seconds: float, now: float) -> None:
        """Suspend it as other nodes report that it doesn't respond to them.

        An own failure afterwards doubles the reported suspension.

        Args:
            seconds: Suspension that they report.
            now: Steady clock.
        """
        seconds = min(MAX_SUSPENSION_SECONDS, seconds)
        if now + seconds <= self.suspended_until:
            return
        while _suspension_seconds(self._failures) < seconds:
            self._failures += 1
        self._is_reported = True
        self.suspend(now + seconds)

    @property
    def awaits_trial(self) -> bool:
        """Whether it is on trial after a suspension, and the request that tries it is under way."""
        return self._on_trial and bool(self._trial_request)

    def _begin_trial(self, request_id: str) -> None:
        """Let a request try the instance if it is on trial."""
        if self._on_trial and not self._trial_request:
            self._trial_request = request_id

    def _leave_trial(self, request_id: str) -> None:
        """Let another request try the instance, since this one has ended."""
        if request_id == self._trial_request:
            self._trial_request = ""

    def _end_trial(self) -> None:
        """Return to normal use, since the instance responds."""
        self._on_trial = False
        self._trial_request = ""

    def discount_pause(self, seconds: float) -> None:
        """Disregard a time in which this node was paused and received nothing."""
        self._last_byte_at += seconds
        for since in (self._unanswered_since, self._streaming_since):
            for request_id in since:
                since[request_id] += seconds

    def expect_chunk(self, request_id: str, now: float) -> None:
        """Note that a stream waits for the next chunk, and no longer for its client to read."""
        self._streaming_since[request_id] = now

    def note_chunk(self, request_id: str, now: float) -> None:
        """Note that a chunk of a stream has arrived."""
        self._streaming_since.pop(request_id, None)
        self.note_received_byte(now)

    def end_stream(self, request_id: str) -> None:
        """Note that a stream has ended, or was left."""
        self._streaming_since.pop(request_id, None)

    def leaves_request_silent(self, request_id: str, now: float) -> bool:
        """Return whether one request has waited for a byte for too long, whatever others get."""
        waiting = self._unanswered_since.get(request_id, self._streaming_since.get(request_id, now))
        return now - waiting > UNRESPONSIVE_SECONDS

    def _leaves_unanswered(self, pending_tokens: int, now: float) -> bool:
        """Return whether requests wait for a first byte and no byte has arrived for too long.

        Args:
            pending_tokens: Prompt tokens that the instance has still to prefill.
            now: Steady clock.
        """
        return self._is_silent(self._unanswered_since, pending_tokens, self._last_byte_at, now)

    def _pauses_streams(self, pending_tokens: int, now: float, loading_until: float) -> bool:
        """Return whether streams that have begun wait and no byte has arrived for too long.

        Args:
            pending_tokens: Prompt tokens that the instance has still to prefill.
            now: Steady clock.
            loading_until: Until then it may pause streams, as it loads weights.
        """
        last_at = max(self._last_byte_at, loading_until)
        return self._is_silent(self._streaming_since, pending_tokens, last_at, now)

    def _is_silent(
        self, since: Mapping[str, float], pending_tokens: int, last_at: float, now: float
    ) -> bool:
        """Return whether requests have waited for too long, counted from ``last_at`` at least."""
        patience = UNRESPONSIVE_SECONDS + pending_tokens * UNRESPONSIVE_SECONDS_PER_TOKEN
        if not since or now - last_at <= patience:
            return False
        return now - max(last_at, min(since.values())) > patience


def _suspension_seconds(failures: int) -> float:
    """Return the suspension after a number of consecutive failures."""
    if not failures:
        return 0.0
    return doubled_seconds(FIRST_SUSPENSION_SECONDS, failures - 1, MAX_SUSPENSION_SECONDS)
