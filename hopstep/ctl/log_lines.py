"""Lines of nodes' logs, as ``trace`` reads them."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from hopstep.exceptions import ErrorCode, ValidationError

REQUEST_FIELD = "request_id"
FINGERPRINT_FIELD = "fingerprint"
NODE_FIELD = "node"
NUMBER_FIELD = "number"
TIME_FIELD = "timestamp"


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: Time of day, seconds since the epoch.
        node: Node that wrote it.
        number: Number of its event.
        fields: All fields.
    """

    at: float
    node: str
    number: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line for a person."""
        hidden = {NODE_FIELD, NUMBER_FIELD, TIME_FIELD, REQUEST_FIELD, "event", "level"}
        shown = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in hidden)
        time = self.fields.get(TIME_FIELD, "")
        return f"{time} {self.node} {self.number} {self.fields.get('event', '')} {shown}"


def read_log(path: Path) -> Iterable[LogLine]:
    """Yield the lines of a log that are events; text before the first brace is ignored."""
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise ValidationError(
            ErrorCode.INVALID_SETTINGS, f"{path}: {error.strerror}", "--logs"
        ) from error
    for line in text.splitlines():
        _, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.datetime.fromisoformat(fields[TIME_FIELD]).timestamp()
            yield LogLine(at, fields[NODE_FIELD], fields[NUMBER_FIELD], fields)
        except (ValueError, KeyError, TypeError):
            continue
