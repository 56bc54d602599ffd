"""Port to other routers: authenticated datagrams that may be lost, delayed or duplicated."""

from __future__ import annotations

import abc

import msgspec

from hopstep.domain.peer_message import Body, PeerMessage


class ReceivedMessage(msgspec.Struct, frozen=True):
    """An authenticated message and its source.

    Attributes:
        message: The message.
        source: ``ip:port`` of the sending socket.
    """

    message: PeerMessage
    source: str


class PeerTransport(abc.ABC):
    """Sends and receives messages for one member."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """``ip:port`` to which peers send."""

    @abc.abstractmethod
    def use_incarnation(self, incarnation: int) -> None:
        """Sign further messages under another incarnation."""

    @abc.abstractmethod
    def encoded_size(self, value: msgspec.Struct) -> int:
        """Return the encoded size in bytes of a body, or of a part of one."""

    @abc.abstractmethod
    async def send(self, address: str, body: Body) -> int:
        """Send a message; a network failure loses it silently.

        Returns:
            Bytes sent, IP and UDP headers included; 0 when nothing was sent.
        """

    @abc.abstractmethod
    async def receive(self) -> ReceivedMessage:
        """Wait for the next message.

        Raises:
            PeerMessageError: When a datagram is truncated, forged, replayed, too old or from
                another cluster. The next call continues with the next datagram.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the socket."""
