"""Load of one instance: requests and pending tokens of this node and of the others."""

from __future__ import annotations

from hopstep.domain.exchanges.load_ledger import REPORT_SECONDS, InstanceLoad


class InstanceLoadView:
    """Requests at an instance. Times are of the steady clock, in seconds.

    Attributes:
        active: Requests of this node in progress.
        pending_tokens: Prompt tokens of this node's requests that are still to be prefilled.
    """

    def __init__(self, incarnation: str) -> None:
        """Start without load.

        Args:
            incarnation: The instance's incarnation, as ``str(InstanceIncarnation)``.
        """
        self.incarnation = incarnation
        self.active = 0
        self.pending_tokens = 0
        self._no_load = InstanceLoad(incarnation)
        self._others = self._no_load
        self._others_at = -REPORT_SECONDS

    def total_active(self, now: float) -> int:
        """Return the requests of all nodes at the instance, as far as known."""
        return self.active + self._others_now(now).active

    def total_pending_tokens(self, now: float) -> int:
        """Return the prompt tokens of all nodes still to be prefilled, as far as known."""
        return self.pending_tokens + self._others_now(now).pending_tokens

    def avoided_by(self, now: float) -> int:
        """Return how many other nodes avoid the instance now."""
        return self._others_now(now).avoided_by

    def set_load_of_others(self, load: InstanceLoad | None, now: float) -> None:
        """Set the load of all other nodes; None for none."""
        self._others = load or self._no_load
        self._others_at = now

    def _others_now(self, now: float) -> InstanceLoad:
        """Return the load of other nodes, or no load when the report is too old."""
        return self._others if now - self._others_at <= REPORT_SECONDS else self._no_load
