"""Exchanges hints on instances between nodes: load, cached segments, engines that load weights.

Without other nodes, or if datagrams are lost, a node chooses instances by its own traffic alone.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable

import msgspec
import trio

from hopstep.domain.exchanges.load_ledger import (
    InstanceLoad,
    LoadLedger,
    Loads,
    add_loads,
    reportable,
)
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.sent_log import SentLog
from hopstep.ports.node_exchange import (
    Hints,
    LeavingInstance,
    LoadingEngine,
    SegmentUpdate,
    SentPrompt,
)
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.instances.instance_notices import InstanceNotices
from hopstep.services.exchanges.instances.instance_speeds import InstanceSpeeds
from hopstep.services.exchanges.peers.suspicions import Suspicions
from hopstep.services.exchanges.peers.urgent_queue import UrgentQueue

RELAY_ANSWERS = "answers"
"""Source name of the loads in a relay's answer, which are of all other nodes together."""

LOG_IDENTITY_BYTES = 6
MAX_SEGMENT_UPDATES = 256
"""Most segment updates in one message: some 10 kB."""

REPEAT_SECONDS = 2.0
"""Segments that an instance already keeps are reported again only after this time."""

MAX_RECENT_REPORTS = 8_192
URGENT_TOKENS = 3_000
"""A prompt with at least this many uncached tokens is reported to all nodes at once."""

MILLISECONDS = 1_000


