"""The membership protocol of one router as a pure state machine.

SWIM with incarnations, suspicion and refutation; changes are piggybacked on heartbeats, and
lost ones are repaired by anti-entropy. ``handle`` and ``tick`` take the time and return actions;
the caller sends, authenticates and waits.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from hopstep.domain.membership.actions import (
    Action,
    EntryChanged,
    LimitMessage,
    MemberChanged,
    RevisionReported,
)
from hopstep.domain.membership.anti_entropy import AntiEntropy
from hopstep.domain.membership.budget import ByteBudget
from hopstep.domain.membership.config import MembershipConfig
from hopstep.domain.membership.failure_detector import FailureDetector
from hopstep.domain.membership.gossip import SizeOf
from hopstep.domain.membership.partition_detector import PartitionDetector
from hopstep.domain.membership.state import MembershipState
from hopstep.domain.peer_message import (
    UNCONFIRMED,
    URGENT_KINDS,
    Ack,
    Entry,
    EntryKind,
    EntryValue,
    Gossip,
    LimitGrant,
    LimitReport,
    MemberRecord,
    MemberState,
    PeerMessage,
    Ping,
    PingRequest,
    PullRequest,
    Push,
    SyncRequest,
    SyncSummary,
)

JOIN_RETRY_SECONDS = 1.0
"""Time in seconds between probes of the seeds while no other member is known."""

FORGET_INTERVAL_SECONDS = 30.0
"""Time in seconds between two searches for members whose retention has passed."""


class Membership:
    """One member's protocol."""

    def __init__(
        self,
        own: MemberRecord,
        config: MembershipConfig,
        seeds: Sequence[str],
        generator: random.Random,
        size_of: SizeOf,
        now: float,
    ) -> None:
        """Start alone; the first tick probes the seeds.

        Args:
            own: Own record, with an incarnation above that of any earlier start.
            config: Times and bounds.
            seeds: UDP addresses to join by; the own one among them is left out.
            generator: Source of random choices.
            size_of: Encoded bytes of a change or body.
            now: Current time in seconds.
        """
        self._config = config
        self._generator = generator
        self._seeds = [seed for seed in seeds if seed != own.peer_address]
        self._state = MembershipState(own, config, size_of, now)
        self._partition_detector = PartitionDetector(config)
        self._detector = FailureDetector(self._state, self._partition_detector, generator, now)
        self._anti_entropy = AntiEntropy(self._state, generator, size_of, now)
        limits_rate = config.bytes_per_second * config.limits_ratio / 2
        self._report_budget = ByteBudget(limits_rate, config.burst_seconds, now)
        self._grant_budget = ByteBudget(limits_rate, config.burst_seconds, now)
        self._size_of = size_of
        self._last_now = now
        self._reconnect_at = now
        self._housekeeping_at = now
        self._forget_at = now
        self._pulled_names: set[str] = set()

    @property
    def own(self) -> MemberRecord:
        """Own record."""
        return self._state.own

    @property
    def version(self) -> int:
        """Number that grows whenever a member's record changes."""
        return self._state.table.version

    @property
    def withheld(self) -> int:
        """Number of messages that weren't sent because of the byte budget."""
        return self._state.outbox.withheld

    def members(self) -> list[MemberRecord]:
        """Return all known records, own and dead ones included, by name."""
        records = [member.record for member in self._state.table]
        return sorted([*records, self.own], key=lambda record: record.name)

    def alive(self) -> list[MemberRecord]:
        """Return the records of members that take new work, the own one included, by name.

        Suspects are included, as most suspicions are refuted.
        """
        records = [
            member.record
            for member in self._state.table
            if member.record.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and not member.planned
        ]
        if self.own.state is MemberState.ALIVE:
            records.append(self.own)
        return sorted(records, key=lambda record: record.name)

    def entries(self, kind: EntryKind) -> list[Entry]:
        """Return the shared entries of a kind, this node's own included."""
        return list(self._state.entries.entries(kind))

    def is_partitioned(self, now: float) -> bool:
        """Return whether most members of the recent past are unresponsive."""
        return self._partition_detector.is_partitioned(self._state.table, now)

    def next_wakeup(self) -> float:
        """Return when ``tick`` has something to do next."""
        return min(
            self._detector.next_wakeup(),
            self._reconnect_at,
            self._anti_entropy.next_at,
            self._housekeeping_at,
        )

    def tick(self, now: float) -> list[Action]:
        """Run all steps that are due."""
        self._note_time(now)
        self._detector.tick(now)
        if now >= self._reconnect_at:
            self._reconnect(now)
        self._anti_entropy.tick(now)
        if now >= self._housekeeping_at:
            self._housekeep(now)
        return self._take_actions(now)

    def handle(self, message: PeerMessage, source: str, now: float) -> list[Action]:
        """Handle an authenticated message.

        Args:
            message: Message.
            source: UDP address that it came from.
            now: Current time in seconds.
        """
        if message.sender == self.own.name:
            return []
        self._note_time(now)
        self._note_sender(message, source, now)
        body = message.body
        summarized = isinstance(body, SyncSummary)
        pulled = isinstance(body, Push)
        changed = self._merge_gossip(body.gossip, now, spread=not pulled)
        if isinstance(body, Ping):
            self._detector.on_ping(body, message.sender, source, now)
        elif isinstance(body, PingRequest):
            self._detector.on_ping_request(body, source, now)
        elif isinstance(body, Ack):
            self._detector.on_ack(body, now)
        elif isinstance(body, SyncRequest):
            self._anti_entropy.on_request(body, source, now)
        elif isinstance(body, SyncSummary):
            changed |= self._anti_entropy.on_summary(body, source, now)
        elif isinstance(body, PullRequest):
            self._anti_entropy.on_pull(body, message.sender, source, now)
        elif isinstance(body, LimitReport | LimitGrant):
            self._state.outbox.add_event(LimitMessage(message.sender, message.incarnation, body))
        if summarized or (pulled and changed):
            self._anti_entropy.after_answer(now, changed=changed)
        return self._take_actions(now)

    def publish(
        self,
        kind: EntryKind,
        subject: str,
        value: EntryValue | None,
        now: float,
        audience: tuple[int, ...] = (),
    ) -> list[Action]:
        """Share a value; None withdraws it.

        Args:
            kind: Kind of the entry.
            subject: Subject of the entry. Kinds whose subjects would grow without bound (hot
                prefixes) use numbered slots, as withdrawn entries are kept.
            value: The value.
            now: Current time in seconds.
            audience: Labels digests of the routers that may hold it; empty means all.
        """
        entry = self._state.publish(kind, subject, value, audience)
        self._state.outbox.add_event(EntryChanged(entry))
        self._spread_urgent(kind, now)
        return self._take_actions(now)

    def set_revision(self, revision: int, now: float) -> list[Action]:
        """Report the revision in force here: to some members at once, to all by heartbeats."""
        if revision <= self.own.configuration_revision:
            return []
        self._state.set_revision(revision)
        self._push(now)
        return self._take_actions(now)

    def send_limits(
        self, name: str, body: LimitReport | LimitGrant, now: float
    ) -> tuple[bool, list[Action]]:
        """Send a message about tenants' limits, within its part of the byte budget.

        Args:
            name: Receiver.
            body: Content.
            now: Current time in seconds.

        Returns:
            Whether it is sent, and the actions.
        """
        member = self._state.table.get(name)
        if member is None:
            return False, []
        size = self._size_of(body) + self._config.overhead_bytes
        # Separate budgets, so that an owner's own reports never delay its answers to others.
        budget = self._report_budget if isinstance(body, LimitReport) else self._grant_budget
        if not budget.spend(size, now, essential=False):
            return False, []
        record = member.record
        sent = self._state.outbox.send(
            record.peer_address, body, now, audience=record.labels_digest
        )
        return sent, self._take_actions(now)

    def confirm_revision(self, confirmed_at: float) -> None:
        """Set the time of the latest proof that the revision in force is the latest.

        Args:
            confirmed_at: Time of the proof by the clock of ``now``; minus infinity for none.
        """
        self._state.outbox.confirmed_at = confirmed_at

    def leave(self, now: float) -> list[Action]:
        """Announce a planned stop: peers give this member no new work."""
        self._state.change_own(MemberState.LEAVING)
        self._push(now)
        return self._take_actions(now)

    def stop(self, now: float) -> list[Action]:
        """Announce that this member has left, as its last messages."""
        self._state.change_own(MemberState.LEFT)
        self._push(now)
        return self._take_actions(now)

    def _note_time(self, now: float) -> None:
        gap = now - self._last_now
        self._last_now = now
        if gap > self._config.pause_seconds:
            self._detector.after_pause(gap, now)
            self._partition_detector.forget_attempts()
            self._anti_entropy.schedule_now(now)

    def _note_sender(self, message: PeerMessage, source: str, now: float) -> None:
        """Record that the sender is alive; pull its record if it isn't in the table."""
        member = self._state.table.get(message.sender)
        if member is not None and member.record.incarnation == message.incarnation:
            member.last_received_at = now
            self._partition_detector.record_received(message.sender, now)
            self._note_revision(member.record, message.body.gossip)
            return
        carried = any(record.name == message.sender for record in message.body.gossip.members)
        if not carried and (member is None or member.record.incarnation < message.incarnation):
            self._ask_for_record(message.sender, source, now)

    def _ask_for_record(self, name: str, source: str, now: float) -> None:
        """Pull an unknown sender's record, at most once a heartbeat, as it may do the same."""
        if name in self._pulled_names:
            return
        self._pulled_names.add(name)
        self._state.outbox.send(source, PullRequest((name,), (name,)), now)

    def _note_revision(self, sender: MemberRecord, gossip: Gossip) -> None:
        self._state.table.note_revision(sender.name, gossip.revision)
        confirmed = gossip.confirmed_age != UNCONFIRMED
        if gossip.revision > self.own.configuration_revision or confirmed:
            age = float(gossip.confirmed_age) if confirmed else float("inf")
            self._state.outbox.add_event(RevisionReported(sender, gossip.revision, age))

    def _merge_gossip(self, gossip: Gossip, now: float, *, spread: bool) -> bool:
        changed = False
        for record in gossip.members:
            changed |= self._state.merge_claim(record, now, spread=spread)
        for status in gossip.statuses:
            changed |= self._state.merge_claim(status, now, spread=True)
        for entry in gossip.entries:
            urgent = entry.kind in URGENT_KINDS
            if self._state.merge_entry(entry, spread=spread or urgent):
                changed = True
                self._spread_urgent(entry.kind, now)
        return changed

    def _spread_urgent(self, kind: EntryKind, now: float) -> None:
        if kind in URGENT_KINDS:
            self._push(now)

    def _push(self, now: float) -> None:
        """Send waiting changes to a few random members at once."""
        names = self._state.table.live_names()
        for name in self._generator.sample(names, min(self._config.push_fanout, len(names))):
            member = self._state.table.get(name)
            if member is not None:
                record = member.record
                self._state.outbox.send(
                    record.peer_address, Push(), now, audience=record.labels_digest
                )

    def _reconnect(self, now: float) -> None:
        """Probe a member marked dead or a seed that isn't a member, to end partitions.

        A seed that left is probed too: it may have restarted without any other member.
        """
        alone = not self._state.table.live_names()
        wait = JOIN_RETRY_SECONDS if alone else self._config.reconnect_seconds
        self._reconnect_at = now + wait * (0.5 + self._generator.random())
        known = {
            member.record.peer_address
            for member in self._state.table
            if member.record.state is not MemberState.LEFT
        }
        candidates = [("", seed) for seed in self._seeds if seed not in known]
        candidates += [
            (member.record.name, member.record.peer_address) for member in self._state.table.dead()
        ]
        count = min(len(candidates), 3 if alone else 1)
        for name, address in self._generator.sample(candidates, count):
            self._detector.ping_address(name, address, now)

    def _housekeep(self, now: float) -> None:
        """Update the partition detector, and forget members whose retention has passed."""
        self._housekeeping_at = now + self._config.heartbeat_seconds
        self._pulled_names.clear()
        self._partition_detector.update(self._state.table, now)
        self._state.outbox.retransmissions = self._config.retransmissions(
            self._state.table.live_count()
        )
        if now < self._forget_at or self.is_partitioned(now):
            return
        self._forget_at = now + FORGET_INTERVAL_SECONDS
        for member in list(self._state.table):
            if now - member.changed_at >= self._retention(member.record.state):
                self._state.table.forget(member.record.name)

    def _retention(self, state: MemberState) -> float:
        if state is MemberState.DEAD:
            return self._config.dead_retention_seconds
        if state is MemberState.LEFT:
            return self._config.left_retention_seconds
        return float("inf")

    def _take_actions(self, now: float) -> list[Action]:
        actions = self._state.outbox.take_actions()
        for action in actions:
            if isinstance(action, MemberChanged):
                self._detector.watch_suspicion(action.record.name, now)
        return actions
