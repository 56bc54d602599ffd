"""Cluster keys, from a file that is read again when it changes."""

from __future__ import annotations

import hashlib
from pathlib import Path

from hopstep.adapters.watched_files import WatchedFiles
from hopstep.exceptions import ErrorCode, PeerMessageError
from hopstep.log_events.membership import PEER_KEYS_REJECTED
from hopstep.log_events.process import PEER_KEYS_REPLACED
from hopstep.logs import emit

MIN_KEY_BYTES = 16
"""Shorter keys are rejected."""


class PeerKeys:
    """Keys by id: the first one signs, all of them verify."""

    def __init__(self, keys: dict[str, bytes]) -> None:
        """Store the keys.

        Args:
            keys: Key bytes by id, in the order of the file; at least one.
        """
        self._keys = keys

    def signing(self) -> tuple[str, bytes]:
        """Return the id and bytes of the signing key."""
        return next(iter(self._keys.items()))

    def verifying(self, key_id: str) -> bytes | None:
        """Return the key of an id, or None if it is unknown."""
        return self._keys.get(key_id)

    @classmethod
    def derived(cls, cluster: str) -> PeerKeys:
        """Return a key derived from the cluster name, for clusters without a key file.

        It separates clusters but gives no protection: only for networks that restrict access.
        """
        return cls({"none": hashlib.sha256(f"hopstep {cluster}".encode()).digest()})


class FilePeerKeys(PeerKeys):
    """Keys from a file with one ``id:hex`` per line.

    A changed file is loaded only while ``watched`` is checked; while it can't be read or is
    invalid, the earlier keys stay in use.
    """

    def __init__(self, path: Path) -> None:
        """Read the file.

        Args:
            path: The file.

        Raises:
            PeerMessageError: If the file can't be read or is invalid.
        """
        self.watched = WatchedFiles(
            (path,),
            lambda: parse_keys(_read(path)),
            on_replaced=self._replace,
            on_rejected=lambda error: emit(PEER_KEYS_REJECTED, reason=error.message),
        )
        super().__init__(self.watched.value)

    def _replace(self, keys: dict[str, bytes]) -> None:
        """Use the keys of a changed file."""
        self._keys = keys
        emit(PEER_KEYS_REPLACED, signing=self.signing()[0], verifying=list(keys))


def _read(path: Path) -> str:
    """Return the text of a key file."""
    try:
        return path.read_text(encoding="ascii")
    except OSError as error:
        raise _invalid_key_file(f"can't read {path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise _invalid_key_file(f"can't read {path}: expected ASCII text") from error


def parse_keys(text: str) -> dict[str, bytes]:
    """Return the keys of a key file.

    Raises:
        PeerMessageError: Names the line that isn't ``id:hex`` of at least 16 bytes.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        key_id, _, digits = stripped.partition(":")
        keys[key_id] = _parse_key(number, key_id, digits, keys)
    if not keys:
        raise _invalid_key_file("the key file holds no key")
    return keys


def _parse_key(number: int, key_id: str, digits: str, earlier_keys: dict[str, bytes]) -> bytes:
    if not key_id or key_id in earlier_keys:
        raise _invalid_key_file(f"line {number}: expected a new key id before the colon")
    try:
        key = bytes.fromhex(digits)
    except ValueError as error:
        raise _invalid_key_file(f"line {number}: expected id:hex") from error
    if len(key) < MIN_KEY_BYTES:
        raise _invalid_key_file(f"line {number}: expected a key of at least {MIN_KEY_BYTES} bytes")
    return key


def _invalid_key_file(reason: str) -> PeerMessageError:
    return PeerMessageError(ErrorCode.INVALID_SETTINGS, reason, "peers.key_file")
