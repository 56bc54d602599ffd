"""Reads one answer of an instance by the rules of HTTP/1.1."""

from __future__ import annotations

import h11

HEAD_END = b"\r\n\r\n"
FRAMING = (b"content-length:", b"transfer-encoding:", b"connection:")
"""First bytes of the header lines that tell where an answer ends."""

MAX_EVENT_BYTES = 1 << 20
"""Bytes of an answer's head, a chunk's first line or trailers."""


class AnswerReader:
    """Reads one answer and keeps its bytes.

    Attributes:
        whole: Whether the answer has been read to its end.
        keeps_connection: Whether another answer may follow on the connection.
        recorded: The answer's bytes.
        surplus: Bytes that were received behind the answer's end.
        status: HTTP status; 0 before the head was read.
        fields: Header fields.
    """

    def __init__(self) -> None:
        """Start before the answer's first byte."""
        self.whole = False
        self.keeps_connection = True
        self.recorded = b""
        self.surplus = b""
        self.status = 0
        self.fields: dict[bytes, bytes] = {}
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES)
        self._protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        self._protocol.send(h11.EndOfMessage())

    def read(self, data: bytes) -> bytes:
        """Return those of the bytes that belong to the answer.

        Raises:
            h11.RemoteProtocolError: If they are no answer, or end one early.
        """
        self._protocol.receive_data(data)
        while not self.whole:
            event = self._protocol.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                break
            self._note(event)
        own = data[: len(data) - len(self.surplus)]
        self.recorded += own
        return own

    def _note(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> None:
        """Record what an event says about the answer."""
        if isinstance(event, h11.Response):
            self.status = event.status_code
            self.fields = dict(event.headers)
            self.keeps_connection = self.fields.get(b"connection", b"").lower() != b"close"
        elif isinstance(event, h11.EndOfMessage):
            self.whole = True
            self.surplus = self._protocol.trailing_data[0]


def unframed_lines(answer: bytes) -> list[bytes]:
    """Return the lines of an answer's head without those that tell where the answer ends."""
    head = answer.partition(HEAD_END)[0]
    return [line for line in head.split(b"\r\n") if not line.lower().startswith(FRAMING)]
