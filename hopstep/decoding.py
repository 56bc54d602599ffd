"""Decoding of JSON that others have written.

All that may be wrong with it is a ``msgspec.DecodeError``: the library itself raises
``RecursionError`` for data that is nested too deeply, also in fields that aren't read.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec

DocumentT = TypeVar("DocumentT")


class JsonDecoder(Generic[DocumentT]):
    """Decodes documents of one type."""

    def __init__(self, kind: type[DocumentT]) -> None:
        """Prepare for a type.

        Args:
            kind: Type of the documents.
        """
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, data: bytes | str) -> DocumentT:
        """Return a document.

        Raises:
            msgspec.DecodeError: It isn't JSON, doesn't match the type, or is nested too deeply.
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as error:
            raise _nested_too_deeply() from error


def decode_json(data: bytes | str, kind: type[DocumentT]) -> DocumentT:
    """Return a document of a type; see ``JsonDecoder.decode``."""
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise _nested_too_deeply() from error


def _nested_too_deeply() -> msgspec.DecodeError:
    """Return the error for data that the library's recursion doesn't reach the end of."""
    return msgspec.DecodeError("JSON is nested too deeply")
