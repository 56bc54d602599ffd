"""A server's HTTP/1.1 connection by ``h11``, whose limit on heads may change while it is open."""

from __future__ import annotations

from collections.abc import Callable

import h11

ANSWERED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""States of the server's side once it has sent a whole answer."""


class LimitedConnection(h11.Connection):
    """A server's connection whose limit on heads may change while it is open.

    Attributes:
        is_closed: Whether the server has closed it, so that nothing more is read of it.
    """

    def __init__(self, max_head_bytes: Callable[[], int]) -> None:
        """Begin a connection.

        Args:
            max_head_bytes: Returns the limit on a head.
        """
        super().__init__(h11.SERVER, max_incomplete_event_size=max_head_bytes())
        self._max_head_bytes = max_head_bytes
        self.is_closed = False

    def receive_data(self, data: bytes) -> None:
        """Take bytes of the client; the first ones of a head apply the limit of now."""
        if self.their_state is h11.IDLE and not self.trailing_data[0]:
            self._apply_limit()
        super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the client; none of a body whose request is answered already.

        Such a connection is closed. The server would handle all chunks of a read without letting
        other tasks run. Nothing is read behind an answer that was cut off either: the library would
        wait for its end before it reads the next request. Bytes behind the last request of a
        connection wait for the end of its answer, as a next request does: the library would end the
        connection at once, and an answer whose end that is would look complete.
        """
        if self.is_closed or self.our_state is h11.ERROR:
            return h11.NEED_DATA
        is_answered = self.our_state in ANSWERED_STATES
        if not is_answered and self.their_state is h11.MUST_CLOSE and self.trailing_data[0]:
            return h11.PAUSED
        if is_answered and self.their_state is h11.SEND_BODY:
            return h11.NEED_DATA
        return super().next_event()

    def start_next_cycle(self) -> None:
        """Prepare for the next request, of which bytes may have arrived already."""
        super().start_next_cycle()
        self._apply_limit()

    def _apply_limit(self) -> None:
        """Apply the limit of now; the library sets its own at the beginning only."""
        self._max_incomplete_event_size = self._max_head_bytes()
