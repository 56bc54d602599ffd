"""Sends updates that affect the choices of all nodes: at once when few, in batches when many.

A node sends them to its relay, the relay to its nodes and to the other relays, and these to their
nodes.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable

import msgspec
import trio

from hopstep.domain.exchanges.pending_updates import SENDING_INTERVAL_SECONDS, PendingUpdates
from hopstep.ports.node_exchange import (
    MessageTooLongError,
    NodeExchange,
    SentPrompt,
    UrgentUpdates,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue
from hopstep.services.quarantine.quarantine import Quarantine


class UpdateBroadcast:
    """Sends this node's urgent updates and, on a relay, forwards those of others."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        sharing: LoadSharing,
        urgent: UrgentQueue,
        quarantine: Quarantine,
        exchange: NodeExchange,
    ) -> None:
        """Start without updates. Must be called inside the event loop.

        Args:
            knowledge: Nodes and relays.
            sharing: Provides the nodes that query this one.
            urgent: This node's own updates.
            quarantine: Requests under which instances have crashed.
            exchange: Sends datagrams.
        """
        self._knowledge = knowledge
        self._sharing = sharing
        self._urgent = urgent
        self._quarantine = quarantine
        self._exchange = exchange
        self._number = 0
        self._prompts = PendingUpdates[SentPrompt]()
        self._own_prompts = PendingUpdates[SentPrompt]()
        self._prompts_added = trio.Event()

    async def run(self) -> None:
        """Send updates as they come, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_own)
            nursery.start_soon(self._send_gathered)

    async def _send_own(self) -> None:
        """Send this node's updates as they come."""
        while True:
            await self._urgent.filled.wait()
            batch = self._urgent.take()
            crashes = tuple(self._quarantine.known_crashes(request) for request in batch.requests)
            self._number += 1
            update = UrgentUpdates(
                self._number, batch.prompts, batch.loading, crashes, batch.suspected
            )
            relay = self._knowledge.relays.relay()
            if relay:
                await self._send(update, [relay])
            else:
                await self._distribute(self._knowledge.name, update, own=True)

    async def forward(self, sender: str, update: UrgentUpdates) -> None:
        """Forward an update of another node, if this one is a relay."""
        if not self._knowledge.relays.relay():
            await self._distribute(sender, update, own=self._sharing.is_member(sender))

    async def _distribute(self, origin: str, update: UrgentUpdates, *, own: bool) -> None:
        """Send updates of this relay's own group to all nodes, others to its group.

        Prompts are frequent and are sent in batches; the rest is sent at once.
        """
        self._prompts.add(origin, update.prompts)
        if own:
            self._own_prompts.add(origin, update.prompts)
        if update.prompts:
            self._prompts_added.set()
        if update.loading or update.crashes or update.suspected:
            relays = self._knowledge.relays.digest_targets() if own else []
            targets = sorted({*self._sharing.members(), *relays} - {origin})
            await self._send(msgspec.structs.replace(update, prompts=()), targets)

    async def _send_gathered(self) -> None:
        """Send collected prompts, in batches while there are many, until cancelled."""
        while True:
            await self._prompts_added.wait()
            self._prompts_added = trio.Event()
            members = self._sharing.members()
            relays = [n for n in self._knowledge.relays.digest_targets() if n not in members]
            for bundle in (*self._prompts.take(members), *self._own_prompts.take(relays)):
                self._number += 1
                await self._send(UrgentUpdates(self._number, bundle.updates), bundle.targets)
            await trio.sleep(SENDING_INTERVAL_SECONDS)

    async def _send(self, update: UrgentUpdates, names: Iterable[str]) -> None:
        """Send an update to nodes; one too long for a datagram is sent later with the loads."""
        known = self._knowledge.nodes
        with contextlib.suppress(MessageTooLongError):
            await self._exchange.send_all(update, [known[name] for name in names if name in known])
