"""Forms of answers without end."""

from __future__ import annotations

import random

import msgspec

from emulator.soak.answer_faults import EndlessForm
from emulator.soak.answer_reader import unframed_lines
from emulator.soak.endless_answers import FILLER, endless_bytes

NONE = "none"
"""All instances answer whole."""

UNFRAMED = "body without framing"
SMALL_CHUNKS = "chunks of a byte"
LARGE_CHUNKS = "large chunks"
FORMS = (*(form.value for form in EndlessForm), UNFRAMED, SMALL_CHUNKS, LARGE_CHUNKS)

LARGE_CHUNK_BYTES = 256 * 1024
CHUNKED = b"Transfer-Encoding: chunked"


class EndlessAnswer(msgspec.Struct, frozen=True):
    """An answer without end.

    Attributes:
        beginning: Its first bytes.
        repeated: Bytes that follow again and again.
    """

    beginning: bytes
    repeated: bytes


def endless_answer(form: str, answer: bytes, generator: random.Random) -> EndlessAnswer:
    """Return an answer without end.

    Args:
        form: One of ``FORMS``.
        answer: The whole answer that stands behind its head, or is its beginning.
        generator: Draws garbage.
    """
    head = unframed_lines(answer)
    if form == UNFRAMED:
        return EndlessAnswer(_head(*head, b"Connection: close"), FILLER)
    if form == SMALL_CHUNKS:
        return EndlessAnswer(_head(*head, CHUNKED), b"1\r\na\r\n" * (len(FILLER) // 6))
    if form == LARGE_CHUNKS:
        return EndlessAnswer(_head(*head, CHUNKED), _chunk(b"a" * LARGE_CHUNK_BYTES))
    return EndlessAnswer(*endless_bytes(EndlessForm(form), answer, generator))


def _head(*lines: bytes) -> bytes:
    """Return a head that consists of some lines."""
    return b"\r\n".join((*lines, b"", b""))


def _chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
