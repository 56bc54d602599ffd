"""What a kind of log line is made of."""

from __future__ import annotations

import enum

import msgspec


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogEvent(msgspec.Struct, frozen=True):
    """One kind of log line.

    Attributes:
        number: ``HS`` and four digits; never reused.
        name: Snake-case name, the ``event`` of the log line.
        level: Severity.
        fields: Names of the fields of the line.
        action: What an operator should do.
    """

    number: str
    name: str
    level: Level
    fields: tuple[str, ...]
    action: str
