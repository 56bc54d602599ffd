"""Cancels an attempt when its instance is silent and another one can go on with the request.

A healthy instance may be silent for a second or so; without another one, waiting is all that helps.
"""

from __future__ import annotations

from collections.abc import Callable

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

    def __init__(
        self,
        view: InstanceView,
        request_id: str,
        pauses: PauseWatch,
        uses_cut_link: Callable[[], bool],
        can_go_on: Callable[[], bool],
    ) -> None:
        """Create the watchdog; ``run`` starts it.

        Args:
            view: The instance.
            request_id: Id of the attempt's request.
            pauses: Detects pauses of the node's own process.
            uses_cut_link: Returns whether the attempt's connection uses a link that is cut. Other
                requests may then get responses from the instance, through other nodes.
            can_go_on: Returns whether the request can go on at another instance now.
        """
        self.fired = False
        self._view = view
        self._request_id = request_id
        self._pauses = pauses
        self._uses_cut_link = uses_cut_link
        self._can_go_on = can_go_on

    async def run(self, scope: trio.CancelScope) -> None:
        """Watch until cancelled; cancel ``scope`` when another instance does better."""
        while not self.fired:
            await trio.sleep(CHECK_SECONDS)
            self._pauses.check()
            if self._is_silent(trio.current_time()) and self._can_go_on():
                self.fired = True
                scope.cancel()

    def _is_silent(self, now: float) -> bool:
        """Return whether the instance, or the link of the attempt to it, is silent."""
        if self._view.is_unresponsive(now):
            return True
        return self._uses_cut_link() and self._view.leaves_request_silent(self._request_id, now)
