"""What nodes tell each other of instances: load, kept segments, engines that load. Hints only.

Without other nodes, or when datagrams are lost, a node chooses by its own traffic alone.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable

import msgspec
import trio

from hopstep.domain.exchanges.load_ledger import InstanceLoad, LoadLedger, Loads, add_loads
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
from hopstep.services.exchanges.peers.urgent_box import UrgentBox

ANSWERS = "answers"
"""Source of the loads that a relay's answer tells: of all other nodes together."""

IDENTITY_BYTES = 6
MAX_NEWS = 256
"""Most news of segments in one message: some 10 kB."""

REPEAT_SECONDS = 2.0
"""Shared segments that an instance keeps already aren't told again within this time."""

MAX_TOLD = 8_192
URGENT_TOKENS = 3_000
"""A prompt with so many tokens to read is told to all nodes at once."""

MILLISECONDS = 1_000


class LoadSharing:
    """Collects hints of this node and of others, and puts them into the views of instances."""

    def __init__(
        self, knowledge: ServingKnowledge, urgent: UrgentBox, notices: InstanceNotices
    ) -> None:
        """Start with nothing to tell.

        Args:
            knowledge: Instances and nodes.
            urgent: Takes what all nodes are told at once.
            notices: What instances say of themselves.
        """
        self._notices = notices
        self._urgent = urgent
        self.log: SentLog[SegmentUpdate] = SentLog(secrets.token_hex(IDENTITY_BYTES))
        self._knowledge = knowledge
        self._members = LoadLedger()
        self._others = LoadLedger()
        self._unsent: list[SegmentUpdate] = []
        self._loading: dict[str, float] = {}
        self._told: dict[tuple[str, int], float] = {}

    def note_sent(self, candidate: Candidate) -> None:
        """Note a prompt that was sent, for the other nodes."""
        keys = candidate.keys[:-1] or candidate.keys
        if not keys:
            return
        life = candidate.view.life
        news = SegmentUpdate(life, keys, round(candidate.read_seconds * MILLISECONDS))
        if candidate.uncached_tokens >= URGENT_TOKENS:
            self._urgent.put_prompt(SentPrompt(news, candidate.uncached_tokens))
        kept_already = candidate.kept_tokens >= sum(key.tokens for key in keys)
        if not kept_already or self._is_due(life, keys[-1].digest):
            self._tell(news)

    def note_cache_events(
        self, life: str, kept: tuple[SegmentKey, ...], dropped: tuple[int, ...]
    ) -> None:
        """Note what an instance's cache events tell, here and for the other nodes.

        Args:
            life: The instance's life.
            kept: Segments that it keeps and that weren't known.
            dropped: Digests of segments that were taken for kept.
        """
        news = SegmentUpdate(life, kept, 0, dropped)
        self._take_segments(news, trio.current_time())
        self._tell(news)

    def _is_due(self, life: str, digest: int) -> bool:
        """Return whether segments that an instance keeps should be told again, and note that."""
        now = trio.current_time()
        told = (life, digest)
        if now - self._told.get(told, -REPEAT_SECONDS) < REPEAT_SECONDS:
            return False
        if len(self._told) >= MAX_TOLD:
            self._told.clear()
        self._told[told] = now
        return True

    def _tell(self, news: SegmentUpdate) -> None:
        """Tell other nodes of segments with the next messages."""
        self._unsent.append(news)
        self.log.append(self._knowledge.name, news)

    def announce_loading(self, life: str, seconds: float) -> None:
        """Tell other nodes at once that an engine loads weights."""
        self._loading[life] = trio.current_time() + seconds
        self._urgent.put_loading(LoadingEngine(life, round(seconds * MILLISECONDS)))

    def members(self) -> list[str]:
        """Return the nodes that asked this one lately."""
        return self._members.nodes(trio.current_time())

    def is_member(self, node: str) -> bool:
        """Return whether a node asked this one lately."""
        return node in self.members()

    def take_news(
        self, node: str, prompts: Iterable[SentPrompt], loading: Iterable[LoadingEngine]
    ) -> None:
        """Take urgent news.

        Args:
            node: The node that sent them.
            prompts: Long prompts.
            loading: Engines about to load.
        """
        now = trio.current_time()
        for prompt in prompts:
            self._add_prompt(node, prompt, now)
        for engine in loading:
            self._take_loading(engine, now)

    def _add_prompt(self, node: str, prompt: SentPrompt, now: float) -> None:
        """Add a long prompt to the load that its sender told."""
        [load] = self._listed((InstanceLoad(prompt.segments.incarnation, 1, prompt.tokens),))
        life = load.life
        if self._knowledge.relays.relay() == node:
            self._others.add(ANSWERS, load, now)
        elif self.is_member(node):
            self._members.add(node, load, now)
        else:
            self._others.add(node, load, now)
        view = self._knowledge.table.of_told(life)
        if view is not None:
            total = self._members.total(life)
            view.set_others(total.plus(self._others.total(life)), now)
            self._take_segments(prompt.segments, now)

    def own_hints(self) -> Hints:
        """Return what this node has to tell since the last time."""
        now = trio.current_time()
        return Hints(
            self._own_loads(now),
            self._take_unsent(),
            self._loading_now(now),
            leaving=self._leaving_now(now),
            limits=self._notices.told_limits(),
        )

    def group_hints(self) -> Hints:
        """Return the same for this node and those that ask it together."""
        now = trio.current_time()
        totals = self._members.totals(now)
        add_loads(totals, self._own_loads(now))
        return Hints(
            tuple(totals.values()),
            self._take_unsent(),
            self._loading_now(now),
            leaving=self._leaving_now(now),
            limits=self._notices.told_limits(),
        )

    def hints_for(self, node: str, identity: str, position: int) -> tuple[Hints, int]:
        """Return what a node that asks should hear, and its position behind it."""
        now = trio.current_time()
        totals = self._totals(now, without=node)
        add_loads(totals, self._own_loads(now))
        news, position = self.log.after(identity, position, node, MAX_NEWS)
        hints = Hints(
            tuple(totals.values()),
            news,
            self._loading_now(now),
            leaving=self._leaving_now(now),
            limits=self._notices.told_limits(),
        )
        return hints, position

    def take_from_member(self, node: str, hints: Hints) -> None:
        """Take the hints of a node that asks this one."""
        self._members.report(node, self._listed(hints.loads), trio.current_time())
        self._unsent += hints.segments
        self._take(node, hints)

    def take_from_relay(self, node: str, hints: Hints) -> None:
        """Take another relay's digest."""
        self._others.report(node, self._listed(hints.loads), trio.current_time())
        self._take(node, hints)

    def take_answer(self, node: str, hints: Hints) -> None:
        """Take what the own relay tells of all other nodes."""
        self._others.report(ANSWERS, self._listed(hints.loads), trio.current_time())
        self._take(node, hints)

    def _listed(self, loads: Iterable[InstanceLoad]) -> tuple[InstanceLoad, ...]:
        """Return told loads under the lives that are listed, where they may be of those."""
        return tuple(self._listed_load(load) for load in loads)

    def _listed_load(self, load: InstanceLoad) -> InstanceLoad:
        """Return a told load under the listed life, if it may be of that one."""
        view = self._knowledge.table.of_told(load.life)
        if view is None or view.life == load.life:
            return load
        return msgspec.structs.replace(load, life=view.life)

    def refresh(self) -> None:
        """Put the loads of other nodes into the views."""
        now = trio.current_time()
        totals = self._totals(now)
        for view in self._knowledge.table:
            view.set_others(totals.get(view.life), now)

    def _totals(self, now: float, without: str = "") -> Loads:
        """Return the loads of all other nodes but one."""
        totals = self._members.totals(now, without)
        add_loads(totals, self._others.totals(now, without).values())
        return totals

    def _take(self, node: str, hints: Hints) -> None:
        """Take what another node tells of instances."""
        now = trio.current_time()
        self._knowledge.table.first_telling.note_told()
        for news in hints.segments:
            self.log.append(node, news)
            self._take_segments(news, now)
        for loading in hints.loading:
            self._take_loading(loading, now)
        for leaving in hints.leaving:
            since = now - max(0, leaving.age_ms) / MILLISECONDS
            self._notices.take_told(leaving.incarnation, since, node)
        for limited in hints.limits:
            self._notices.take_told_limit(limited, node)

    def _take_segments(self, news: SegmentUpdate, now: float) -> None:
        """Put news of an instance's segments into its picture."""
        view = self._knowledge.table.of_told(news.incarnation)
        if view is not None:
            view.segments.drop(news.dropped)
            view.segments.record(news.sent, now + news.read_ms / MILLISECONDS)

    def _take_loading(self, loading: LoadingEngine, now: float) -> None:
        """Keep requests from an engine that loads weights."""
        until = now + loading.milliseconds / MILLISECONDS
        self._loading[loading.incarnation] = until
        view = self._knowledge.table.of_told(loading.incarnation)
        if view is not None:
            view.loading_until = until

    def _own_loads(self, now: float) -> tuple[InstanceLoad, ...]:
        """Return this node's own loads."""
        loads = (
            InstanceLoad(
                view.life,
                view.active,
                view.pending_tokens,
                int(view.suspended_until > now),
            )
            for view in self._knowledge.table
        )
        return tuple(load for load in loads if not load.is_empty)

    def _take_unsent(self) -> tuple[SegmentUpdate, ...]:
        """Return news of segments that weren't told yet; what is too much is dropped."""
        news = tuple(self._unsent[-MAX_NEWS:])
        self._unsent.clear()
        return news

    def _leaving_now(self, now: float) -> tuple[LeavingInstance, ...]:
        """Return the instances that leave by their own word alone."""
        return tuple(
            LeavingInstance(life, round((now - since) * MILLISECONDS))
            for life, since in self._notices.unlisted_leaving()
        )

    def _loading_now(self, now: float) -> tuple[LoadingEngine, ...]:
        """Return the engines that load, and forget those that have loaded."""
        self._loading = {engine: until for engine, until in self._loading.items() if until > now}
        return tuple(_loading(self._loading.items(), now))


def _loading(engines: Iterable[tuple[str, float]], now: float) -> Iterable[LoadingEngine]:
    """Yield engines with the time for which they still load."""
    for life, until in engines:
        yield LoadingEngine(life, round((until - now) * MILLISECONDS))
