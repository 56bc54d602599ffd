"""Follows the cache events of engines: one node reads each engine's and reports them to the others.

While an engine's events can't be read, or its node is gone, its cache indexes are updated only from
the prompts that are sent to it.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.engine_contents import EngineContents
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.watch_plan import WatchPlan
from hopstep.domain.instance_admission import Purpose
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.log_events.instances import ENGINE_EVENTS_CHANGED
from hopstep.logs import emit
from hopstep.ports.cache_events import CacheEventBatch, CacheEvents
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.pause_watch import PauseWatch
from hopstep.services.exchanges.peers.load_sharing import LoadSharing

WAIT_SECONDS = 1.0
"""Longest wait of one call, in seconds; waits of 0.2 s and more add no cost."""

BATCHING_SECONDS = 0.15
"""Seconds between two calls, so that events are read in batches."""

RETRY_SECONDS = 1.0
ASSIGN_SECONDS = 0.5
"""Seconds between two checks of which engines this node follows."""


class EngineCacheWatch:
    """Reads the events of the engines that are assigned to this node."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        events: CacheEvents,
        sharing: LoadSharing,
        pauses: PauseWatch,
        notices: InstanceNotices,
    ) -> None:
        """Start without any engine.

        Args:
            knowledge: Engines and nodes.
            events: Reads events.
            sharing: Reports cache changes to other nodes.
            pauses: Detects pauses of the node's own process.
            notices: Receives what engines announce in response headers.
        """
        self._notices = notices
        self._knowledge = knowledge
        self._events = events
        self._sharing = sharing
        self._pauses = pauses
        self._plan = WatchPlan()
        self._followed: dict[str, trio.CancelScope] = {}

    async def run(self) -> None:
        """Follow the engines of this node until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._assign(nursery)
                await trio.sleep(ASSIGN_SECONDS)

    def _assign(self, nursery: trio.Nursery) -> None:
        """Start following engines newly assigned to this node, stop following all others."""
        knowledge = self._knowledge
        self._plan.set_nodes({**knowledge.nodes, knowledge.name: knowledge.record})
        own = {
            view.incarnation: view
            for view in knowledge.table.trusted()
            if view.versions and self._plan.watcher(view.instance) == knowledge.name
        }
        for incarnation in self._followed.keys() - own.keys():
            self._followed.pop(incarnation).cancel()
        for incarnation in own.keys() - self._followed.keys():
            scope = self._followed[incarnation] = trio.CancelScope()
            nursery.start_soon(self._follow, own[incarnation], scope)

    async def _follow(self, view: InstanceView, scope: trio.CancelScope) -> None:
        """Follow one engine until its scope is cancelled."""
        with scope:
            contents = EngineContents(trio.current_time())
            position = 0
            epoch: int | None = None
            readable = True
            while True:
                wanted = view.takes(Purpose.CACHE_EVENTS, trio.current_time())
                if not wanted or not self._knowledge.table.is_trusted(view):
                    await trio.sleep(BATCHING_SECONDS)
                    continue
                received: list[InstanceNotice] = []
                asked_at = trio.current_time()
                batch = await self._events.read(
                    view.instance.address, position, WAIT_SECONDS, received.append
                )
                if batch is None and self._pauses.has_just_ended:
                    await trio.sleep(BATCHING_SECONDS)
                    continue
                if readable != (batch is not None):
                    readable = batch is not None
                    _log_readable(view, readable)
                if batch is None or not view.instance.incarnation.matches_start(batch.born_ms):
                    backoffs = [notice.backoff_seconds for notice in received]
                    await trio.sleep(max(RETRY_SECONDS, max(backoffs, default=0.0)))
                    continue
                self._apply_notices(view, asked_at, received, batch)
                self._apply(view, contents, batch, epoch)
                position, epoch = batch.position, batch.epoch
                await trio.sleep(BATCHING_SECONDS)

    def _apply_notices(
        self,
        view: InstanceView,
        asked_at: float,
        received: list[InstanceNotice],
        batch: CacheEventBatch,
    ) -> None:
        """Apply the notices of a response, if the batch proves that it is of this incarnation.

        Calls for events name no instance, so another one at the address may have answered.
        """
        if batch.born_ms and batch.born_ms == view.instance.born_ms:
            for notice in received:
                self._notices.take(view, asked_at, notice)

    def _apply(
        self,
        view: InstanceView,
        contents: EngineContents,
        batch: CacheEventBatch,
        epoch: int | None,
    ) -> None:
        """Apply a batch and report the changes to other nodes."""
        now = trio.current_time()
        if epoch is not None and batch.epoch != epoch:
            contents.restart(now)
        elif batch.lost:
            contents.note_gap(now)
        corrections = contents.take(batch.events, view.segments, now)
        if not corrections.is_empty:
            self._sharing.note_cache_events(view.incarnation, corrections.kept, corrections.dropped)


def _log_readable(view: InstanceView, readable: bool) -> None:
    """Log that an engine's events have become readable or unreadable."""
    emit(
        ENGINE_EVENTS_CHANGED,
        instance=view.instance.instance_id,
        readable=readable,
    )
