"""In-process datagrams between nodes, in the real frames: delayed, lost, repeated or cut."""

from __future__ import annotations

import random
from collections.abc import Mapping

import trio
import trio.lowlevel

from hopstep.adapters.node_codec import FrameError, decode_frame, encode_frame
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.ports.node_exchange import NodeExchange, NodeMessage, Received

QUEUE_FRAMES = 10_000


class EmulatedNodeNetwork:
    """The network between nodes; faults are fields that may change at any time."""

    def __init__(self, generator: random.Random) -> None:
        """Start without faults.

        Args:
            generator: Draws losses and delays.
        """
        self.delay_seconds = 0.001
        self.extra_delay_seconds = 0.0
        self.loss = 0.0
        self.repeats = 0.0
        self.late: dict[str, float] = {}
        """Additional seconds until a node reads a frame, by its name."""
        self.cut: set[tuple[str, str]] = set()
        self.frames = 0
        self.bytes = 0
        self._generator = generator
        self._queues: dict[str, trio.MemorySendChannel[bytes]] = {}
        self._addresses: dict[str, str] = {}

    def attach(self, name: str, address: str, key: bytes) -> EmulatedNodeExchange:
        """Return the exchange of a node; it replaces an earlier one at the same address."""
        sender, receiver = trio.open_memory_channel[bytes](QUEUE_FRAMES)
        self._queues[address] = sender
        self._addresses[address] = name
        return EmulatedNodeExchange(self, name, key, receiver)

    def isolate(self, name: str, *, inbound: bool = True, outbound: bool = True) -> None:
        """Isolate a node from all others, in one or both directions."""
        for other in set(self._addresses.values()) - {name}:
            if inbound:
                self.cut.add((other, name))
            if outbound:
                self.cut.add((name, other))

    def post(self, sender: str, address: str, frame: bytes) -> None:
        """Send a frame to an address, subject to the faults."""
        self.frames += 1
        self.bytes += len(frame)
        receiver = self._addresses.get(address, "")
        if (sender, receiver) in self.cut or self._generator.random() < self.loss:
            return
        copies = 2 if self._generator.random() < self.repeats else 1
        for _ in range(copies):
            delay = self.delay_seconds + self.extra_delay_seconds * self._generator.random()
            delay += self.late.get(receiver, 0.0)
            trio.lowlevel.spawn_system_task(self._deliver, address, frame, delay)

    async def _deliver(self, address: str, frame: bytes, delay: float) -> None:
        """Deliver a frame after its delay."""
        await trio.sleep(delay)
        queue = self._queues.get(address)
        if queue is not None:
            try:
                queue.send_nowait(frame)
            except (trio.WouldBlock, trio.BrokenResourceError):
                return


class EmulatedNodeExchange(NodeExchange):
    """Connection of one node to the network."""

    def __init__(
        self,
        network: EmulatedNodeNetwork,
        name: str,
        key: bytes,
        frames: trio.MemoryReceiveChannel[bytes],
    ) -> None:
        """Connect a node to a network.

        Args:
            network: The network.
            name: Name of the node.
            key: Key that signs the node's messages.
            frames: Channel of arriving frames.
        """
        self._network = network
        self._name = name
        self._key = key
        self._frames = frames

    async def send(self, message: NodeMessage, node: NodeRecord) -> None:
        """Send a message; see the port."""
        await trio.lowlevel.checkpoint()
        frame = encode_frame(message, self._name, self._key)
        self._network.post(self._name, node.address, frame)

    async def receive(self, nodes: Mapping[str, NodeRecord]) -> Received:
        """Return the next message; see the port."""
        while True:
            frame = await self._frames.receive()
            try:
                return decode_frame(frame, nodes)
            except FrameError:
                continue
