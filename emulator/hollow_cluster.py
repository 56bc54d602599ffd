"""Simulates the membership protocol of many nodes in one process, in virtual time.

Hollow nodes have a membership and nothing else: no HTTP, no engines, no tasks. Hundreds of
them can therefore run for hours of virtual time, and runs with the same seed are identical.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from emulator.link_faults import LinkFaults
from hopstep.adapters.peer_codec import PeerCodec, encoded_size
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.membership import Action, Membership, MembershipConfig, Send
from hopstep.domain.peer_message import (
    Body,
    Gossip,
    MemberRecord,
    MemberState,
    PeerMessage,
    Push,
)
from hopstep.exceptions import ErrorCode, PeerMessageError

MIN_WAKEUP_SECONDS = 0.005
"""Shortest time between two ticks of one node."""

ENVELOPE_BYTES = 95
"""Frame header, tag, IP and UDP headers around a body, for a name of ten characters."""

CLUSTER_NAME = "hollow"

WALL_CLOCK_START = 1_700_000_000.0
"""Unix time at virtual time 0."""

ActionObserver = Callable[["HollowNode", Action, float], None]


class HollowNode:
    """A simulated node: its membership protocol and the state of its process.

    Attributes:
        name: Member name.
        address: UDP address.
        zone: Zone.
        membership: Protocol state of the current incarnation.
        wakeup_generation: Incremented by every restart, kill and resume; wakeups scheduled
            under an earlier value are ignored.
        running: False while the process is down.
        paused: True while it is stopped by a signal.
        sent_bytes: Bytes sent by all incarnations together.
        codec: Signs and verifies datagrams; None leaves messages unsigned.
    """

    def __init__(self, name: str, address: str, zone: str, membership: Membership) -> None:
        """Create a running node."""
        self.name = name
        self.address = address
        self.zone = zone
        self.membership = membership
        self.wakeup_generation = 0
        self.running = True
        self.paused = False
        self.sent_bytes = 0
        self.codec: PeerCodec | None = None
        self.inbox: list[_Delivery] = []


class _Delivery(msgspec.Struct, frozen=True):
    """A message in transit; signed datagrams are bytes."""

    message: PeerMessage | bytes
    source: str


class HollowCluster:
    """Simulated nodes, the links between them and the event queue."""

    def __init__(
        self,
        seed: int,
        faults: LinkFaults,
        config: MembershipConfig,
        observe: ActionObserver,
        keys: PeerKeys | None = None,
    ) -> None:
        """Create a cluster without nodes at virtual time 0.

        Args:
            seed: Seed of the nodes' random generators.
            faults: Faults of the links between nodes.
            config: Protocol configuration of every node.
            observe: Called with every action except sends.
            keys: Keys that sign datagrams; None for messages without signatures.
        """
        self._generator = random.Random(seed)
        self._config = config
        self._observe = observe
        self._keys = keys
        self._events: list[tuple[float, int, str, int, _Delivery | None]] = []
        self._event_numbers = itertools.count()
        self._incarnation = 1_000
        self.faults = faults
        self.nodes: dict[str, HollowNode] = {}
        self.now = 0.0
        self.messages = 0
        self.rejected = 0

    def add(self, name: str, seeds: tuple[str, ...], zone: str = "zone-1") -> HollowNode:
        """Start a new node whose UDP address is its name."""
        membership = self._membership(name, seeds, zone)
        node = HollowNode(name, name, zone, membership)
        node.codec = self._codec(node)
        self.nodes[name] = node
        self._schedule_wakeup(node, self.now)
        return node

    def restart(self, name: str, seeds: tuple[str, ...]) -> None:
        """Restart a node under a new incarnation and without any state."""
        node = self.nodes[name]
        node.wakeup_generation += 1
        node.running, node.paused = True, False
        node.inbox = []
        node.membership = self._membership(name, seeds, node.zone)
        node.codec = self._codec(node)
        self._schedule_wakeup(node, self.now)

    def kill(self, name: str) -> None:
        """Terminate a node's process without any announcement."""
        node = self.nodes[name]
        node.running = False
        node.wakeup_generation += 1

    def leave(self, name: str) -> None:
        """Shut a node down as planned: it announces that it leaves first."""
        node = self.nodes[name]
        self.act(node, node.membership.leave(self.now))
        self.act(node, node.membership.stop(self.now))
        self.kill(name)

    def pause(self, name: str) -> None:
        """Pause a node's process, as SIGSTOP does."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused node; it first receives the last 100 messages that have arrived."""
        node = self.nodes[name]
        node.paused = False
        node.wakeup_generation += 1
        inbox, node.inbox = node.inbox[-100:], []
        for delivery in inbox:
            self._receive(node, delivery)
        self._schedule_wakeup(node, self.now)

    def run_until(self, end: float) -> None:
        """Process all events until ``end``, in seconds of virtual time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, address, generation, delivery = heapq.heappop(self._events)
            node = self.nodes[address]
            if not node.running:
                continue
            if delivery is not None:
                self._receive(node, delivery)
            elif generation == node.wakeup_generation and not node.paused:
                self.act(node, node.membership.tick(self.now))
                self._schedule_wakeup(
                    node, max(node.membership.next_wakeup(), self._earliest_wakeup())
                )
        self.now = end

    def act(self, node: HollowNode, actions: list[Action]) -> None:
        """Execute the actions that a node's protocol returned."""
        for action in actions:
            if isinstance(action, Send):
                self.send(node, action)
            else:
                self._observe(node, action, self.now)

    def inject(self, target: str, datagram: bytes, source: str) -> None:
        """Deliver a datagram immediately."""
        self.receive(self.nodes[target], datagram, source)

    def introduce_everyone(self) -> None:
        """Make every node known to every other, as in a cluster that has converged."""
        records = [node.membership.own for node in self.nodes.values()]
        gossip = Gossip(members=tuple(records))
        for node in self.nodes.values():
            sender = next(record for record in records if record.name != node.name)
            message = PeerMessage(sender.name, sender.incarnation, Push(gossip))
            node.membership.handle(message, sender.peer_address, self.now)

    def running(self) -> list[HollowNode]:
        """Return the nodes whose processes run."""
        return [node for node in self.nodes.values() if node.running]

    def agrees(self) -> bool:
        """Return whether every running node's view has exactly the running nodes as alive."""
        expected = sorted((node.name, node.membership.own.incarnation) for node in self.running())
        return all(
            [(record.name, record.incarnation) for record in node.membership.alive()] == expected
            for node in self.running()
        )

    def next_incarnation(self) -> int:
        """Return a new incarnation number."""
        self._incarnation += 1
        return self._incarnation

    def own_record(self, name: str, zone: str) -> MemberRecord:
        """Return a node's initial record under a new incarnation."""
        return MemberRecord(
            name, self.next_incarnation(), 0, MemberState.ALIVE, f"{name}:80", name, zone
        )

    def _membership(self, name: str, seeds: tuple[str, ...], zone: str) -> Membership:
        own = self.own_record(name, zone)
        generator = random.Random(self._generator.getrandbits(64))
        return Membership(own, self._config, seeds, generator, encoded_size, self.now)

    def send(self, node: HollowNode, action: Send) -> None:
        """Send a message over a link with its faults."""
        node.sent_bytes += encoded_size(action.body) + ENVELOPE_BYTES
        self.messages += 1
        if action.address not in self.nodes:
            return
        delivery = _Delivery(_encode(node, action.body), node.address)
        for delay in self.faults.deliveries(node.address, action.address):
            self._push(self.now + delay, action.address, 0, delivery)

    def receive(self, node: HollowNode, message: PeerMessage | bytes, source: str) -> bool:
        """Deliver a message to a node; return False if the node rejected it."""
        if isinstance(message, bytes):
            try:
                message = _decode(node, message)
            except PeerMessageError:
                self.rejected += 1
                return False
        self.act(node, node.membership.handle(message, source, self.now))
        return True

    def _codec(self, node: HollowNode) -> PeerCodec | None:
        if self._keys is None:
            return None
        incarnation = node.membership.own.incarnation
        return PeerCodec(CLUSTER_NAME, node.name, incarnation, self._keys, self.wall_clock)

    def wall_clock(self) -> float:
        """Return Unix time in seconds."""
        return WALL_CLOCK_START + self.now

    def _receive(self, node: HollowNode, delivery: _Delivery) -> None:
        if node.paused:
            node.inbox.append(delivery)
            return
        self.receive(node, delivery.message, delivery.source)

    def _schedule_wakeup(self, node: HollowNode, at: float) -> None:
        self._push(at, node.address, node.wakeup_generation, None)

    def _push(self, at: float, address: str, generation: int, delivery: _Delivery | None) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), address, generation, delivery))

    def _earliest_wakeup(self) -> float:
        return self.now + MIN_WAKEUP_SECONDS


def _encode(node: HollowNode, body: Body) -> PeerMessage | bytes:
    own = node.membership.own
    if node.codec is None:
        return PeerMessage(own.name, own.incarnation, body)
    node.codec.use_incarnation(own.incarnation)
    return node.codec.encode(body)


def _decode(node: HollowNode, datagram: bytes) -> PeerMessage:
    if node.codec is None:
        raise PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, "this cluster has no keys")
    return node.codec.decode(datagram)
