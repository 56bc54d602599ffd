"""Tells peers what this node has sent where, and takes what they tell. Hints only.

Without peers, or when datagrams are lost, a node chooses by its own traffic alone.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_view import PeerLoad
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.selection import Candidate
from hopstep.ports.load_exchange import (
    InstanceLoad,
    LoadExchange,
    LoadingEngine,
    LoadReport,
    SentSegments,
)
from hopstep.services.exchanges.knowledge import ServingKnowledge

REPORT_SECONDS = 0.1
REFRESH_SECONDS = 0.5
"""A load that doesn't change is reported again after this time, before peers forget it."""

MAX_SENT_IN_REPORT = 24
"""Prompts in one datagram; further ones go with the next."""


class LoadSharing:
    """Sends and takes reports."""

    def __init__(self, name: str, knowledge: ServingKnowledge, exchange: LoadExchange) -> None:
        """Start with nothing to tell.

        Args:
            name: Name of this node.
            knowledge: Instances, and the peers' addresses.
            exchange: Datagrams.
        """
        self._name = name
        self._knowledge = knowledge
        self._exchange = exchange
        self._sequence = 0
        self._sent: list[SentSegments] = []
        self._told: dict[str, InstanceLoad] = {}
        self._told_at: dict[str, float] = {}

    def count_nodes(self) -> int:
        """Return how many nodes may be alive, this one included."""
        return len(self._knowledge.peers.keys() | {self._name})

    def note_sent(self, candidate: Candidate) -> None:
        """Note a prompt that was sent, for the next report."""
        if candidate.keys:
            keys: tuple[SegmentKey, ...] = candidate.keys
            self._sent.append(SentSegments(candidate.view.instance.instance_id, keys))

    async def announce_loading(self, instance_id: str, seconds: float) -> None:
        """Tell peers at once that an engine loads weights."""
        loading = LoadingEngine(instance_id, round(seconds * 1_000))
        await self._send(LoadReport(self._name, self._next_sequence(), loading=(loading,)))

    async def run(self) -> None:
        """Send and take reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_reports)
            nursery.start_soon(self._take_reports)

    async def _send_reports(self) -> None:
        """Report what has changed from time to time."""
        while True:
            await trio.sleep(REPORT_SECONDS)
            loads = self._changed_loads(trio.current_time())
            sent = tuple(self._sent[:MAX_SENT_IN_REPORT])
            del self._sent[:MAX_SENT_IN_REPORT]
            if loads or sent:
                await self._send(LoadReport(self._name, self._next_sequence(), loads, sent))

    def _changed_loads(self, now: float) -> tuple[InstanceLoad, ...]:
        """Return the loads that peers don't know yet."""
        changed = []
        for view in self._knowledge.table:
            instance_id = view.instance.instance_id
            suspended = max(0, round((view.suspended_until - now) * 1_000))
            load = InstanceLoad(instance_id, view.active, view.pending_tokens, suspended)
            known = self._told.get(instance_id, InstanceLoad(instance_id, 0, 0))
            due = view.active and now - self._told_at.get(instance_id, 0.0) >= REFRESH_SECONDS
            if load != known or due:
                self._told[instance_id] = load
                self._told_at[instance_id] = now
                changed.append(load)
        return tuple(changed)

    async def _take_reports(self) -> None:
        """Take peers' reports."""
        while True:
            report = await self._exchange.receive()
            self._take(report, trio.current_time())

    def _take(self, report: LoadReport, now: float) -> None:
        """Take one report."""
        if report.node == self._name:
            return
        table = self._knowledge.table
        for load in report.loads:
            view = table.get(load.instance_id)
            if view is not None:
                view.peers[report.node] = PeerLoad(load.active, load.pending_tokens, now)
        for sent in report.sent:
            view = table.get(sent.instance_id)
            if view is not None:
                view.segments.record(sent.keys)
        for loading in report.loading:
            view = table.get(loading.instance_id)
            if view is not None:
                view.loading_until = now + loading.milliseconds / 1_000

    async def _send(self, report: LoadReport) -> None:
        """Send a report to all peers."""
        peers = self._knowledge.peers
        addresses = [address for name, address in peers.items() if name != self._name]
        await self._exchange.send(report, addresses)

    def _next_sequence(self) -> int:
        """Return the number of the next report."""
        self._sequence += 1
        return self._sequence
