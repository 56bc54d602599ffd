"""Forms in which an instance may repeat the identifier of a request.

Identifiers are bytes, and an answer repeats them. Libraries read headers as text in ISO-8859-1, and
some write them in UTF-8: the identifier then comes back with two bytes for each one above 0x7f.
"""

from __future__ import annotations

from collections.abc import Sequence

from hopstep.platform import names

WRITTEN_ENCODING = "utf-8"
"""Encoding in which some libraries write the text that they have read."""

Headers = Sequence[tuple[bytes, bytes]]


def repeated_forms(identifier: bytes) -> tuple[bytes, ...]:
    """Return the forms in which an answer may repeat an identifier, the exact one first."""
    written = _written(identifier)
    return (identifier,) if written == identifier else (identifier, written)


def with_exact_id(headers: Headers, identifier: bytes) -> Headers:
    """Return an answer's headers with the identifier as it was sent, if they name this one.

    Args:
        headers: Names, in any case, and values.
        identifier: Identifier of the request; empty for a call that has none.
    """
    written = _written(identifier)
    if written == identifier:
        return headers
    return [
        (name, identifier if name.lower() == names.REQUEST_ID and value == written else value)
        for name, value in headers
    ]


def _written(identifier: bytes) -> bytes:
    """Return the form in which an instance repeats an identifier if it writes headers in UTF-8."""
    return identifier.decode(names.HEADER_ENCODING).encode(WRITTEN_ENCODING)
