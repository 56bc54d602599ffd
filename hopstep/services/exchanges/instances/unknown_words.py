"""Counts unrecognized values in messages of others, and logs each name once."""

from __future__ import annotations

from collections.abc import Callable

from hopstep.log_events.instances import WORD_UNKNOWN
from hopstep.logs import emit
from hopstep.ports.unrecognized_values import UnrecognizedValue, ValueLocation

MAX_NAMES = 256
"""Most names that one process logs; further ones are only counted."""

MAX_NAME_LENGTH = 80


class UnrecognizedValues:
    """Receives unrecognized values from all adapters."""

    def __init__(self) -> None:
        """Start without any received value."""
        self._logged: set[tuple[ValueLocation, str]] = set()
        self._count: Callable[[str], None] = lambda _place: None

    def count_with(self, count: Callable[[str], None]) -> None:
        """Set the function that counts each value; it is called with the value's place."""
        self._count = count

    def note(self, unrecognized: UnrecognizedValue) -> None:
        """Count one value, and log its name at its first occurrence."""
        self._count(unrecognized.location.value)
        name = unrecognized.name[:MAX_NAME_LENGTH]
        if (unrecognized.location, name) in self._logged or len(self._logged) >= MAX_NAMES:
            return
        self._logged.add((unrecognized.location, name))
        emit(
            WORD_UNKNOWN,
            place=unrecognized.location.value,
            name=name,
            source=unrecognized.source,
            status=unrecognized.status,
        )
