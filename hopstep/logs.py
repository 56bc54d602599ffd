"""Structured logs: one JSON line for each catalogued event, by ``structlog``."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, MutableMapping
from typing import Any, Protocol

import structlog

from hopstep.clock import steady_seconds
from hopstep.log_events import LogEvent

LINES_PER_SECOND = 100.0
"""Lines of one kind of event that are written in a second; further ones are counted."""

DROPPED_FIELD = "dropped_before"
"""Field of a line: how many of its kind were dropped before it."""


class TextOutput(Protocol):
    """Where lines go."""

    def write(self, text: str, /) -> int:
        """Take text."""

    def flush(self) -> None:
        """Write what waits."""


class LineBudget:
    """Bounds the lines of each kind of event, so that no kind drowns another.

    A processor of ``structlog``: it drops a line beyond the budget and tells with the next one of
    its kind how many were dropped.
    """

    def __init__(
        self,
        lines_per_second: float = LINES_PER_SECOND,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        """Start with a full budget for each kind.

        Args:
            lines_per_second: Rate, and the most lines that may come at once.
            clock: Steady clock, seconds.
        """
        self._rate = lines_per_second
        self._clock = clock
        self._left: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Let a line pass, or raise ``DropEvent``."""
        number = str(line.get("number", ""))
        now = self._clock()
        left, at = self._left.get(number, (self._rate, now))
        left = min(self._rate, left + (now - at) * self._rate)
        if left < 1.0:
            self._left[number] = (left, now)
            self._dropped[number] = self._dropped.get(number, 0) + 1
            raise structlog.DropEvent
        self._left[number] = (left - 1.0, now)
        dropped = self._dropped.pop(number, 0)
        if dropped:
            line[DROPPED_FIELD] = dropped
        return line


def configure_logging(level: str, node: str, output: TextOutput | None = None) -> None:
    """Send JSON lines to a text stream.

    Args:
        level: Lowest level that is written: debug, info, warning or error.
        node: Name of this process, a field of every line.
        output: Where lines go; standard error if None.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            LineBudget(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def emit(event: LogEvent, **fields: Any) -> None:
    """Write one catalogued event.

    Args:
        event: Entry of ``hopstep.log_events``.
        **fields: Values of the event's declared fields, and no others.

    Raises:
        ValueError: When a field isn't declared in the catalogue.
    """
    undeclared = set(fields) - set(event.fields)
    if undeclared:
        raise ValueError(f"{event.number} has no fields {sorted(undeclared)}")
    logger = structlog.get_logger()
    getattr(logger, event.level.value)(event.name, number=event.number, **fields)
