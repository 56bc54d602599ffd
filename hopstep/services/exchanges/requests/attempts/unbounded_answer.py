"""Watches an answer that is relayed in parts until it has ended.

An answer without a stated length may have no end. Until an instance has ended a long one, the next
one is read slowly, so that it takes little of the node, and requests prefer other instances.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.services.exchanges.requests.intake.held_bytes import MAX_UNSTATED_BYTES

BYTES_PER_SECOND = 4 * 1024 * 1024
"""Rate at which a long answer is read whose instance has ended none yet: the longest takes 4 s."""

SLOW_CLIENT_SHARE = 0.8
"""A client is slow if the node waits for it during more than this part of the time. At a node
without free processor time the writes to a client that reads at once take half of it."""


class UnboundedAnswer:
    """One answer, from when it is relayed in parts.

    Attributes:
        view: The instance that sends it.
    """

    def __init__(
        self,
        view: InstanceView,
        first_byte_seconds: float,
        read_bytes: int,
        *,
        has_length: bool,
    ) -> None:
        """Start before its head is written to the client.

        Args:
            view: The instance that sends it.
            first_byte_seconds: Time from sending the request to the first byte.
            read_bytes: Bytes that were read of it already.
            has_length: Whether its length is stated.
        """
        self.view = view
        self._first_byte_seconds = first_byte_seconds
        self._has_length = has_length
        self._is_slowed = not has_length and not view.ends_long_answers
        self._began_at = trio.current_time()
        self._write_began_at: float | None = None
        self._writing_seconds = 0.0
        self._size = 0
        if self._is_slowed and read_bytes > MAX_UNSTATED_BYTES:
            view.note_unbounded(self._began_at)

    def begin_write(self) -> None:
        """Note that the head or a part is about to be written to the client."""
        self._write_began_at = trio.current_time()

    async def end_write(self, size: int) -> None:
        """Note that as many bytes of the body were written; wait until more may be read."""
        now = trio.current_time()
        if self._write_began_at is not None:
            self._writing_seconds += now - self._write_began_at
        self._write_began_at = None
        self._size += size
        if self._is_slowed and self._size > MAX_UNSTATED_BYTES:
            await trio.sleep_until(self._began_at + self._size / BYTES_PER_SECOND)
            if not self._is_client_slow():
                self.view.note_unbounded(trio.current_time())

    def note_end(self) -> None:
        """Note that the instance has ended the answer."""
        if not self._has_length and self._size > MAX_UNSTATED_BYTES:
            self.view.note_long_answer_ended()
        self.view.succeeded(self._first_byte_seconds)

    def may_have_no_end(self) -> bool:
        """Return whether it may be the instance's fault that the answer hasn't ended.

        An answer with a stated length has an end, and a client that reads slowly delays any.
        """
        return not self._has_length and not self._is_client_slow()

    def _is_client_slow(self) -> bool:
        """Return whether the node has mostly waited for the client."""
        now = trio.current_time()
        writing = now - self._write_began_at if self._write_began_at is not None else 0.0
        seconds = self._writing_seconds + writing
        return seconds > SLOW_CLIENT_SHARE * (now - self._began_at)
