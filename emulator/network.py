"""An in-memory datagram network with faults, on trio's clock."""

from __future__ import annotations

import heapq
import itertools

import trio

from emulator.link_faults import LinkFaults
from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.signed_peer_transport import SignedPeerTransport
from hopstep.domain.peer_message import Body
from hopstep.ports.peer_transport import ReceivedMessage

QUEUED_DATAGRAMS = 10_000
"""Capacity of a receiver's queue in datagrams; further ones are dropped."""

Datagram = tuple[bytes, str]


class FaultyNetwork:
    """Carries datagrams between the transports created by ``connect``."""

    def __init__(self, faults: LinkFaults) -> None:
        """Create a network without any transport.

        Args:
            faults: Decides which datagrams arrive, and when.
        """
        self.faults = faults
        self._receivers: dict[str, trio.MemorySendChannel[Datagram]] = {}
        self._paused: dict[str, trio.Event] = {}
        self._waiting: list[tuple[float, int, str, Datagram]] = []
        self._datagram_numbers = itertools.count()
        self._added = trio.Event()

    async def run(self) -> None:
        """Deliver datagrams until cancelled."""
        while True:
            while self._waiting and self._waiting[0][0] <= trio.current_time():
                self._deliver(*heapq.heappop(self._waiting)[2:])
            due_at = self._waiting[0][0] if self._waiting else float("inf")
            with trio.move_on_at(due_at):
                await self._added.wait()

    def connect(self, address: str, codec: PeerCodec) -> FaultyPeerTransport:
        """Return a new transport for an address; an earlier one receives nothing more."""
        sender, receiver = trio.open_memory_channel[Datagram](QUEUED_DATAGRAMS)
        self._receivers[address] = sender
        return FaultyPeerTransport(self, address, codec, receiver)

    def disconnect(self, address: str) -> None:
        """Drop all datagrams sent to an address from now on."""
        self._receivers.pop(address, None)

    def pause(self, address: str) -> None:
        """Block a node's sends and receives until ``resume``, as if paused by SIGSTOP."""
        self._paused[address] = trio.Event()

    def resume(self, address: str) -> None:
        """End a pause; datagrams sent to the node during the pause are still queued for it."""
        self._paused.pop(address).set()

    async def wait_running(self, address: str) -> None:
        """Wait while a node is paused."""
        while address in self._paused:
            await self._paused[address].wait()

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Queue a datagram for delivery, subject to the link faults."""
        for delay in self.faults.deliveries(source, target):
            due_at = trio.current_time() + delay
            item = (due_at, next(self._datagram_numbers), target, (data, source))
            heapq.heappush(self._waiting, item)
        self._added.set()
        self._added = trio.Event()

    def _deliver(self, target: str, datagram: Datagram) -> None:
        receiver = self._receivers.get(target)
        if receiver is None:
            return
        try:
            receiver.send_nowait(datagram)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return


class FaultyPeerTransport(SignedPeerTransport):
    """Transport of one address in a ``FaultyNetwork``."""

    def __init__(
        self,
        network: FaultyNetwork,
        address: str,
        codec: PeerCodec,
        receiver: trio.MemoryReceiveChannel[Datagram],
    ) -> None:
        """Create a transport; use ``FaultyNetwork.connect`` instead of calling this.

        Args:
            network: Network that the transport belongs to.
            address: Own address.
            codec: Signs and verifies datagrams.
            receiver: Queue of arriving datagrams.
        """
        super().__init__(address, codec)
        self._network = network
        self._receiver = receiver

    async def send(self, address: str, body: Body) -> int:
        """Send a message into the network."""
        await self._network.wait_running(self._address)
        await trio.lowlevel.checkpoint()
        datagram = self._codec.encode(body)
        self._network.carry(self._address, address, datagram)
        return len(datagram)

    async def receive(self) -> ReceivedMessage:
        """Wait for the next message; raises ``PeerMessageError`` for a rejected datagram."""
        datagram, source = await self._receiver.receive()
        await self._network.wait_running(self._address)
        return ReceivedMessage(self._codec.decode(datagram), source)

    def close(self) -> None:
        """Close the receiving queue."""
        self._receiver.close()
