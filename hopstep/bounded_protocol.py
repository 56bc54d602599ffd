"""State of a client's HTTP/1.1 connection, with bounds on what comes before an answer."""

from __future__ import annotations

import h11

MAX_INFORMATIONAL_RESPONSES = 8
"""Informational responses (status 1xx) before one answer."""


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
            h11.RemoteProtocolError: When it is no HTTP, or one informational response too many.
        """
        event = super().next_event()
        if isinstance(event, h11.InformationalResponse):
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_RESPONSES:
                raise h11.RemoteProtocolError("too many informational responses")
        elif isinstance(event, h11.Response):
            self._informational = 0
        return event
