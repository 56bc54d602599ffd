"""Logs and counts words of others that nothing here reads, once a name."""

from __future__ import annotations

from collections.abc import Callable

from hopstep import log_events
from hopstep.logs import emit
from hopstep.ports.unrecognized_values import UnrecognizedValue, ValueLocation

MAX_NAMES = 256
"""Names that are logged by one process; more are counted only."""

MAX_NAME_LENGTH = 80


class UnknownWords:
    """Takes unknown words of all adapters."""

    def __init__(self) -> None:
        """Have been told of none."""
        self._logged: set[tuple[ValueLocation, str]] = set()
        self._count: Callable[[str], None] = lambda _place: None

    def count_with(self, count: Callable[[str], None]) -> None:
        """Count each word, by its place, with a function."""
        self._count = count

    def note(self, word: UnrecognizedValue) -> None:
        """Take one word."""
        self._count(word.location.value)
        name = word.name[:MAX_NAME_LENGTH]
        if (word.location, name) in self._logged or len(self._logged) >= MAX_NAMES:
            return
        self._logged.add((word.location, name))
        emit(
            log_events.WORD_UNKNOWN,
            place=word.location.value,
            name=name,
            source=word.source,
            status=word.status,
        )
