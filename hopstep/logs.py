"""Structured logs: one JSON line for each catalogued event, by ``structlog``."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, MutableMapping
from typing import Any, Protocol

import structlog

from hopstep.clock import steady_seconds
from hopstep.log_events.event import LogEvent

LINES_PER_SECOND = 100.0
"""Lines of one event that are written per second; further ones are dropped and counted."""

DROPPED_FIELD = "dropped_before"
"""Field of a line: number of lines of the same event that were dropped before it."""


class TextOutput(Protocol):
    """Output stream of log lines."""

    def write(self, text: str, /) -> int:
        """Write text, or buffer it."""

    def flush(self) -> None:
        """Write buffered text."""


class LineBudget:
    """Limits the rate of each event's lines, so that frequent events don't displace others.

    A processor of ``structlog``: it drops lines beyond the rate, and the next line of the same
    event carries the number of dropped ones.
    """

    def __init__(
        self,
        lines_per_second: float = LINES_PER_SECOND,
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        """Start with a full budget for each event.

        Args:
            lines_per_second: Rate for each event, also the largest burst in lines.
            clock: Steady clock, seconds.
        """
        self._rate = lines_per_second
        self._clock = clock
        self._left: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line if the budget allows it; raise ``DropEvent`` otherwise."""
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
    """Configure logging as JSON lines on a text stream.

    Args:
        level: Lowest level that is written: debug, info, warning or error.
        node: Name of this process, a field of every line.
        output: Output stream; standard error if None.
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
        **fields: Values of the event's declared fields.

    Raises:
        ValueError: When a field isn't declared in the catalogue.
    """
    undeclared = set(fields) - set(event.fields)
    if undeclared:
        raise ValueError(f"event {event.number} does not declare the fields {sorted(undeclared)}")
    logger = structlog.get_logger()
    getattr(logger, event.level.value)(event.name, number=event.number, **fields)
