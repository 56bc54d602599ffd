"""Reading of the outer part of a signed frame: ``cbor2([sender, encoding, payload])``.

Anyone may send a frame, and its sender has to be known before its tag can be checked. The outer
part is therefore read by itself, as two strings and an integer of definite lengths, in a time that
doesn't depend on the number of items that the bytes would decode to.
"""

from __future__ import annotations

import dataclasses

ARRAY_OF_THREE = 0x83

MAJOR_TYPE_SHIFT = 5
ARGUMENT_MASK = 0x1F
DIRECT_ARGUMENTS = 24
"""Smaller arguments stand in the first byte of an item itself."""

ARGUMENT_BYTES = {24: 1, 25: 2, 26: 4}
"""Bytes of an argument that follows the first byte; frames are shorter than 2^32 bytes."""

UNSIGNED = 0
BYTES = 2
TEXT = 3


class EnvelopeError(ValueError):
    """Bytes that aren't the outer part of a frame."""


@dataclasses.dataclass(frozen=True)
class Envelope:
    """The outer part of a frame, before its tag is checked.

    Attributes:
        sender: Name of the node that is said to have sent it.
        encoding: Number of the payload's encoding.
        payload: The encoded message.
    """

    sender: str
    encoding: int
    payload: bytes


def read_envelope(data: bytes) -> Envelope:
    """Return the outer part of a frame.

    Raises:
        EnvelopeError: If the bytes are anything else, or more follow.
    """
    if not data or data[0] != ARRAY_OF_THREE:
        raise EnvelopeError("not an array of three items")
    sender, position = _read_string(data, 1, TEXT)
    encoding, position = _read_argument(data, position, UNSIGNED)
    payload, position = _read_string(data, position, BYTES)
    if position != len(data):
        raise EnvelopeError("bytes follow the payload")
    try:
        return Envelope(sender.decode(), encoding, payload)
    except UnicodeDecodeError as error:
        raise EnvelopeError("the sender's name isn't UTF-8") from error


def _read_string(data: bytes, position: int, major_type: int) -> tuple[bytes, int]:
    """Return the content of a string of definite length, and the position behind it."""
    length, begin = _read_argument(data, position, major_type)
    end = begin + length
    if end > len(data):
        raise EnvelopeError("a string ends behind the frame")
    return data[begin:end], end


def _read_argument(data: bytes, position: int, major_type: int) -> tuple[int, int]:
    """Return the argument of an item of a type, and the position behind it."""
    if position >= len(data) or data[position] >> MAJOR_TYPE_SHIFT != major_type:
        raise EnvelopeError("an item is missing or of another type")
    argument = data[position] & ARGUMENT_MASK
    begin = position + 1
    if argument < DIRECT_ARGUMENTS:
        return argument, begin
    end = begin + ARGUMENT_BYTES.get(argument, len(data))
    if end > len(data):
        raise EnvelopeError("the length of an item is cut off or unsupported")
    return int.from_bytes(data[begin:end], "big"), end
