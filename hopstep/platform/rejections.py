"""Turns a decoder's error into the reason why a document is rejected."""

from __future__ import annotations

import re

import msgspec

from hopstep.error_reports import describe_unexpected
from hopstep.ports.serving_directory import RejectReason

FIELD_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")
"""Path of the faulty field in the decoder's message."""

MISSING_FIELD = re.compile(r"missing required field `(?P<name>[^`]+)`")
WRONG_TYPE = re.compile(r"^Expected `[^`]+`, got ")

MAX_DETAIL = 200
"""Characters; bounds log lines, as the decoder may repeat a part of the document."""


class Rejection(msgspec.Struct, frozen=True):
    """Why a document is rejected.

    Attributes:
        reason: Kind of fault.
        field: Path of the field at fault; empty when there is none.
        detail: What was expected, as text for operators.
    """

    reason: RejectReason
    field: str
    detail: str


class FieldValueError(Exception):
    """A field has an invalid value.

    Args:
        field: Name of the field.
        detail: What was expected.
    """

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(detail)
        self.field = field
        self.detail = detail


DECODING_ERRORS = (msgspec.DecodeError, FieldValueError, UnicodeDecodeError, RecursionError)
"""Exceptions that decoding a document may raise."""


def rejection_of(error: Exception) -> Rejection:
    """Return the rejection for an error that the reader of a document raised."""
    if not isinstance(error, DECODING_ERRORS):
        return Rejection(RejectReason.UNEXPECTED, "", describe_unexpected(error))
    if isinstance(error, FieldValueError):
        return Rejection(RejectReason.FIELD_VALUE, error.field, error.detail)
    detail = str(error)[:MAX_DETAIL]
    if not isinstance(error, msgspec.ValidationError):
        return Rejection(RejectReason.UNREADABLE, "", detail)
    path = FIELD_PATH.search(str(error))
    field = path["path"] if path is not None else ""
    missing = MISSING_FIELD.search(str(error))
    if missing is not None:
        name = ".".join(part for part in (field, missing["name"]) if part)
        return Rejection(RejectReason.FIELD_MISSING, name, detail)
    wrong = WRONG_TYPE.search(str(error)) is not None
    return Rejection(RejectReason.FIELD_TYPE if wrong else RejectReason.FIELD_VALUE, field, detail)
