"""Which kept connections may carry another call, so that each answer belongs to one send."""

from __future__ import annotations

MAX_SENDS = 256
"""Calls over one connection; bounds the identifiers that a connection remembers."""

SINGLE_USE_SECONDS = 5.0
"""Time after surplus bytes during which an address gets a new connection for each call. An answer
that is sent again may come seconds late."""

MAX_ADDRESSES = 1_024
"""Addresses whose surplus bytes are remembered."""


class SingleUseAddresses:
    """Addresses that have sent bytes for which no call waited, and get new connections for now."""

    def __init__(self) -> None:
        """Start without any address."""
        self._until: dict[str, float] = {}

    def note_surplus(self, address: str, now: float) -> None:
        """Note that an address has sent surplus bytes at ``now``, in seconds."""
        self._until.pop(address, None)
        self._until[address] = now + SINGLE_USE_SECONDS
        if len(self._until) > MAX_ADDRESSES:
            self._until.pop(next(iter(self._until)))

    def includes(self, address: str, now: float) -> bool:
        """Return whether a connection to an address may carry one call only."""
        until = self._until.get(address)
        if until is None:
            return False
        if now < until:
            return True
        del self._until[address]
        return False


class SentIdentifiers:
    """Identifiers of the calls that one connection has carried.

    A second call with the same identifier could be given an answer to the first one that is sent
    again late: nothing in the answer tells the two apart.
    """

    def __init__(self) -> None:
        """Start without any identifier."""
        self._hashes: set[int] = set()

    def add(self, identifier: bytes) -> None:
        """Remember an identifier; an empty one stands for none."""
        if identifier:
            self._hashes.add(hash(identifier))

    def __contains__(self, identifier: bytes) -> bool:
        """Return whether a call with the identifier may have been carried."""
        return hash(identifier) in self._hashes
