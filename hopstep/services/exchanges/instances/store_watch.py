"""Tracks the contents of the cache stores: relays read their events, other nodes ask a relay.

While a store doesn't answer it counts as unreachable: nothing is loaded from it or saved to it.
"""

from __future__ import annotations

import secrets

import trio

from hopstep.domain.exchanges.store_contents import (
    ContentsPosition,
    ContentsUpdate,
    StoreContents,
)
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.log_events.instances import CACHE_STORE_CHANGED
from hopstep.logs import emit
from hopstep.ports.cache_events import CacheEventBatch, CacheEvents
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.pause_watch import PauseWatch

WAIT_SECONDS = 1.0
BATCHING_SECONDS = 0.3
"""Seconds between two calls, so that events are read in batches."""

IDENTITY_BYTES = 6
MAX_CHANGES = 256
"""Most changes of one store in a relay's answer."""


class CacheStoreWatch:
    """Keeps the contents of each cache store that the configuration names."""

    def __init__(
        self, knowledge: ServingKnowledge, events: CacheEvents, pauses: PauseWatch
    ) -> None:
        """Start without any store.

        Args:
            knowledge: Configuration with the cache stores.
            events: Reads the stores' events.
            pauses: Detects pauses of the node's own process.
        """
        self._knowledge = knowledge
        self._events = events
        self._pauses = pauses
        self._contents: dict[str, StoreContents] = {}
        self._reconsidered = trio.Event()

    def reconsider(self) -> None:
        """Check again whether this node has to read the stores, after its relay changed."""
        self._reconsidered.set()
        self._reconsidered = trio.Event()

    def contents(self, address: str) -> StoreContents | None:
        """Return the contents of a store; None when it isn't followed yet."""
        return self._contents.get(address)

    def positions(self) -> tuple[ContentsPosition, ...]:
        """Return the position of this node in the changes of each store."""
        return tuple(contents.position for contents in self._contents.values())

    def updates_after(self, positions: tuple[ContentsPosition, ...]) -> tuple[ContentsUpdate, ...]:
        """Return the changes after another node's positions."""
        followed = ((self._contents.get(at.address), at) for at in positions)
        return tuple(
            contents.updates_after(at, MAX_CHANGES)
            for contents, at in followed
            if contents is not None
        )

    def apply_updates(self, updates: tuple[ContentsUpdate, ...]) -> None:
        """Apply the changes that the relay reports."""
        for update in updates:
            contents = self._contents.get(update.after.address)
            if contents is not None:
                before = contents.reachable
                contents.take(update)
                _log_reachable(update.after.address, before, contents)

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
        """Read one store's events whenever this node has no relay that reports them."""
        while True:
            if not self._knowledge.relays.relay():
                contents.clear(secrets.token_hex(IDENTITY_BYTES))
                await self._read(address, contents)
            await self._reconsidered.wait()

    async def _read(self, address: str, contents: StoreContents) -> None:
        """Read a store's events until this node has a relay that reports them."""
        position = 0
        epoch: int | None = None
        while not self._knowledge.relays.relay():
            received: list[InstanceNotice] = []
            batch = await self._events.read(address, position, WAIT_SECONDS, received.append)
            if batch is None and self._pauses.has_just_ended:
                await trio.sleep(BATCHING_SECONDS)
                continue
            before, contents.reachable = contents.reachable, batch is not None
            _log_reachable(address, before, contents)
            if batch is not None:
                _apply(contents, batch, epoch)
                if epoch is not None and batch.epoch != epoch:
                    batch = await self._events.read(address, 0, 0.0) or batch
                    _apply(contents, batch, batch.epoch)
                epoch, position = batch.epoch, batch.position
            backoffs = [notice.backoff_seconds for notice in received]
            await trio.sleep(max(BATCHING_SECONDS, max(backoffs, default=0.0)))


def _apply(contents: StoreContents, batch: CacheEventBatch, epoch: int | None) -> None:
    """Apply a batch; after a restart or a gap the known contents are cleared first."""
    if batch.epoch != epoch or batch.lost:
        contents.clear(secrets.token_hex(IDENTITY_BYTES))
    contents.apply(batch.events)


def _log_reachable(address: str, before: bool, contents: StoreContents) -> None:
    """Log that a store has become reachable or unreachable."""
    if before != contents.reachable:
        emit(CACHE_STORE_CHANGED, address=address, reachable=contents.reachable)
