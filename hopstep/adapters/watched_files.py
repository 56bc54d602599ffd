"""Values that are read from files, and read again when the files change.

Files are looked at by ``follow_files``, a task of the process's own loop. A value is replaced
as a whole and only by one that could be read, so users of it never see half of a change.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Generic, TypeVar

import trio

from hopstep.exceptions import PortError

Value = TypeVar("Value")

CHECK_SECONDS = 1.0
"""Time between two looks at the files."""

_Stamp = tuple[int, int, int] | None
"""Modification time, size and inode of a file; None when it can't be looked at."""


class WatchedFiles(Generic[Value]):
    """A value of one or more files.

    Changed files are read once they look the same twice: the first half of a list of keys or
    certificates may well be a valid list, so files that are still being written aren't read.
    While changed files can't be read, or are wrong, the earlier value stays in force and
    ``error`` says why; they are tried again at each look.
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
            on_replaced: Told each value that replaces an earlier one.
            on_rejected: Told why changed files weren't taken, once for each reason.

        Raises:
            PortError: When the files can't be read now.
        """
        self._paths = tuple(paths)
        self._read = read
        self._on_replaced = on_replaced
        self._on_rejected = on_rejected
        # Taken before the files are read: a change in between is found at the next look.
        self._stamps = self._look()
        self._seen = self._stamps
        self.value = read()
        self.error = ""

    def check(self) -> None:
        """Look at the files, and read them if they changed and are at rest."""
        stamps = self._look()
        at_rest = stamps == self._seen
        self._seen = stamps
        if stamps == self._stamps:
            self.error = ""
            return
        if not at_rest:
            return
        try:
            value = self._read()
        except PortError as error:
            self._reject(error)
            return
        self._stamps = stamps
        self.value = value
        self.error = ""
        self._on_replaced(value)

    def _reject(self, error: PortError) -> None:
        """Keep the earlier value."""
        is_new = error.message != self.error
        self.error = error.message
        if is_new:
            self._on_rejected(error)

    def _look(self) -> tuple[_Stamp, ...]:
        """Return what tells a changed file from an unchanged one."""
        return tuple(_stamp(path) for path in self._paths)


async def follow_files(watched: Sequence[WatchedFiles[Any]]) -> None:
    """Look at files until cancelled.

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
