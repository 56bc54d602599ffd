"""Tells other nodes of what changes the choices of all: at once in quiet moments, else together.

A node tells its relay, the relay its nodes and the other relays, and these their nodes.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable

import msgspec
import trio

from hopstep.domain.exchanges.gathered_news import GATHER_SECONDS, GatheredNews
from hopstep.ports.node_exchange import (
    MessageTooLongError,
    NodeExchange,
    SentPrompt,
    UrgentUpdates,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.urgent_box import UrgentBox
from hopstep.services.quarantine.quarantine import Quarantine


class NewsSpreading:
    """Sends this node's news and, on a relay, passes on those of others."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        sharing: LoadSharing,
        urgent: UrgentBox,
        quarantine: Quarantine,
        exchange: NodeExchange,
    ) -> None:
        """Hold no news. Must be called inside the event loop.

        Args:
            knowledge: Nodes and relays.
            sharing: Knows which nodes ask this one.
            urgent: This node's own news.
            quarantine: Requests under which instances have ended.
            exchange: Datagrams.
        """
        self._knowledge = knowledge
        self._sharing = sharing
        self._urgent = urgent
        self._quarantine = quarantine
        self._exchange = exchange
        self._number = 0
        self._prompts = GatheredNews[SentPrompt]()
        self._own_prompts = GatheredNews[SentPrompt]()
        self._gathering = trio.Event()

    async def run(self) -> None:
        """Send what comes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_own)
            nursery.start_soon(self._tell_gathered)

    async def _tell_own(self) -> None:
        """Send this node's news as they come."""
        while True:
            await self._urgent.filled.wait()
            contents = self._urgent.take()
            crashes = tuple(self._quarantine.told(request) for request in contents.requests)
            self._number += 1
            news = UrgentUpdates(self._number, contents.prompts, contents.loading, crashes)
            relay = self._knowledge.relays.relay()
            if relay:
                await self._spread(news, [relay])
            else:
                await self._distribute(self._knowledge.name, news, own=True)

    async def pass_on(self, sender: str, news: UrgentUpdates) -> None:
        """Pass news on that came from another node, if this one is a relay."""
        if not self._knowledge.relays.relay():
            await self._distribute(sender, news, own=self._sharing.is_member(sender))

    async def _distribute(self, origin: str, news: UrgentUpdates, *, own: bool) -> None:
        """Send news of this relay's own nodes to everyone, others to its nodes.

        Prompts are many, and are gathered for a moment; the rest goes on at once.
        """
        self._prompts.add(origin, news.prompts)
        if own:
            self._own_prompts.add(origin, news.prompts)
        if news.prompts:
            self._gathering.set()
        if news.loading or news.crashes:
            relays = self._knowledge.relays.digest_targets() if own else []
            targets = sorted({*self._sharing.members(), *relays} - {origin})
            await self._spread(msgspec.structs.replace(news, prompts=()), targets)

    async def _tell_gathered(self) -> None:
        """Send prompts at once, those of busy moments together, until cancelled."""
        while True:
            await self._gathering.wait()
            self._gathering = trio.Event()
            members = self._sharing.members()
            relays = [n for n in self._knowledge.relays.digest_targets() if n not in members]
            for bundle in (*self._prompts.take(members), *self._own_prompts.take(relays)):
                self._number += 1
                await self._spread(UrgentUpdates(self._number, bundle.news), bundle.targets)
            await trio.sleep(GATHER_SECONDS)

    async def _spread(self, news: UrgentUpdates, names: Iterable[str]) -> None:
        """Send news to nodes; what is too long for a datagram is told with the loads later."""
        known = self._knowledge.nodes
        with contextlib.suppress(MessageTooLongError):
            await self._exchange.send_all(news, [known[name] for name in names if name in known])
