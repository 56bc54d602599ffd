"""Decoding of operators' documents, with errors that name the field."""

from __future__ import annotations

import re
from typing import TypeVar

import msgspec

from hopstep.exceptions import ErrorCode, ValidationError

Document = TypeVar("Document")

_PATH_PATTERN = re.compile(r"^(?P<message>.*?)(?: - at `\$\.?(?P<path>.*)`)?$", re.DOTALL)
_UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `(?P<name>[^`]*)`")


def convert_document(
    value: object, document_type: type[Document], code: ErrorCode = ErrorCode.INVALID_CONFIGURATION
) -> Document:
    """Convert decoded TOML, JSON or CBOR to a typed document.

    Args:
        value: Maps, lists and scalars.
        document_type: Type to build.
        code: Code of the error.

    Raises:
        ValidationError: On an unknown field or a wrong type; ``field`` is its path.
    """
    try:
        return msgspec.convert(value, document_type, strict=True)
    except msgspec.ValidationError as error:
        raise _with_path(str(error), code) from None


def _with_path(text: str, code: ErrorCode) -> ValidationError:
    """Return a validation error with the message and path of a decoding error."""
    match = _PATH_PATTERN.match(text)
    message = match["message"] if match else text
    path = (match["path"] or "") if match else ""
    unknown = _UNKNOWN_FIELD_PATTERN.search(message)
    if unknown:
        path = f"{path}.{unknown['name']}" if path else unknown["name"]
    return ValidationError(code, message, path)
