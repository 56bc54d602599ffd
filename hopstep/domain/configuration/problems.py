"""Result type of the validation of a configuration."""

from __future__ import annotations

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """A violation of a validation rule.

    Attributes:
        field: Path of the field, such as ``tenants[2].selector``.
        message: Expected and actual value; never contains keys.
    """

    field: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.field}: {self.message}"
