"""Cluster keys from a file, read again when it changes."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from pathlib import Path

from hopstep.exceptions import ErrorCode, PeerMessageError
from hopstep.log_events import PEER_KEYS_REJECTED
from hopstep.logs import emit

MIN_KEY_BYTES = 16
"""Shorter keys are refused."""

CHECK_SECONDS = 2.0
"""Time between looks at the file's modification time."""


class PeerKeys:
    """Keys by id: the first one signs, all verify."""

    def __init__(self, keys: dict[str, bytes]) -> None:
        """Hold fixed keys.

        Args:
            keys: Key bytes by id, in the order of the file; at least one.
        """
        self._keys = keys

    def signing(self) -> tuple[str, bytes]:
        """Return the id and key that sign."""
        return next(iter(self._keys.items()))

    def verifying(self, key_id: str) -> bytes | None:
        """Return the key of an id, or None when it isn't known."""
        return self._keys.get(key_id)

    @classmethod
    def derived(cls, cluster: str) -> PeerKeys:
        """Return a key derived from the cluster name, for clusters without a key file.

        It keeps clusters apart but keeps nobody out: only for networks that do.
        """
        return cls({"none": hashlib.sha256(f"hopstep {cluster}".encode()).digest()})


class FilePeerKeys(PeerKeys):
    """Keys of a file with one ``id:hex`` a line.

    A changed file is taken within ``CHECK_SECONDS``; while it can't be read or is wrong, the
    earlier keys stay in use and ``error`` says why.
    """

    def __init__(self, path: Path, clock: Callable[[], float] = time.monotonic) -> None:
        """Read the file.

        Args:
            path: The file.
            clock: Monotonic time in seconds.

        Raises:
            PeerMessageError: When the file can't be read or is wrong.
        """
        self._path = path
        self._clock = clock
        self._checked_at = clock()
        self._stamp = self._file_stamp()
        self.error = ""
        super().__init__(parse_keys(self._read()))

    def signing(self) -> tuple[str, bytes]:
        """Return the id and key that sign, of the present file."""
        self._refresh()
        return super().signing()

    def verifying(self, key_id: str) -> bytes | None:
        """Return the key of an id in the present file, or None."""
        self._refresh()
        return super().verifying(key_id)

    def _refresh(self) -> None:
        now = self._clock()
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        try:
            stamp = self._file_stamp()
            if stamp != self._stamp:
                self._keys = parse_keys(self._read())
                self._stamp = stamp
                self.error = ""
        except PeerMessageError as error:
            self._note_error(error.message)

    def _note_error(self, reason: str) -> None:
        """Log a fault of the file once."""
        if reason != self.error:
            emit(PEER_KEYS_REJECTED, reason=reason)
        self.error = reason

    def _file_stamp(self) -> tuple[int, int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            raise _wrong(f"can't read {self._path}: {error.strerror}") from error
        return status.st_mtime_ns, status.st_size, status.st_ino

    def _read(self) -> str:
        try:
            return self._path.read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as error:
            raise _wrong(f"can't read {self._path}") from error


def parse_keys(text: str) -> dict[str, bytes]:
    """Return the keys of a key file.

    Raises:
        PeerMessageError: Naming the line that isn't ``id:hex`` of at least 16 bytes.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        key_id, _, digits = stripped.partition(":")
        keys[key_id] = _parse_key(number, key_id, digits, keys)
    if not keys:
        raise _wrong("the key file holds no key")
    return keys


def _parse_key(number: int, key_id: str, digits: str, known: dict[str, bytes]) -> bytes:
    if not key_id or key_id in known:
        raise _wrong(f"line {number}: expected a new key id before the colon")
    try:
        key = bytes.fromhex(digits)
    except ValueError as error:
        raise _wrong(f"line {number}: expected id:hex") from error
    if len(key) < MIN_KEY_BYTES:
        raise _wrong(f"line {number}: expected a key of at least {MIN_KEY_BYTES} bytes")
    return key


def _wrong(reason: str) -> PeerMessageError:
    return PeerMessageError(ErrorCode.INVALID_SETTINGS, reason, "peers.key_file")
