"""Follows what the cache stores keep.

While a store doesn't answer it counts as out of reach: nothing is brought from it or saved to it.
"""

from __future__ import annotations

import trio

from hopstep import log_events
from hopstep.domain.exchanges.store_contents import StoreContents
from hopstep.logs import emit
from hopstep.ports.cache_events import CacheEvents, StoreEvents
from hopstep.services.exchanges.knowledge import ServingKnowledge

WAIT_SECONDS = 1.0
PAUSE_SECONDS = 0.3
"""Between two calls, so that events gather."""


class CacheStoreWatch:
    """Keeps the contents of each cache store that the configuration names."""

    def __init__(self, knowledge: ServingKnowledge, events: CacheEvents) -> None:
        """Know no store yet.

        Args:
            knowledge: Names the stores.
            events: Reads their events.
        """
        self._knowledge = knowledge
        self._events = events
        self._contents: dict[str, StoreContents] = {}

    def contents(self, address: str) -> StoreContents | None:
        """Return what a store keeps; None when it isn't followed yet."""
        return self._contents.get(address)

    async def run(self) -> None:
        """Follow all stores until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                index = self._knowledge.index
                for store in index.cache_stores() if index is not None else ():
                    if store.address not in self._contents:
                        contents = self._contents[store.address] = StoreContents()
                        nursery.start_soon(self._follow, store.address, contents)
                await self._knowledge.changed.wait()

    async def _follow(self, address: str, contents: StoreContents) -> None:
        """Follow one store."""
        position = 0
        epoch: int | None = None
        while True:
            batch = await self._events.read(address, position, WAIT_SECONDS)
            self._note_reachable(address, contents, batch is not None)
            if batch is not None:
                self._take(contents, batch, epoch)
                if epoch is not None and batch.epoch != epoch:
                    batch = await self._events.read(address, 0, 0.0) or batch
                    self._take(contents, batch, batch.epoch)
                epoch, position = batch.epoch, batch.position
            await trio.sleep(PAUSE_SECONDS)

    @staticmethod
    def _take(contents: StoreContents, batch: StoreEvents, epoch: int | None) -> None:
        """Take a batch; a restart or a gap empties what is known."""
        if batch.epoch != epoch or batch.lost:
            contents.clear()
        contents.apply(batch.events)

    @staticmethod
    def _note_reachable(address: str, contents: StoreContents, reachable: bool) -> None:
        """Log a lost or regained store."""
        if reachable != contents.reachable:
            contents.reachable = reachable
            emit(log_events.CACHE_STORE_CHANGED, address=address, reachable=reachable)
