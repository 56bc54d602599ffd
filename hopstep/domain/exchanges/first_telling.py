"""Whether a node that has just started may not have heard yet what others know of instances."""

from __future__ import annotations


class FirstTelling:
    """When the first word of another node is expected.

    Attributes:
        due_by: Until then it may still come, by the steady clock in seconds; in the past once it
            has come.
    """

    def __init__(self) -> None:
        """Expect none."""
        self.due_by = -float("inf")

    def expect(self, due_by: float) -> None:
        """Expect the first word until a time."""
        self.due_by = due_by

    def note_told(self) -> None:
        """Note that another node has told what it knows."""
        self.due_by = -float("inf")
