"""Token bucket over the bytes that one node sends to its peers."""

from __future__ import annotations


class ByteBudget:
    """Bounds sent bytes to ``rate * seconds + 2 * burst`` over any span.

    Essential messages (heartbeats, acks) may overdraw the bucket by one burst; everything else
    waits until the bucket is above zero.
    """

    def __init__(self, bytes_per_second: float, burst_seconds: float, now: float) -> None:
        """Start with a full bucket.

        Args:
            bytes_per_second: Rate at which it fills.
            burst_seconds: Seconds of the rate that may be sent at once.
            now: Current time in seconds.
        """
        self._rate = bytes_per_second
        self._burst = bytes_per_second * burst_seconds
        self._level = self._burst
        self._filled_at = now

    def available(self, now: float) -> int:
        """Return the bytes that may be sent now without overdraft."""
        elapsed = max(0.0, now - self._filled_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._filled_at = now
        return int(self._level)

    def overdraft(self, now: float) -> int:
        """Return the bytes that essential messages may take now."""
        return int(self.available(now) + self._burst)

    def spend(self, size: int, now: float, *, essential: bool) -> bool:
        """Take ``size`` bytes if the bucket allows them; return whether it did."""
        available = self.available(now)
        floor = -self._burst if essential else 0.0
        if available - size < floor:
            return False
        self._level -= size
        return True
