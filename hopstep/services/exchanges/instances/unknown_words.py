"""Counts unrecognized values in messages of others, and logs each name once."""

from __future__ import annotations

from collections.abc import Callable

from hopstep import log_events
from hopstep.logs import emit
from hopstep.ports.unknown_words import UnknownWord, WordPlace

MAX_NAMES = 256
"""Most names that one process logs; further ones are only counted."""

MAX_NAME_LENGTH = 80


class UnrecognizedValues:
    """Receives unrecognized values from all adapters."""

    def __init__(self) -> None:
        """Start without any received value."""
        self._logged: set[tuple[WordPlace, str]] = set()
        self._count: Callable[[str], None] = lambda _place: None

    def count_with(self, count: Callable[[str], None]) -> None:
        """Set the function that counts each value; it is called with the value's place."""
        self._count = count

    def note(self, unrecognized: UnknownWord) -> None:
        """Count one value, and log its name at its first occurrence."""
        self._count(unrecognized.place.value)
        name = unrecognized.name[:MAX_NAME_LENGTH]
        if (unrecognized.place, name) in self._logged or len(self._logged) >= MAX_NAMES:
            return
        self._logged.add((unrecognized.place, name))
        emit(
            log_events.WORD_UNKNOWN,
            place=unrecognized.place.value,
            name=name,
            source=unrecognized.source,
            status=unrecognized.status,
        )
