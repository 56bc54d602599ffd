"""Port to whoever is told of words of others that nothing here reads."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec


class WordPlace(enum.StrEnum):
    """Where a word stood."""

    ANSWER_HEAD = "answer_head"
    """A header of an instance's answer, or of a cache store's."""

    STORE_HEAD = "store_head"
    """A header of an answer of the store."""

    STORE_ANSWER = "store_answer"
    """A field of an answer of the store."""

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


class UnknownWord(msgspec.Struct, frozen=True):
    """A word that is neither read nor left unread on purpose.

    Attributes:
        place: Where it stood.
        name: The header's name in lower case, or the field's path.
        source: Address or key of who said it.
        status: HTTP status of the answer; 0 where there is none.
    """

    place: WordPlace
    name: str
    source: str
    status: int = 0


UnknownWordListener = Callable[[UnknownWord], None]


def ignore_unknown(_word: UnknownWord) -> None:
    """Take no notice."""