class LoadSharing:
    """Collects hints of this node and of others, and applies them to the views of instances.

    Attributes:
        suspicions: Instances that don't respond to this node or to others.
    """

    def __init__(
        self, knowledge: ServingKnowledge, urgent: UrgentQueue, notices: InstanceNotices
    ) -> None:
        """Start without hints.

        Args:
            knowledge: Instances and nodes.
            urgent: Receives updates that are sent to all nodes at once.
            notices: What instances announce in response headers.
        """
        self.suspicions = Suspicions(knowledge, urgent)
        self._speeds = InstanceSpeeds(knowledge.table)
        self._notices = notices
        self._urgent = urgent
        self.log: SentLog[SegmentUpdate] = SentLog(secrets.token_hex(LOG_IDENTITY_BYTES))
        self._knowledge = knowledge
        self._members = LoadLedger()
        self._others = LoadLedger()
        self._unsent: list[SegmentUpdate] = []
        self._loading: dict[str, float] = {}
        self._last_reported: dict[tuple[str, int], float] = {}

    def note_sent(self, candidate: Candidate) -> None:
        """Record a sent prompt, to report it to the other nodes."""
        keys = candidate.keys[:-1] or candidate.keys
        if not keys:
            return
        incarnation = candidate.view.incarnation
        update = SegmentUpdate(incarnation, keys, round(candidate.read_seconds * MILLISECONDS))
        if candidate.uncached_tokens >= URGENT_TOKENS:
            self._urgent.put_prompt(SentPrompt(update, candidate.work_tokens))
        already_kept = candidate.kept_tokens >= sum(key.tokens for key in keys)
        if not already_kept or self._is_report_due(incarnation, keys[-1].digest):
            self._queue_update(update)

    def note_cache_events(
        self, incarnation: str, kept: tuple[SegmentKey, ...], dropped: tuple[int, ...]
    ) -> None:
        """Apply an instance's cache events, and report them to the other nodes.

        Args:
            incarnation: The instance's incarnation.
            kept: Segments that it keeps and that the cache index lacked.
            dropped: Digests of segments that the cache index had and it doesn't keep.
        """
        update = SegmentUpdate(incarnation, kept, 0, dropped)
        self._apply_segments(update, trio.current_time())
        self._queue_update(update)

    def _is_report_due(self, incarnation: str, digest: int) -> bool:
        """Return whether to report kept segments again; if so, record the time."""
        now = trio.current_time()
        segment = (incarnation, digest)
        if now - self._last_reported.get(segment, -REPEAT_SECONDS) < REPEAT_SECONDS:
            return False
        if len(self._last_reported) >= MAX_RECENT_REPORTS:
            self._last_reported.clear()
        self._last_reported[segment] = now
        return True

    def _queue_update(self, update: SegmentUpdate) -> None:
        """Queue a segment update for the next messages to other nodes."""
        self._unsent.append(update)
        self.log.append(self._knowledge.name, update)

    def announce_loading(self, incarnation: str, seconds: float) -> None:
        """Report to other nodes at once that an engine loads weights."""
        self._loading[incarnation] = trio.current_time() + seconds
        self._urgent.put_loading(LoadingEngine(incarnation, round(seconds * MILLISECONDS)))

    def members(self) -> list[str]:
        """Return the nodes that have queried this one recently."""
        return self._members.nodes(trio.current_time())

    def is_member(self, node: str) -> bool:
        """Return whether a node has queried this one recently."""
        return node in self.members()

    def apply_urgent(
        self, node: str, prompts: Iterable[SentPrompt], loading: Iterable[LoadingEngine]
    ) -> None:
        """Apply an urgent update.

        Args:
            node: The node that sent it.
            prompts: Long prompts.
            loading: Engines that are about to load weights.
        """
        now = trio.current_time()
        for prompt in prompts:
            self._add_prompt(node, prompt, now)
        for engine in loading:
            self._apply_loading(engine, now)

    def _add_prompt(self, node: str, prompt: SentPrompt, now: float) -> None:
        """Add a long prompt to the load that its sender reported."""
        sent = InstanceLoad(
            prompt.segments.incarnation, 1, prompt.tokens, used_tokens=prompt.tokens
        )
        load = self._assign_load(sent)
        incarnation = load.incarnation
        if self._knowledge.relays.relay() == node:
            self._others.add(RELAY_ANSWERS, load, now)
        elif self.is_member(node):
            self._members.add(node, load, now)
        else:
            self._others.add(node, load, now)
        view = self._knowledge.table.of_reported(incarnation)
        if view is not None:
            total = self._members.total(incarnation)
            view.set_load_of_others(total.plus(self._others.total(incarnation)), now)
            self._apply_segments(prompt.segments, now)

    def own_hints(self) -> Hints:
        """Return this node's loads, and its updates since the last call."""
        now = trio.current_time()
        return self._hints(self._own_loads(now), self._take_unsent(), now)

    def group_hints(self) -> Hints:
        """Return the same as ``own_hints`` for this node and the nodes that query it."""
        now = trio.current_time()
        totals = self._members.totals(now)
        add_loads(totals, self._own_loads(now))
        return self._hints(totals.values(), self._take_unsent(), now)

    def hints_for(self, node: str, identity: str, position: int) -> tuple[Hints, int]:
        """Return the hints for a querying node, and its next position in the log."""
        now = trio.current_time()
        totals = self._totals(now, without=node)
        add_loads(totals, self._own_loads(now))
        updates, position = self.log.after(identity, position, node, MAX_SEGMENT_UPDATES)
        return self._hints(totals.values(), updates, now), position

    def _hints(
        self, loads: Iterable[InstanceLoad], updates: tuple[SegmentUpdate, ...], now: float
    ) -> Hints:
        """Return hints with some loads and segment updates."""
        return Hints(
            reportable(loads),
            updates,
            self._loading_now(now),
            leaving=self._leaving_now(now),
            limits=self._notices.limit_reports(),
        )

    def take_from_member(self, node: str, hints: Hints) -> None:
        """Apply the hints of a node that queries this one."""
        self._members.report(node, self._assign_listed(hints.loads), trio.current_time())
        self._unsent += hints.segments
        self._apply(node, hints)

    def take_from_relay(self, node: str, hints: Hints) -> None:
        """Apply another relay's digest."""
        self._others.report(node, self._assign_listed(hints.loads), trio.current_time())
        self._apply(node, hints)

    def take_answer(self, node: str, hints: Hints) -> None:
        """Apply the hints on all other nodes that this node's relay sent."""
        self._others.report(RELAY_ANSWERS, self._assign_listed(hints.loads), trio.current_time())
        self._apply(node, hints)

    def _assign_listed(self, loads: Iterable[InstanceLoad]) -> tuple[InstanceLoad, ...]:
        """Return reported loads, each assigned to the listed incarnation if it may belong to it."""
        return tuple(self._assign_load(load) for load in loads)

    def _assign_load(self, load: InstanceLoad) -> InstanceLoad:
        """Return a reported load, assigned to the listed incarnation if it may belong to it."""
        view = self._knowledge.table.of_reported(load.incarnation)
        if view is None or view.incarnation == load.incarnation:
            return load
        return msgspec.structs.replace(load, incarnation=view.incarnation)

    def refresh(self) -> None:
        """Update the views with the loads of other nodes, and report silent instances."""
        self.suspicions.check()
        now = trio.current_time()
        totals = self._totals(now)
        for view in self._knowledge.table:
            view.set_load_of_others(totals.get(view.incarnation), now)
        self._speeds.refresh()

    def _totals(self, now: float, without: str = "") -> Loads:
        """Return the loads of all other nodes, optionally without one."""
        totals = self._members.totals(now, without)
        add_loads(totals, self._others.totals(now, without).values())
        return totals

    def _apply(self, node: str, hints: Hints) -> None:
        """Apply another node's hints, except for loads."""
        now = trio.current_time()
        self._knowledge.table.first_peer_report.note_received()
        for update in hints.segments:
            self.log.append(node, update)
            self._apply_segments(update, now)
        for loading in hints.loading:
            self._apply_loading(loading, now)
        for leaving in hints.leaving:
            since = now - max(0, leaving.age_ms) / MILLISECONDS
            self._notices.take_leaving_report(leaving.incarnation, since, node)
        for limited in hints.limits:
            self._notices.take_limit_report(limited, node)

    def _apply_segments(self, update: SegmentUpdate, now: float) -> None:
        """Apply a segment update to the cache index of its instance."""
        view = self._knowledge.table.of_reported(update.incarnation)
        if view is not None:
            view.segments.drop(update.dropped)
            view.segments.record(update.sent, now + update.read_ms / MILLISECONDS)

    def _apply_loading(self, loading: LoadingEngine, now: float) -> None:
        """Mark an engine as loading, so that it gets no requests meanwhile."""
        until = now + loading.milliseconds / MILLISECONDS
        self._loading[loading.incarnation] = until
        view = self._knowledge.table.of_reported(loading.incarnation)
        if view is not None:
            view.loading_until = until

    def _own_loads(self, now: float) -> tuple[InstanceLoad, ...]:
        """Return this node's own loads."""
        loads = []
        for view in self._knowledge.table:
            avoided = view.is_avoided(now)
            if avoided or view.has_own_load(now):
                loads.append(view.own_load(now, avoided=avoided))
        return tuple(loads)

    def _take_unsent(self) -> tuple[SegmentUpdate, ...]:
        """Return the latest ``MAX_SEGMENT_UPDATES`` unsent segment updates; drop the others."""
        updates = tuple(self._unsent[-MAX_SEGMENT_UPDATES:])
        self._unsent.clear()
        return updates

    def _leaving_now(self, now: float) -> tuple[LeavingInstance, ...]:
        """Return instances that announced their shutdown and whose entries say ``ready``."""
        return tuple(
            LeavingInstance(incarnation, round((now - since) * MILLISECONDS))
            for incarnation, since in self._notices.leaving_reports()
        )

    def _loading_now(self, now: float) -> tuple[LoadingEngine, ...]:
        """Return the engines that are loading, and drop those that have finished."""
        self._loading = {engine: until for engine, until in self._loading.items() if until > now}
        return tuple(
            LoadingEngine(incarnation, round((until - now) * MILLISECONDS))
            for incarnation, until in self._loading.items()
        )
