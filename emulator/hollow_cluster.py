"""Many members' protocols in one process, driven by an event queue in virtual time.

Hollow nodes have a membership and nothing else: no HTTP, no engines, no tasks. So hundreds of
them run for hours of virtual time, and each run with one seed is the same.
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
    """One node: its protocol, and whether its process runs.

    Attributes:
        name: Member name.
        address: UDP address.
        zone: Zone.
        membership: Protocol of the present incarnation.
        life: Raised on every start, end and resumption; earlier ticks are void.
        running: False while the process is down.
        paused: True while it is stopped by a signal.
        sent_bytes: Bytes sent over all incarnations.
        codec: Signs and checks datagrams; None passes messages on as they are.
    """

    def __init__(self, name: str, address: str, zone: str, membership: Membership) -> None:
        """Hold a started node."""
        self.name = name
        self.address = address
        self.zone = zone
        self.membership = membership
        self.life = 0
        self.running = True
        self.paused = False
        self.sent_bytes = 0
        self.codec: PeerCodec | None = None
        self.inbox: list[_Delivery] = []


class _Delivery(msgspec.Struct, frozen=True):
    """A message on its way; signed datagrams are bytes."""

    message: PeerMessage | bytes
    source: str


class HollowCluster:
    """Nodes, links and the event queue."""

    def __init__(
        self,
        seed: int,
        faults: LinkFaults,
        config: MembershipConfig,
        observe: ActionObserver,
        keys: PeerKeys | None = None,
    ) -> None:
        """Start empty at time 0.

        Args:
            seed: Seed of all chance in the nodes.
            faults: Links.
            config: Protocol configuration of every node.
            observe: Called with every action but sends.
            keys: Keys that sign datagrams; None for messages without signatures.
        """
        self._generator = random.Random(seed)
        self._config = config
        self._observe = observe
        self._keys = keys
        self._events: list[tuple[float, int, str, int, _Delivery | None]] = []
        self._numbers = itertools.count()
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
        self._wake(node, self.now)
        return node

    def restart(self, name: str, seeds: tuple[str, ...]) -> None:
        """Start a node anew, under a new incarnation and without any memory."""
        node = self.nodes[name]
        node.life += 1
        node.running, node.paused = True, False
        node.inbox = []
        node.membership = self._membership(name, seeds, node.zone)
        node.codec = self._codec(node)
        self._wake(node, self.now)

    def kill(self, name: str) -> None:
        """End a node's process without a word."""
        node = self.nodes[name]
        node.running = False
        node.life += 1

    def leave(self, name: str) -> None:
        """End a node's process on a plan: it says so first."""
        node = self.nodes[name]
        self.act(node, node.membership.leave(self.now))
        self.act(node, node.membership.stop(self.now))
        self.kill(name)

    def pause(self, name: str) -> None:
        """Stop a node's process by a signal."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Let a paused node run on; what arrived meanwhile comes first, if it still fits."""
        node = self.nodes[name]
        node.paused = False
        node.life += 1
        inbox, node.inbox = node.inbox[-100:], []
        for delivery in inbox:
            self._receive(node, delivery)
        self._wake(node, self.now)

    def run_until(self, end: float) -> None:
        """Advance virtual time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, address, life, delivery = heapq.heappop(self._events)
            node = self.nodes[address]
            if not node.running:
                continue
            if delivery is not None:
                self._receive(node, delivery)
            elif life == node.life and not node.paused:
                self.act(node, node.membership.tick(self.now))
                self._wake(node, max(node.membership.next_wakeup(), self._soon()))
        self.now = end

    def act(self, node: HollowNode, actions: list[Action]) -> None:
        """Carry out the actions of a node's protocol."""
        for action in actions:
            if isinstance(action, Send):
                self.send(node, action)
            else:
                self._observe(node, action, self.now)

    def inject(self, target: str, datagram: bytes, source: str) -> None:
        """Deliver a datagram at once."""
        self.receive(self.nodes[target], datagram, source)

    def introduce_everyone(self) -> None:
        """Let every node know every other, as after a long time without faults."""
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
        """Return whether every running node holds exactly the running ones alive."""
        expected = sorted((node.name, node.membership.own.incarnation) for node in self.running())
        return all(
            [(record.name, record.incarnation) for record in node.membership.alive()] == expected
            for node in self.running()
        )

    def next_incarnation(self) -> int:
        """Return the incarnation of the next start."""
        self._incarnation += 1
        return self._incarnation

    def own_record(self, name: str, zone: str) -> MemberRecord:
        """Return the first record of a start."""
        return MemberRecord(
            name, self.next_incarnation(), 0, MemberState.ALIVE, f"{name}:80", name, zone
        )

    def _membership(self, name: str, seeds: tuple[str, ...], zone: str) -> Membership:
        own = self.own_record(name, zone)
        generator = random.Random(self._generator.getrandbits(64))
        return Membership(own, self._config, seeds, generator, encoded_size, self.now)

    def send(self, node: HollowNode, action: Send) -> None:
        """Put a message on its way through the faults."""
        node.sent_bytes += encoded_size(action.body) + ENVELOPE_BYTES
        self.messages += 1
        if action.address not in self.nodes:
            return
        delivery = _Delivery(_wrap(node, action.body), node.address)
        for delay in self.faults.deliveries(node.address, action.address):
            self._push(self.now + delay, action.address, 0, delivery)

    def receive(self, node: HollowNode, message: PeerMessage | bytes, source: str) -> bool:
        """Hand a message to a node; return whether it was authentic."""
        if isinstance(message, bytes):
            try:
                message = _unwrap(node, message)
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

    def _wake(self, node: HollowNode, at: float) -> None:
        self._push(at, node.address, node.life, None)

    def _push(self, at: float, address: str, life: int, delivery: _Delivery | None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), address, life, delivery))

    def _soon(self) -> float:
        return self.now + MIN_WAKEUP_SECONDS


def _wrap(node: HollowNode, body: Body) -> PeerMessage | bytes:
    own = node.membership.own
    if node.codec is None:
        return PeerMessage(own.name, own.incarnation, body)
    node.codec.use_incarnation(own.incarnation)
    return node.codec.encode(body)


def _unwrap(node: HollowNode, datagram: bytes) -> PeerMessage:
    if node.codec is None:
        raise PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, "this cluster has no keys")
    return node.codec.decode(datagram)
