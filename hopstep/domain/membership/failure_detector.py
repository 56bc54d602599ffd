"""Heartbeats: direct and indirect probes, suspicion and death."""

from __future__ import annotations

import random

from hopstep.domain.membership.gossip import Change
from hopstep.domain.membership.partition_detector import PartitionDetector
from hopstep.domain.membership.prober import Prober, RelayedProbe
from hopstep.domain.membership.state import MembershipState
from hopstep.domain.membership.table import Member
from hopstep.domain.peer_message import (
    Ack,
    MemberState,
    MemberStatus,
    Ping,
    PingRequest,
)


class FailureDetector:
    """Probes one member per heartbeat, and declares it dead after an unrefuted suspicion."""

    def __init__(
        self,
        state: MembershipState,
        partition_detector: PartitionDetector,
        generator: random.Random,
        now: float,
    ) -> None:
        """Begin probing within one heartbeat.

        Args:
            state: This member's state.
            partition_detector: Detector that records the probed and the responding members.
            generator: Source of random order.
            now: Current time in seconds.
        """
        self._state = state
        self._partition_detector = partition_detector
        self._generator = generator
        self._prober = Prober(generator)
        self._suspected_until: dict[str, float] = {}
        self._next_probe_at = now + generator.random() * state.config.heartbeat_seconds

    def tick(self, now: float) -> None:
        """Continue the probe under way, begin the next, and end suspicions."""
        self._probe_indirectly(now)
        if now >= self._next_probe_at:
            self._conclude(now)
            self._begin(now)
        self._end_suspicions(now)

    def next_wakeup(self) -> float:
        """Return when ``tick`` has something to do next."""
        probe = self._prober.current
        if probe is None or probe.acked or probe.indirect:
            return self._next_probe_at
        return min(self._next_probe_at, probe.started_at + self._state.config.ack_timeout_seconds)

    def after_pause(self, gap: float, now: float) -> None:
        """Discount the time for which this node was paused and could read no answers."""
        self._prober.current = None
        self._next_probe_at = now
        for name in self._suspected_until:
            self._suspected_until[name] += gap

    def ping_address(self, name: str, address: str, now: float) -> None:
        """Probe outside the rounds: a seed, a dead member, or one of a census."""
        ping = Ping(self._prober.next_number(), name)
        extra: list[Change] = [self._state.own]
        member = self._state.table.get(name) if name else None
        if member is not None:
            extra.append(status_of(member))
        self._state.outbox.send(address, ping, now, extra=extra)

    def on_ping(self, ping: Ping, sender: str, source: str, now: float) -> None:
        """Answer a probe that is meant for this member."""
        if ping.target in ("", self._state.own.name):
            self._acknowledge(ping.number, self._state.own.name, sender, source, now)

    def on_ping_request(self, request: PingRequest, source: str, now: float) -> None:
        """Probe the target for another member."""
        expires_at = now + 2 * self._state.config.heartbeat_seconds
        relayed = RelayedProbe(request.number, source, expires_at)
        number = self._prober.relay(relayed, now)
        member = self._state.table.get(request.target)
        address = member.record.peer_address if member else request.target_address
        self._state.outbox.send(address, Ping(number, request.target), now)

    def on_ack(self, ack: Ack, now: float) -> None:
        """Record an ack, or pass it on to the member that asked for the probe."""
        self._partition_detector.record_received(ack.target, now)
        member = self._state.table.get(ack.target)
        if member is not None:
            member.last_received_at = now
        relayed = self._prober.take_relayed(ack.number)
        if relayed is not None:
            passed_on = Ack(relayed.number, ack.target)
            self._state.outbox.send(relayed.origin_address, passed_on, now, essential=True)
            return
        probe = self._prober.current
        if probe is not None and probe.number == ack.number and probe.target == ack.target:
            probe.acked = True

    def watch_suspicion(self, name: str, now: float) -> None:
        """Start or stop the suspicion timeout after a member's state changed."""
        member = self._state.table.get(name)
        if member is None or member.record.state is not MemberState.SUSPECT:
            self._suspected_until.pop(name, None)
            return
        timeout = self._state.config.suspicion_timeout(self._state.table.live_count())
        self._suspected_until.setdefault(name, now + timeout)

    def _acknowledge(self, number: int, target: str, sender: str, source: str, now: float) -> None:
        member = self._state.table.get(sender)
        audience = member.record.labels_digest if member else 0
        extra: list[Change] = []
        if member is not None and member.record.state not in (
            MemberState.ALIVE,
            MemberState.LEAVING,
        ):
            # Informs a member that is wrongly marked suspect or dead, so that it can refute.
            extra.append(status_of(member))
        self._state.outbox.send(
            source, Ack(number, target), now, essential=True, audience=audience, extra=extra
        )

    def _begin(self, now: float) -> None:
        heartbeat = self._state.config.heartbeat_seconds
        self._next_probe_at = max(self._next_probe_at + heartbeat, now + heartbeat / 2)
        probe = self._prober.start(self._state.table, now)
        member = self._state.table.get(probe.target) if probe else None
        if probe is None or member is None:
            return
        extra = [status_of(member)] if member.record.state is MemberState.SUSPECT else []
        self._partition_detector.record_attempt(probe.target, now)
        self._state.outbox.send(
            member.record.peer_address,
            Ping(probe.number, probe.target),
            now,
            essential=True,
            audience=member.record.labels_digest,
            extra=extra,
        )

    def _probe_indirectly(self, now: float) -> None:
        probe = self._prober.current
        if probe is None or probe.acked or probe.indirect:
            return
        if now < probe.started_at + self._state.config.ack_timeout_seconds:
            return
        probe.indirect = True
        member = self._state.table.get(probe.target)
        if member is None:
            return
        address = member.record.peer_address
        # The direct ping goes out once more, as a single lost datagram is the common case.
        self._state.outbox.send(address, Ping(probe.number, probe.target), now, essential=True)
        helpers = [name for name in self._state.table.live_names() if name != probe.target]
        count = min(self._state.config.indirect_probes, len(helpers))
        for name in self._generator.sample(helpers, count):
            helper = self._state.table.get(name)
            if helper is not None:
                request = PingRequest(probe.number, probe.target, address)
                self._state.outbox.send(helper.record.peer_address, request, now)

    def _conclude(self, now: float) -> None:
        """Suspect the target of a probe without any ack."""
        probe = self._prober.current
        self._prober.current = None
        if probe is None or probe.acked:
            return
        member = self._state.table.get(probe.target)
        if member is None or member.record.incarnation != probe.incarnation:
            return
        if member.last_received_at >= probe.started_at:
            return
        if member.record.state in (MemberState.ALIVE, MemberState.LEAVING):
            self._state.assert_state(probe.target, MemberState.SUSPECT, now)
        self._take_census(now)

    def _take_census(self, now: float) -> None:
        for name in self._partition_detector.census(self._state.table, self._generator, now):
            member = self._state.table.get(name)
            if member is not None:
                self._partition_detector.record_attempt(name, now)
                self.ping_address(name, member.record.peer_address, now)

    def _end_suspicions(self, now: float) -> None:
        due = [name for name, until in self._suspected_until.items() if until <= now]
        for name in due:
            del self._suspected_until[name]
            member = self._state.table.get(name)
            planned = member is not None and member.planned
            state = MemberState.LEFT if planned else MemberState.DEAD
            self._state.assert_state(name, state, now)


def status_of(member: Member) -> MemberStatus:
    """Return the state of a member in this node's table."""
    record = member.record
    return MemberStatus(record.name, record.incarnation, record.version, record.state)
