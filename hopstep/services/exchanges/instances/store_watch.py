"""Follows what the cache stores keep: by their events on relays, by the relay on other nodes.

While a store doesn't answer it counts as out of reach: nothing is brought from it or saved to it.
"""

from __future__ import annotations

import secrets

import trio

from hopstep import log_events
from hopstep.domain.exchanges.store_contents import (
    ContentsPosition,
    ContentsUpdate,
    StoreContents,
)
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.logs import emit
from hopstep.ports.cache_events import CacheEventBatch, CacheEvents
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.pause_watch import PauseWatch

WAIT_SECONDS = 1.0
PAUSE_SECONDS = 0.3
"""Between two calls, so that events gather."""

IDENTITY_BYTES = 6
MAX_CHANGES = 256
"""Most changes of one store in an answer."""


class CacheStoreWatch:
    """Keeps the contents of each cache store that the configuration names."""

    def __init__(
        self, knowledge: ServingKnowledge, events: CacheEvents, pauses: PauseWatch
    ) -> None:
        """Know no store yet.

        Args:
            knowledge: Names the stores.
            events: Reads their events.
            pauses: Notices pauses of the node itself.
        """
        self._knowledge = knowledge
        self._events = events
        self._pauses = pauses
        self._contents: dict[str, StoreContents] = {}
        self._reconsidered = trio.Event()

    def reconsider(self) -> None:
        """Look again whether this node has to read the stores: it may have no relay any more."""
        self._reconsidered.set()
        self._reconsidered = trio.Event()

    def contents(self, address: str) -> StoreContents | None:
        """Return what a store keeps; None when it isn't followed yet."""
        return self._contents.get(address)

    def positions(self) -> tuple[ContentsPosition, ...]:
        """Return how far this node knows each store."""
        return tuple(contents.position for contents in self._contents.values())

    def news_after(self, positions: tuple[ContentsPosition, ...]) -> tuple[ContentsUpdate, ...]:
        """Return what another node doesn't know yet."""
        followed = ((self._contents.get(at.address), at) for at in positions)
        return tuple(
            contents.updates_after(at, MAX_CHANGES)
            for contents, at in followed
            if contents is not None
        )

    def take(self, news: tuple[ContentsUpdate, ...]) -> None:
        """Take what the relay tells."""
        for told in news:
            contents = self._contents.get(told.after.address)
            if contents is not None:
                before = contents.reachable
                contents.take(told)
                _log_reachable(told.after.address, before, contents)

    async def run(self) -> None:
        """Follow all stores until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                index = self._knowledge.index
                for store in index.cache_stores() if index is not None else ():
                    if store.address not in self._contents:
                        contents = self._contents[store.address] = StoreContents(store.address)
                        nursery.start_soon(self._follow, store.address, contents)
                await self._knowledge.changed.wait()

    async def _follow(self, address: str, contents: StoreContents) -> None:
        """Follow one store, as long as no relay tells of it."""
        while True:
            if not self._knowledge.relays.relay():
                contents.clear(secrets.token_hex(IDENTITY_BYTES))
                await self._read(address, contents)
            await self._reconsidered.wait()

    async def _read(self, address: str, contents: StoreContents) -> None:
        """Read a store's events until a relay tells them."""
        position = 0
        epoch: int | None = None
        while not self._knowledge.relays.relay():
            heard: list[InstanceNotice] = []
            batch = await self._events.read(address, position, WAIT_SECONDS, heard.append)
            if batch is None and self._pauses.has_just_ended:
                await trio.sleep(PAUSE_SECONDS)
                continue
            before, contents.reachable = contents.reachable, batch is not None
            _log_reachable(address, before, contents)
            if batch is not None:
                _take(contents, batch, epoch)
                if epoch is not None and batch.epoch != epoch:
                    batch = await self._events.read(address, 0, 0.0) or batch
                    _take(contents, batch, batch.epoch)
                epoch, position = batch.epoch, batch.position
            rests = [notice.backoff_seconds for notice in heard]
            await trio.sleep(max(PAUSE_SECONDS, max(rests, default=0.0)))


def _take(contents: StoreContents, batch: CacheEventBatch, epoch: int | None) -> None:
    """Take a batch; a restart or a gap empties what is known."""
    if batch.epoch != epoch or batch.lost:
        contents.clear(secrets.token_hex(IDENTITY_BYTES))
    contents.apply(batch.events)


def _log_reachable(address: str, before: bool, contents: StoreContents) -> None:
    """Log a lost or regained store."""
    if before != contents.reachable:
        emit(log_events.CACHE_STORE_CHANGED, address=address, reachable=contents.reachable)
