"""Common base of transports of signed datagrams."""

from __future__ import annotations

import msgspec

from hopstep.adapters.peer_codec import PeerCodec, encoded_size
from hopstep.ports.peer_transport import PeerTransport


class SignedPeerTransport(PeerTransport):
    """A transport with a codec; subclasses send and receive the datagrams."""

    def __init__(self, address: str, codec: PeerCodec) -> None:
        """Store address and codec.

        Args:
            address: Own ``ip:port``.
            codec: Signs and verifies datagrams.
        """
        self._address = address
        self._codec = codec

    @property
    def address(self) -> str:
        """``ip:port`` that peers send to."""
        return self._address

    def use_incarnation(self, incarnation: int) -> None:
        """Sign further messages under another incarnation."""
        self._codec.use_incarnation(incarnation)

    def encoded_size(self, value: msgspec.Struct) -> int:
        """Return the encoded size, in bytes, of a body or a part of one."""
        return encoded_size(value)
