"""Transport of peer messages over UDP."""

from __future__ import annotations

import contextlib

import trio

from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.signed_peer_transport import SignedPeerTransport
from hopstep.domain.addresses import SocketAddress, parse_address
from hopstep.domain.peer_message import Body
from hopstep.exceptions import ErrorCode, PeerMessageError, PortError, ValidationError
from hopstep.ports.peer_transport import ReceivedMessage

HEADER_BYTES = 28
"""Size of a datagram's IPv4 and UDP headers."""

MAX_DATAGRAM_BYTES = 1_400
"""Larger datagrams are never sent because IP would fragment them, and are rejected."""


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of ``ip:port``.

    Raises:
        ValueError: If it isn't an IP address and a port.
    """
    try:
        parsed = parse_address(address)
    except ValidationError as error:
        raise ValueError(error.message) from error
    return parsed.host, parsed.port


class UdpPeerTransport(SignedPeerTransport):
    """Peer transport over one UDP socket; created with ``open``."""

    def __init__(self, socket: trio.socket.SocketType, codec: PeerCodec) -> None:
        """Wrap a bound socket.

        Args:
            socket: UDP socket.
            codec: Signs and verifies datagrams.
        """
        host, port = socket.getsockname()[:2]
        super().__init__(str(SocketAddress(host, port)), codec)
        self._socket = socket

    @classmethod
    async def open(cls, address: str, codec: PeerCodec) -> UdpPeerTransport:
        """Bind a socket.

        Args:
            address: ``ip:port``; port 0 lets the system choose.
            codec: Signs and verifies datagrams.

        Raises:
            PortError: If the address is invalid or in use.
        """
        try:
            return cls(await _bind(*split_address(address)), codec)
        except (OSError, ValueError) as error:
            raise PortError(
                ErrorCode.INVALID_SETTINGS, f"can't bind {address}: {error}", "peers.address"
            ) from error

    async def send(self, address: str, body: Body) -> int:
        """Send a message and return its bytes on the wire; 0 if it is too large or not sent."""
        datagram = self._codec.encode(body)
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return 0
        with contextlib.suppress(OSError, ValueError):
            await self._socket.sendto(datagram, split_address(address))
            return len(datagram) + HEADER_BYTES
        return 0

    async def receive(self) -> ReceivedMessage:
        """Wait for the next message; raises ``PeerMessageError`` for a rejected datagram."""
        try:
            datagram, source = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except ConnectionError as error:
            # An ICMP error for an earlier datagram: that peer isn't listening.
            raise PeerMessageError(
                ErrorCode.PEER_MESSAGE_REJECTED, "a peer's port is closed"
            ) from error
        message = self._codec.decode(datagram)
        return ReceivedMessage(message, str(SocketAddress(*source[:2])))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


async def _bind(host: str, port: int) -> trio.socket.SocketType:
    """Return a UDP socket bound to an IP address; it is closed if binding fails."""
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    socket = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    try:
        await socket.bind((host, port))
    except OSError:
        socket.close()
        raise
    return socket
