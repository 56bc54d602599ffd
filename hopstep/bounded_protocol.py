"""State of a client's HTTP/1.1 connection, with bounds on what comes before an answer.

It accepts only answers by the grammar: see ``hopstep.answer_grammar``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
from h11._readers import ChunkedReader
from h11._receivebuffer import ReceiveBuffer

from hopstep.answer_grammar import (
    HEAD_END,
    LINE_END,
    AnswerFault,
    head_fault,
    is_chunk_line,
    trailers_fault,
)

MAX_INFORMATIONAL_RESPONSES = 8
"""Informational responses (status 1xx) before one answer."""

AWAITS_HEAD = (h11.IDLE, h11.SEND_RESPONSE)
"""States of a server of which a head comes next."""


class StrictChunkedReader(ChunkedReader):
    """Reads the chunks of a body; the library's reader takes any bytes behind a chunk's size."""

    def __call__(self, buf: ReceiveBuffer) -> h11.Data | h11.EndOfMessage | None:
        """Return the next part of the body; None when more bytes are needed.

        Raises:
            h11.LocalProtocolError: A chunk's line, or the trailers, aren't in the grammar.
        """
        if self._reading_trailer:
            self._check_trailers(buf)
        elif not self._bytes_in_chunk:
            self._check_line(buf, len(self._bytes_to_discard))
        return super().__call__(buf)

    @staticmethod
    def _check_line(buf: ReceiveBuffer, first: int) -> None:
        """Check a chunk's line, if all of it has arrived.

        Args:
            buf: What was received.
            first: Where the line begins, behind the end of the chunk before.
        """
        end = buf._data.find(LINE_END, first)
        if end >= 0 and not is_chunk_line(bytes(buf._data[first:end])):
            raise h11.LocalProtocolError(_message(AnswerFault.CHUNK_LINE))

    @staticmethod
    def _check_trailers(buf: ReceiveBuffer) -> None:
        """Check what stands behind the last chunk, if all of it has arrived."""
        found = HEAD_END.search(buf._data)
        end = found.end() if found is not None else 0
        if buf._data.startswith(LINE_END):
            end = len(LINE_END)
        fault = trailers_fault(bytes(buf._data[:end])) if end else None
        if fault is not None:
            raise h11.LocalProtocolError(_message(fault))


class BoundedProtocol(h11.Connection):
    """State of a client's connection that accepts a few informational responses an answer."""

    def __init__(self, max_head_bytes: int) -> None:
        """Start before the first request.

        Args:
            max_head_bytes: Limit on a head, on a chunk's first line and on trailers.
        """
        super().__init__(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        self._informational = 0

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return what was received next.

        Raises:
            h11.RemoteProtocolError: When it is no answer in the grammar, or one informational
                response too many.
        """
        if self.their_state in AWAITS_HEAD:
            self._check_head()
        event = super().next_event()
        if isinstance(event, h11.InformationalResponse):
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_RESPONSES:
                raise h11.RemoteProtocolError("too many informational responses")
        elif isinstance(event, h11.Response):
            self._informational = 0
        return event

    def _check_head(self) -> None:
        """Check the next head, if all of it has arrived.

        Raises:
            h11.RemoteProtocolError: When it isn't in the grammar.
        """
        received, _has_ended = self.trailing_data
        found = HEAD_END.search(received)
        fault = head_fault(received[: found.end()]) if found is not None else None
        if fault is not None:
            raise h11.RemoteProtocolError(_message(fault))

    def _get_io_object(
        self,
        role: Any,
        event: h11.Event | None,
        io_dict: Any,
    ) -> Callable[..., Any] | None:
        """Return what reads or writes in the current state of a role."""
        chosen = super()._get_io_object(role, event, io_dict)
        return StrictChunkedReader() if isinstance(chosen, ChunkedReader) else chosen


def _message(fault: AnswerFault) -> str:
    """Return the text of an error: it has no byte of what was received."""
    return f"no answer by the grammar: {fault.value}"
