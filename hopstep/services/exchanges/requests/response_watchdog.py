"""Cancels an attempt that may be repeated when its instance has become unresponsive."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.services.exchanges.pause_watch import PauseWatch

CHECK_SECONDS = 0.2
"""Seconds between two checks of the instance, which counts as unresponsive after a second."""


class ResponseWatchdog:
    """Watches the instance of one attempt.

    Attributes:
        fired: Whether the watchdog has cancelled the attempt.
    """

    def __init__(self, view: InstanceView, pauses: PauseWatch) -> None:
        """Create the watchdog; ``run`` starts it.

        Args:
            view: The instance.
            pauses: Detects pauses of the node's own process.
        """
        self.fired = False
        self._view = view
        self._pauses = pauses

    async def run(self, scope: trio.CancelScope) -> None:
        """Watch until cancelled; cancel ``scope`` when the instance is unresponsive."""
        while not self.fired:
            await trio.sleep(CHECK_SECONDS)
            self._pauses.check()
            if self._view.is_unresponsive(trio.current_time()):
                self.fired = True
                scope.cancel()
