"""Transport of messages between nodes over UDP."""

from __future__ import annotations

import errno
from collections.abc import Iterable, Mapping

import trio

from hopstep.adapters.node_codec import FrameError, decode_frame, encode_frame
from hopstep.domain.addresses import parse_address
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.ports.node_exchange import (
    MessageTooLongError,
    NodeExchange,
    NodeMessage,
    Received,
)
from hopstep.rejected_messages import RejectedMessages

MAX_DATAGRAM_BYTES = 60_000


class NodeDatagrams(NodeExchange):
    """Node exchange over one UDP socket; created with ``open``."""

    def __init__(self, socket: trio.socket.SocketType, name: str, key: bytes) -> None:
        """Wrap a bound socket.

        Args:
            socket: UDP socket.
            name: Name of this node.
            key: Key that signs its messages.
        """
        self._socket = socket
        self._name = name
        self._key = key
        self._rejected = RejectedMessages()

    @classmethod
    async def open(cls, address: str, name: str, key: bytes) -> NodeDatagrams:
        """Bind a socket to ``ip:port``."""
        parsed = parse_address(address)
        socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await socket.bind((parsed.host, parsed.port))
        return cls(socket, name, key)

    async def send(self, message: NodeMessage, node: NodeRecord) -> None:
        """Send a message; see the port."""
        await self.send_all(message, (node,))

    async def send_all(self, message: NodeMessage, nodes: Iterable[NodeRecord]) -> None:
        """Send one message to several nodes, encoded once; see the port."""
        frame = encode_frame(message, self._name, self._key)
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise MessageTooLongError
        for node in nodes:
            await self._send_frame(frame, node)

    async def _send_frame(self, frame: bytes, node: NodeRecord) -> None:
        """Send an encoded message."""
        host, _, port = node.address.rpartition(":")
        try:
            await self._socket.sendto(frame, (host, int(port)))
        except OSError as error:
            if error.errno == errno.EMSGSIZE:
                raise MessageTooLongError from error

    async def receive(self, nodes: Mapping[str, NodeRecord]) -> Received:
        """Return the next message; see the port."""
        while True:
            try:
                frame, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                return decode_frame(frame, nodes)
            except FrameError as error:
                self._rejected.note(str(error))
                await trio.lowlevel.checkpoint()
            except OSError:
                # An ICMP error for a datagram that was sent to a closed port.
                await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
