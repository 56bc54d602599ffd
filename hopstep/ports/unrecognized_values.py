"""Port to listeners for unrecognized headers and fields of other programs."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec


class ValueLocation(enum.StrEnum):
    """Kind of message or document in which a value was found."""

    ANSWER_HEAD = "answer_head"
    """A header of an instance's or a cache store's response."""

    STORE_HEAD = "store_head"
    """A header of the store's response."""

    STORE_ANSWER = "store_answer"
    """A field of the store's response."""

    REPORT = "report"
    """A field of an engine's report."""

    CACHE_EVENTS = "cache_events"
    """A field of a batch of cache events."""

    ENTRY = "entry"
    """A field of an instance's entry."""

    CONFIGURATION = "configuration"
    """A field of the operators' configuration."""

    WEIGHTS = "weights"
    """A field of named weights."""


class UnrecognizedValue(msgspec.Struct, frozen=True):
    """A header or field that is neither read nor ignored on purpose.

    Attributes:
        location: Where it was found.
        name: The header's name in lower case, or the field's path.
        source: Address of the sender, or key of the document.
        status: HTTP status of the response; 0 for a field.
    """

    location: ValueLocation
    name: str
    source: str
    status: int = 0


UnrecognizedValueListener = Callable[[UnrecognizedValue], None]


def ignore_unrecognized(_value: UnrecognizedValue) -> None:
    """Do nothing."""
