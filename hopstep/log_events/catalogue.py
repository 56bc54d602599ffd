"""All events together."""

from __future__ import annotations

from types import ModuleType

from hopstep.log_events import (
    configuration,
    http_api,
    instances,
    limits,
    membership,
    process,
    requests,
)
from hopstep.log_events.event import LogEvent

MODULES: tuple[ModuleType, ...] = (
    configuration,
    http_api,
    instances,
    limits,
    membership,
    process,
    requests,
)


def catalogue() -> tuple[LogEvent, ...]:
    """Return all events, ordered by number."""
    values = [value for module in MODULES for value in vars(module).values()]
    events = [value for value in values if isinstance(value, LogEvent)]
    return tuple(sorted(events, key=lambda event: event.number))
