"""Stages of a planned stop, which follow from the time until the process is killed."""

from __future__ import annotations

import msgspec

ACCEPT_SECONDS = 2.8
"""Longest time for which a stopping node serves every request: load balancers notice the stop
within two readiness checks."""

ACCEPT_SHARE = 1 / 3
"""Largest part of the grace time for that."""

ENDING_SECONDS = 1.0
"""Longest time that is reserved for closing connections and ending the process."""

ENDING_SHARE = 1 / 4
"""Largest part of the grace time for that."""

ANSWER_SHARE = 1 / 2
"""Part of the time for closing after which requests that still run are answered as unknown; the
rest is left for sending that answer."""

CLOSE_SECONDS = 2.0
"""Time for connections to end by themselves where nothing kills the process."""


class StopSchedule(msgspec.Struct, frozen=True):
    """When the stages of a planned stop end, in seconds.

    Attributes:
        accept_seconds: From the request to stop: until then all requests are served.
        drain_seconds: From the request to stop: until then requests are served that end by then.
        close_seconds: From the end of the drain: until then connections may end by themselves.
    """

    accept_seconds: float
    drain_seconds: float
    close_seconds: float = CLOSE_SECONDS

    @property
    def answer_seconds(self) -> float:
        """From the request to stop until requests that still run are answered as unknown."""
        return self.drain_seconds + ANSWER_SHARE * self.close_seconds

    @classmethod
    def within(cls, grace_seconds: float) -> StopSchedule:
        """Return the stages of a process that is killed some time after the request to stop.

        Args:
            grace_seconds: Time from the request to stop until the process is killed.
        """
        ending_seconds = min(ENDING_SECONDS, ENDING_SHARE * grace_seconds)
        return cls(
            accept_seconds=min(ACCEPT_SECONDS, ACCEPT_SHARE * grace_seconds),
            drain_seconds=grace_seconds - ending_seconds,
            close_seconds=ending_seconds / 2,
        )
