"""Bytes without end in place of an answer, or behind it."""

from __future__ import annotations

import random

from emulator.soak.answer_faults import EndlessForm
from emulator.soak.answer_reader import unframed_lines

ENDLESS_PIECE_BYTES = 8_192
ENDLESS_PAUSE_SECONDS = 0.004
ENDLESS_SECONDS = 6.0
"""Bytes without end come at some 2 MB/s, and end after this time if the caller doesn't close."""

MAX_ENDLESS = 2
"""Answers without end at a time over all instances, which bounds the load of the machine."""

FILLER = b"a" * ENDLESS_PIECE_BYTES
HEADER_LINE = b"X-Filler: a\r\n"
INFORMATIONAL_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def endless_bytes(
    form: EndlessForm, answer: bytes, generator: random.Random
) -> tuple[bytes, bytes]:
    """Return the bytes that begin an answer without end, and those that follow again and again.

    Args:
        form: What comes without end.
        answer: The answer, whose head or all of which is the beginning.
        generator: Draws garbage.
    """
    lines = unframed_lines(answer)
    match form:
        case EndlessForm.GARBAGE:
            return b"", generator.randbytes(ENDLESS_PIECE_BYTES)
        case EndlessForm.HEADER_LINE:
            return _joined(*lines, b"X-Filler: "), FILLER
        case EndlessForm.HEADER_LINES:
            return _joined(*lines, b""), _repeated(HEADER_LINE)
        case EndlessForm.INFORMATIONAL:
            return b"", _repeated(INFORMATIONAL_RESPONSE)
        case EndlessForm.BODY:
            return _joined(*lines, b"Content-Length: 1000000000000", b"", b""), FILLER
        case EndlessForm.CHUNKS:
            chunk = b"%x\r\n%b\r\n" % (len(FILLER), FILLER)
            return _joined(*lines, b"Transfer-Encoding: chunked", b"", b""), chunk
        case EndlessForm.SURPLUS:
            return answer, FILLER


def _joined(*lines: bytes) -> bytes:
    """Return the lines of a head, with line ends between them."""
    return b"\r\n".join(lines)


def _repeated(unit: bytes) -> bytes:
    """Return a piece that consists of whole units."""
    return unit * (ENDLESS_PIECE_BYTES // len(unit))
