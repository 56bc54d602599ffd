"""Log output to a pipe whose reader may stall: writes never block, and memory is bounded."""

from __future__ import annotations

import os
import stat
from collections import deque

MAX_WAITING_BYTES = 1 << 20
"""Bytes that wait for the reader; new lines beyond this are dropped until it reads again."""


class NonBlockingOutput:
    """A text stream over a file descriptor that queues or drops lines instead of blocking.

    Regular files and terminals are written directly. ``dropped`` counts lost lines.
    """

    def __init__(self, descriptor: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """Wrap a descriptor; a pipe or socket is switched to non-blocking writes.

        Args:
            descriptor: Open for writing.
            max_waiting_bytes: Largest number of bytes that wait for the reader.
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
        """Accept text; complete lines are written as far as the reader accepts them."""
        self._partial += text
        lines, newline, self._partial = self._partial.rpartition("\n")
        if newline:
            self._append((lines + newline).encode())
            self._write_waiting()
        return len(text)

    def flush(self) -> None:
        """Write queued lines as far as the reader accepts them."""
        self._write_waiting()

    def _append(self, data: bytes) -> None:
        """Queue lines, or drop them when the queue is full."""
        if self._waiting_bytes + len(data) > self._max_waiting_bytes:
            self.dropped += data.count(b"\n")
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _write_waiting(self) -> None:
        """Write queued lines until the reader accepts no more."""
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
