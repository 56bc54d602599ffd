"""Log lines to a pipe that may not be read: writing never blocks, and memory is bounded."""

from __future__ import annotations

import os
import stat
from collections import deque

MAX_WAITING_BYTES = 1 << 20
"""Lines beyond this are dropped, the newest first, until the reader goes on."""


class NonBlockingOutput:
    """A text stream over a file descriptor; what can't be written now waits or is dropped.

    Regular files and terminals are written as they are. ``dropped`` counts lost lines.
    """

    def __init__(self, descriptor: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """Use a descriptor; a pipe or socket is switched to non-blocking writes.

        Args:
            descriptor: Open for writing.
            max_waiting_bytes: Most bytes that wait for the reader.
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._partial = ""
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take text; whole lines are written as far as the reader takes them."""
        self._partial += text
        lines, newline, self._partial = self._partial.rpartition("\n")
        if newline:
            self._append((lines + newline).encode())
            self._write_waiting()
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._write_waiting()

    def _append(self, data: bytes) -> None:
        """Queue lines, or drop them when too much waits."""
        if self._waiting_bytes + len(data) > self._max_waiting_bytes:
            self.dropped += data.count(b"\n")
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _write_waiting(self) -> None:
        """Write until the reader takes no more."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
