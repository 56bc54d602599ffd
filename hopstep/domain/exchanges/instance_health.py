"""Health of one instance: failures, latency, suspension, and silence."""

from __future__ import annotations

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

DEFAULT_LATENCY_SECONDS = 0.1
"""Expected latency without any observation."""


class InstanceHealth:
    """How an instance has responded to this node. Times are of the steady clock, in seconds.

    Attributes:
        latency_seconds: Moving average of the time to the first byte; 0 without an observation.
        failure_rate: Moving average of failures, 0 to 1.
        suspended_until: Until then it is sent nothing, as long as there are other instances.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.latency_seconds = 0.0
        self.failure_rate = 0.0
        self.suspended_until = 0.0
        self._failures = 0
        self._last_byte_at = 0.0
        self._waiting_since: dict[str, float] = {}

    @property
    def expected_latency(self) -> float:
        """Time from sending a request to its first byte, as observed, or a default."""
        return self.latency_seconds or DEFAULT_LATENCY_SECONDS

    def note_received_byte(self, now: float) -> None:
        """Note that a byte has arrived from the instance."""
        self._last_byte_at = now

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
            return
        self._failures += 1
        pause = FIRST_SUSPENSION_SECONDS * 2.0 ** (self._failures - 1)
        self.suspended_until = now + min(MAX_SUSPENSION_SECONDS, pause)

    def suspend(self, until: float) -> None:
        """Send it nothing before a time, as long as there are other instances."""
        self.suspended_until = max(self.suspended_until, until)

    def discount_pause(self, seconds: float) -> None:
        """Disregard a time in which this node was paused and received nothing."""
        self._last_byte_at += seconds
        for request_id in self._waiting_since:
            self._waiting_since[request_id] += seconds

    def _is_silent(self, pending_tokens: int, now: float) -> bool:
        """Return whether requests wait and nothing has arrived from the instance for too long.

        Args:
            pending_tokens: Prompt tokens that the instance has still to prefill.
            now: Steady clock.
        """
        if not self._waiting_since:
            return False
        oldest = min(self._waiting_since.values())
        patience = UNRESPONSIVE_SECONDS + pending_tokens * UNRESPONSIVE_SECONDS_PER_TOKEN
        return now - max(oldest, self._last_byte_at) > patience
