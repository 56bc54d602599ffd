"""Structured logs: one JSON line for each catalogued event, by ``structlog``."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

from hopstep.log_events import LogEvent


def configure_logging(level: str, node: str, output: TextIO | None = None) -> None:
    """Send JSON lines to a text stream.

    Args:
        level: Lowest level that is written: debug, info, warning or error.
        node: Name of this process, a field of every line.
        output: Where lines go; standard error if None.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(output or sys.stderr),
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
