"""Converts log records of libraries into one catalogued event.

A library's message may quote request data, so only its origin and the error's type are logged,
never its text.
"""

from __future__ import annotations

import logging

from hopstep.log_events.process import LIBRARY_WARNING
from hopstep.logs import emit


class LibraryLogHandler(logging.Handler):
    """Writes an event for each warning or error of a library."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write the event of one record."""
        error_type = record.exc_info[0] if record.exc_info else None
        emit(
            LIBRARY_WARNING,
            library=record.name,
            severity=record.levelname.lower(),
            error_type=error_type.__name__ if error_type else "",
            location=f"{record.module}:{record.lineno}",
        )


def capture_library_logs() -> None:
    """Send warnings and errors of all libraries to ``LibraryLogHandler``; drop lower levels."""
    root = logging.getLogger()
    root.handlers = [LibraryLogHandler()]
    root.setLevel(logging.WARNING)
