"""Body of a client's request while it arrives."""

from __future__ import annotations

import enum

from hopstep.domain.byte_budget import ByteShare

MAX_DISCARDED_BYTES = 16 * 1024 * 1024
"""Bytes beyond the limit up to which a body that isn't kept is read."""

MAX_BODY_SECONDS = 60.0
"""Longest time from a request's head to the end of its body: far above the time for which clients
wait, so that only bodies that don't end take as long."""


class BodyOmission(enum.StrEnum):
    """Why a body isn't kept."""

    TOO_LONG = "too_long"
    NO_SPACE = "no_space"
    TOO_SLOW = "too_slow"


class RequestBody:
    """A body that is kept whole or not at all, and read to its end in either case.

    Closing the connection before the end may lose the refusal, so that only a body that may have
    no end is given up before it. Once a part isn't kept nothing is any more, whatever the limit or
    the free space become later.

    Attributes:
        received_bytes: Bytes that have arrived.
        limit_bytes: Limit on the whole body.
        omission: Why the body isn't kept; None while it is.
    """

    def __init__(self, limit_bytes: int, share: ByteShare) -> None:
        """Start without any bytes.

        Args:
            limit_bytes: Limit on the whole body.
            share: What the node holds for the request.
        """
        self.received_bytes = 0
        self.limit_bytes = limit_bytes
        self.omission: BodyOmission | None = None
        self._share = share
        self._data = bytearray()

    def add(self, data: bytes) -> None:
        """Add the next part."""
        self.received_bytes += len(data)
        if self.omission is not None:
            return
        if self.received_bytes > self.limit_bytes:
            self._omit(BodyOmission.TOO_LONG)
        elif not self._share.take(len(data)):
            self._share.refused = True
            self._omit(BodyOmission.NO_SPACE)
        else:
            self._data += data

    @property
    def may_be_endless(self) -> bool:
        """Whether so much has arrived beyond the limit that no more of it is read."""
        return self.received_bytes > self.limit_bytes + MAX_DISCARDED_BYTES

    def give_up(self) -> None:
        """Drop what has arrived: the rest doesn't come in time."""
        self._omit(BodyOmission.TOO_SLOW)

    def _omit(self, omission: BodyOmission) -> None:
        """Drop the body."""
        self.omission = omission
        self._data = bytearray()
        self._share.close()

    def take(self) -> bytes:
        """Return the whole body, which is no longer held here.

        Raises:
            ValueError: It wasn't kept.
        """
        if self.omission is not None:
            raise ValueError(f"the body wasn't kept: {self.omission}")
        data, self._data = self._data, bytearray()
        return bytes(data)
