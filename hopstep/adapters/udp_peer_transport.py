"""Peer messages over UDP."""

from __future__ import annotations

import contextlib
import ipaddress

import trio

from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.signed_peer_transport import SignedPeerTransport
from hopstep.domain.peer_message import Body
from hopstep.exceptions import ErrorCode, PeerMessageError, PortError
from hopstep.ports.peer_transport import ReceivedMessage

HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram."""

MAX_DATAGRAM_BYTES = 1_400
"""Larger datagrams are never sent; they would be cut up on the way."""

_RECEIVE_BYTES = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of ``ip:port``.

    Raises:
        ValueError: When it isn't an IP number and a port.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Return ``ip:port``, with brackets around an IPv6 number."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class UdpPeerTransport(SignedPeerTransport):
    """One UDP socket; make it with ``open``."""

    def __init__(self, socket: trio.socket.SocketType, codec: PeerCodec) -> None:
        """Use a bound socket.

        Args:
            socket: UDP socket.
            codec: Signs and checks datagrams.
        """
        host, port = socket.getsockname()[:2]
        super().__init__(join_address(host, port), codec)
        self._socket = socket

    @classmethod
    async def open(cls, address: str, codec: PeerCodec) -> UdpPeerTransport:
        """Bind a socket.

        Args:
            address: ``ip:port``; port 0 lets the system choose.
            codec: Signs and checks datagrams.

        Raises:
            PortError: When the address is wrong or taken.
        """
        try:
            return cls(await _bind(*split_address(address)), codec)
        except (OSError, ValueError) as error:
            raise PortError(
                ErrorCode.INVALID_SETTINGS, f"can't bind {address}: {error}", "peers.address"
            ) from error

    async def send(self, address: str, body: Body) -> int:
        """Send a message; one that is too large or can't be sent is lost."""
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
            datagram, source = await self._socket.recvfrom(_RECEIVE_BYTES)
        except ConnectionError as error:
            # An ICMP answer to an earlier datagram: that peer isn't listening.
            raise PeerMessageError(
                ErrorCode.PEER_MESSAGE_REJECTED, "a peer's port is closed"
            ) from error
        message = self._codec.decode(datagram)
        return ReceivedMessage(message, join_address(*source[:2]))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


async def _bind(host: str, port: int) -> trio.socket.SocketType:
    """Return a UDP socket bound to an IP number; a failed one is closed."""
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    socket = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    try:
        await socket.bind((host, port))
    except OSError:
        socket.close()
        raise
    return socket
