"""Ends an attempt that may be repeated when its instance has fallen silent."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.services.exchanges.pause_watch import PauseWatch

LOOK_SECONDS = 0.2
"""Between two looks at the instance, whose silence counts from a second on."""


class SilenceWatchdog:
    """Watches the instance of one attempt.

    Attributes:
        fired: Whether it has ended the attempt.
    """

    def __init__(self, view: InstanceView, pauses: PauseWatch) -> None:
        """Watch nothing yet.

        Args:
            view: The instance.
            pauses: Notices pauses of the node itself.
        """
        self.fired = False
        self._view = view
        self._pauses = pauses

    async def run(self, scope: trio.CancelScope) -> None:
        """Watch until cancelled; cancel ``scope`` when the instance is silent."""
        while not self.fired:
            await trio.sleep(LOOK_SECONDS)
            self._pauses.look()
            if self._view.is_unresponsive(trio.current_time()):
                self.fired = True
                scope.cancel()
