"""What is an answer by the grammar of HTTP/1.1 (RFC 9112), for all readers of answers.

The library that parses answers accepts more: any version, statuses up to 999, control bytes, folded
lines, line ends without a carriage return, several lengths. Bytes of a server in trouble may look
so, and must not be passed on as an answer.
"""

from __future__ import annotations

import enum
import re

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
"""Text of a reason or a field's value: no control byte but the tab."""

QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'

STATUS_LINE = re.compile(rb"HTTP/1\.(?P<minor>[0-9]) [1-5][0-9]{2} " + TEXT)
FIELD_LINE = re.compile(rb"(?P<name>" + TOKEN + rb"):[\t ]*(?P<value>" + TEXT + rb")")
CHUNK_LINE = re.compile(
    rb"[0-9A-Fa-f]{1,16}(?:;[\t ]*%b(?:[\t ]*=[\t ]*(?:%b|%b))?)*" % (TOKEN, TOKEN, QUOTED)
)

HEAD_END = re.compile(rb"\n\r?\n")
"""Where the library sees the end of a head or of trailers."""

LINE_END = b"\r\n"
FOLD = (b" ", b"\t")
CHUNKED = b"chunked"
OLD_MINOR = b"0"
"""Minor version without codings: HTTP/1.0."""

LENGTH = re.compile(rb"[0-9]{1,18}")


class AnswerFault(enum.StrEnum):
    """Why bytes are no answer."""

    STATUS_LINE = "status line"
    FIELD_LINE = "field line"
    FOLDED_LINE = "folded line"
    LINE_END = "line end"
    LENGTH = "length"
    CODING = "coding"
    CHUNK_LINE = "chunk line"


def head_fault(head: bytes) -> AnswerFault | None:
    """Return what is wrong with the head of an answer; None if nothing is.

    Args:
        head: All bytes up to the empty line, which is included.
    """
    if not head.endswith(LINE_END + LINE_END):
        return AnswerFault.LINE_END
    first, *lines = head[: -len(LINE_END + LINE_END)].split(LINE_END)
    status_line = STATUS_LINE.fullmatch(first)
    if status_line is None:
        return AnswerFault.STATUS_LINE
    return lines_fault(lines) or _framing_fault(lines, status_line["minor"])


def lines_fault(lines: list[bytes]) -> AnswerFault | None:
    """Return what is wrong with the field lines of a head or of trailers; None if nothing is."""
    for line in lines:
        if line.startswith(FOLD):
            return AnswerFault.FOLDED_LINE
        if b"\n" in line:
            return AnswerFault.LINE_END
        if FIELD_LINE.fullmatch(line) is None:
            return AnswerFault.FIELD_LINE
    return None


def trailers_fault(trailers: bytes) -> AnswerFault | None:
    """Return what is wrong with the bytes behind the last chunk; None if nothing is.

    Args:
        trailers: All bytes up to the empty line, which is included.
    """
    if trailers == LINE_END:
        return None
    if not trailers.endswith(LINE_END + LINE_END):
        return AnswerFault.LINE_END
    return lines_fault(trailers[: -len(LINE_END + LINE_END)].split(LINE_END))


def is_chunk_line(line: bytes) -> bool:
    """Return whether a line, without its end, begins a chunk."""
    return CHUNK_LINE.fullmatch(line) is not None


def _framing_fault(lines: list[bytes], minor: bytes) -> AnswerFault | None:
    """Return what leaves the end of the body open; None if it is certain.

    A coding goes before a length.
    """
    fields = [
        (match["name"].lower(), match["value"])
        for match in map(FIELD_LINE.fullmatch, lines)
        if match
    ]
    lengths = [value.strip() for name, value in fields if name == b"content-length"]
    codings = [value.strip() for name, value in fields if name == b"transfer-encoding"]
    if len(lengths) > 1 or any(LENGTH.fullmatch(length) is None for length in lengths):
        return AnswerFault.LENGTH
    if not codings:
        return None
    is_known = [coding.lower() for coding in codings] == [CHUNKED]
    return None if is_known and minor != OLD_MINOR else AnswerFault.CODING
