"""Whether a node that has just started may not have heard yet what others know of instances."""

from __future__ import annotations

NOT_EXPECTED = -float("inf")


class FirstPeerReport:
    """When the first word of another node is expected.

    Attributes:
        due_by: Until then it may still come, by the steady clock in seconds; in the past once it
            has come.
    """

    def __init__(self) -> None:
        """Expect none."""
        self.due_by = NOT_EXPECTED
        self._expected_by = NOT_EXPECTED

    def expect(self, due_by: float) -> None:
        """Expect the first word until a time, once there is another node."""
        self._expected_by = due_by

    def note_other_nodes(self) -> None:
        """Note that there are other nodes."""
        self.due_by = self._expected_by

    def note_received(self) -> None:
        """Note that another node has told what it knows."""
        self.due_by = NOT_EXPECTED
        self._expected_by = NOT_EXPECTED
