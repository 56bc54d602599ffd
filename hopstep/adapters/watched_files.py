"""Values that are read from files, and read again when the files change.

``follow_files``, a task in the process's event loop, checks the files. A value is replaced as a
whole and only by one that could be read, so its users never see a partial change.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Generic, TypeVar

import trio

from hopstep.exceptions import PortError

Value = TypeVar("Value")

CHECK_SECONDS = 1.0
"""Time between two checks of the files."""

_Stamp = tuple[int, int, int] | None
"""Modification time, size and inode of a file; None if it can't be read."""


class WatchedFiles(Generic[Value]):
    """A value that is read from one or more files.

    Changed files are read once two checks in a row find them unchanged: the first half of a list
    of keys or certificates may be a valid list, so files that are still being written aren't
    read. While changed files can't be read or are invalid, the earlier value stays in use and
    ``error`` has the reason; reading is tried again at each check.
    """

    def __init__(
        self,
        paths: Sequence[Path],
        read: Callable[[], Value],
        *,
        on_replaced: Callable[[Value], None],
        on_rejected: Callable[[PortError], None],
    ) -> None:
        """Read the files.

        Args:
            paths: The files.
            read: Reads them and returns the value, or raises ``PortError``.
            on_replaced: Called with each value that replaces an earlier one.
            on_rejected: Called when changed files are rejected, once for each reason.

        Raises:
            PortError: If the files can't be read now.
        """
        self._paths = tuple(paths)
        self._read = read
        self._on_replaced = on_replaced
        self._on_rejected = on_rejected
        # Taken before the files are read, so that the next check finds a change in between.
        self._loaded_stamps = self._read_stamps()
        self._last_stamps = self._loaded_stamps
        self.value = read()
        self.error = ""

    def check(self) -> None:
        """Check the files, and read them if they changed and are no longer being written."""
        stamps = self._read_stamps()
        is_stable = stamps == self._last_stamps
        self._last_stamps = stamps
        if stamps == self._loaded_stamps:
            self.error = ""
            return
        if not is_stable:
            return
        try:
            value = self._read()
        except PortError as error:
            self._reject(error)
            return
        self._loaded_stamps = stamps
        self.value = value
        self.error = ""
        self._on_replaced(value)

    def _reject(self, error: PortError) -> None:
        """Keep the earlier value and report a new error."""
        is_new = error.message != self.error
        self.error = error.message
        if is_new:
            self._on_rejected(error)

    def _read_stamps(self) -> tuple[_Stamp, ...]:
        """Return the stamps by which changed files are detected."""
        return tuple(_stamp(path) for path in self._paths)


async def follow_files(watched: Sequence[WatchedFiles[Any]]) -> None:
    """Check files until cancelled.

    Args:
        watched: Files and their values.
    """
    while True:
        await trio.sleep(CHECK_SECONDS)
        for each in watched:
            each.check()


def _stamp(path: Path) -> _Stamp:
    """Return the stamp of one file."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
