"""What is logged of an unexpected error: never its text, which may quote a request."""

from __future__ import annotations

import traceback
from collections.abc import Iterator


def flatten(error: BaseException) -> Iterator[BaseException]:
    """Yield the individual errors of a possibly nested exception group."""
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            yield from flatten(part)
    else:
        yield error


def describe_unexpected(error: BaseException) -> str:
    """Return the type and the place of an error that isn't declared, without its text."""
    return f"{type(error).__name__} at {location(error)}"


def location(error: BaseException) -> str:
    """Return the function and the line that raised an error; empty when unknown."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
