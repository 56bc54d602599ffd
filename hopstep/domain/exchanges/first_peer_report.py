"""Whether a node that has just started still lacks the other nodes' reports about instances."""

from __future__ import annotations

NOT_EXPECTED = -float("inf")


class FirstPeerReport:
    """Until when the first report of another node is expected.

    Attributes:
        due_by: Until then it may still arrive, by the steady clock in seconds; in the past once
            it has arrived.
    """

    def __init__(self) -> None:
        """Start without expecting a report."""
        self.due_by = NOT_EXPECTED
        self._expected_by = NOT_EXPECTED

    def expect(self, due_by: float) -> None:
        """Expect the first report until a time, once there is another node."""
        self._expected_by = due_by

    def note_other_nodes(self) -> None:
        """Note that there are other nodes."""
        self.due_by = self._expected_by

    def note_received(self) -> None:
        """Note that another node has sent its first report."""
        self.due_by = NOT_EXPECTED
        self._expected_by = NOT_EXPECTED
