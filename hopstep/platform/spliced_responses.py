"""Recognizes responses that are put together from two.

A peer that stops within a response and then sends another one gives a single response to a parser.
Within a head, the second status line becomes the rest of the first one's reason phrase, or of a
header's value. Within a body with a length, the beginning of the second response becomes the
missing rest of the body, and what remains of it stands behind the end.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable

import h11
import httpcore

from hopstep.platform import names

STATUS_LINE = re.compile(rb"HTTP/1\.\d +\d{3}")
"""Beginning of a status line."""

STATUS_LINE_IN_HEAD = re.compile(STATUS_LINE.pattern + rb"(?![^ \t])")
"""The same within a reason phrase or a header's value, where ``Via`` may name a proxy's address
behind the version: ``HTTP/1.1 192.168.4.7``."""

BEGUN_STATUS_LINE = re.compile(rb"HT(T(P(/(1(\.(\d( +\d{0,2})?)?)?)?)?)?)?\Z")
"""Beginning of a status line that ends within it."""

FIRST_LETTER = b"H"
"""Shortest beginning of a status line. Many bodies end so."""

ID_LINE = re.compile(rb"(?i)\r\n" + names.REQUEST_ID + rb":[ \t]*([^\r\n]*?)[ \t]*\r\n")
"""Header of a response that names its request."""

MAX_HEAD_BYTES = 1_024
"""Latest bytes of a body, after a status line in it, that are searched for the rest of a head."""

STATUS_LINE_BYTES = 12
"""Length of the beginning of a status line with one space."""

HEAD_END = b"\r\n\r\n"

SINGLE_HEADERS = frozenset(
    {
        names.REQUEST_ID,
        names.SIGNATURE,
        names.INSTANCE_ID,
        names.NOT_EXECUTED,
        names.VERSIONS,
        names.STORE_ERA,
    }
)
"""Headers that a response has once at most."""


def require_single_head(response: h11.Response) -> None:
    """Check that a head belongs to one response.

    Raises:
        httpcore.RemoteProtocolError: When it holds a second status line, or a header twice that a
            response has once.
    """
    values = (response.reason, *(value for _name, value in response.headers))
    if any(STATUS_LINE_IN_HEAD.search(value) for value in values):
        raise httpcore.RemoteProtocolError("a status line within a head")
    counts = Counter(name for name, _value in response.headers if name in SINGLE_HEADERS)
    repeated = [name.decode() for name, count in counts.items() if count > 1]
    if repeated:
        raise httpcore.RemoteProtocolError(f"more than one {repeated[0]}")


class SplicedBodyScanner:
    """Recognizes a body that holds another response, or the beginning of one.

    A status line within a body may be its content. It shows another response only if bytes of that
    stand behind the body's end, or if it names a request that the connection has carried.

    Attributes:
        holds_response: Whether a part of the body names such a request.
    """

    def __init__(self, is_carried: Callable[[bytes], bool] = lambda _identifier: False) -> None:
        """Start before the body's first byte.

        Args:
            is_carried: Returns whether the connection has carried a request with an identifier.
        """
        self._is_carried = is_carried
        self._tail = b""
        self._head = b""
        self.holds_response = False
        self._has_status_line = False

    def feed(self, data: bytes) -> None:
        """Scan the next part of the body."""
        self._has_status_line = self._has_status_line or bool(STATUS_LINE.search(self._tail + data))
        if self._has_status_line:
            recent = (self._head or self._tail) + data
            found = (match[1] for match in ID_LINE.finditer(recent))
            self.holds_response = self.holds_response or any(map(self._is_carried, found))
            self._head = recent[-MAX_HEAD_BYTES:]
        self._tail = (self._tail + data[-STATUS_LINE_BYTES:])[-STATUS_LINE_BYTES:]

    def ends_in_head(self) -> bool:
        """Return whether the latest bytes are the beginning of a response's head."""
        if BEGUN_STATUS_LINE.search(self._tail):
            return True
        status_lines = list(STATUS_LINE.finditer(self._head))
        return bool(status_lines) and HEAD_END not in self._head[status_lines[-1].end() :]

    def ends_in_first_letter(self) -> bool:
        """Return whether the latest byte may be the first letter of a response's head."""
        return self._tail.endswith(FIRST_LETTER)

    def is_spliced(self, surplus: bytes) -> bool:
        """Return whether the body holds the beginning of the bytes behind its end."""
        if not surplus:
            return False
        found = STATUS_LINE.search(self._tail + surplus[:STATUS_LINE_BYTES])
        return self._has_status_line or (found is not None and found.start() < len(self._tail))
