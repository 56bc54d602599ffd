"""The finding that validation of a configuration gives."""

from __future__ import annotations

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """A broken rule.

    Attributes:
        field: Path of the field, such as ``tenants[2].selector``.
        message: What was expected and what is there; never holds keys.
    """

    field: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.field}: {self.message}"
