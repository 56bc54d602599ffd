"""Body of a client's request while it arrives."""

from __future__ import annotations

import enum
from collections.abc import Callable

from hopstep.domain.byte_budget import ByteShare


class BodyOmission(enum.StrEnum):
    """Why a body isn't kept whole."""

    TOO_LONG = "too_long"
    NO_SPACE = "no_space"


class RequestBody:
    """A body that is read to its end: closing the connection earlier may lose the refusal.

    Attributes:
        received_bytes: Bytes that have arrived.
        limit_bytes: Limit on the body at the first part that wasn't kept, else the last one used.
        omission: Why the body isn't kept whole; None while it is.
    """

    def __init__(self, max_bytes: Callable[[], int], share: ByteShare) -> None:
        """Start without any bytes.

        Args:
            max_bytes: Returns the limit on a body.
            share: What the node holds for the request.
        """
        self.received_bytes = 0
        self.limit_bytes = max_bytes()
        self.omission: BodyOmission | None = None
        self._max_bytes = max_bytes
        self._share = share
        self._data = bytearray()

    def add(self, data: bytes) -> None:
        """Add the next part."""
        self.received_bytes += len(data)
        if self._share.refused:
            return
        if len(self._data) > self._max_bytes():
            self._omit(BodyOmission.TOO_LONG)
        elif self._share.take(len(data)):
            self._data += data
        else:
            self._data = bytearray()
            self._share.refused = True
            self._share.close()
            self._omit(BodyOmission.NO_SPACE)

    def _omit(self, omission: BodyOmission) -> None:
        """Note why the body isn't kept whole."""
        if self.omission is None:
            self.omission = omission
            self.limit_bytes = self._max_bytes()

    @property
    def kept_bytes(self) -> int:
        """Number of bytes that are kept."""
        return len(self._data)

    def read(self) -> bytes:
        """Return the bytes that are kept."""
        return bytes(self._data)
