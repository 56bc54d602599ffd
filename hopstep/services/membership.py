"""Membership of this router, running on trio.

Nothing here depends on the platform's store: members find each other through the seeds and by
gossip alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from hopstep.domain.membership import (
    Action,
    MemberChanged,
    Membership,
    MembershipConfig,
    Refuted,
    Send,
    labels_digest,
)
from hopstep.domain.peer_message import (
    Entry,
    EntryKind,
    EntryValue,
    LimitGrant,
    LimitReport,
    MemberRecord,
    MemberState,
)
from hopstep.domain.rendezvous import Rendezvous
from hopstep.error_reports import describe_unexpected
from hopstep.exceptions import PeerMessageError
from hopstep.log_events.membership import (
    ISOLATION_CHANGED,
    MEMBER_CHANGED,
    MEMBERSHIP_REFUTED,
    PEER_MESSAGE_REJECTED,
)
from hopstep.logs import emit
from hopstep.ports.peer_transport import PeerTransport, ReceivedMessage
from hopstep.services.membership_metrics import MembershipMetrics
from hopstep.settings import RouterSettings

Listener = Callable[[Action], None]

MAX_TICK_SECONDS = 0.25
"""Longest time between two ticks of the protocol."""

OUTGOING_MESSAGES = 1_000
"""Bound on the messages that wait for the socket; further ones are lost, as on the network."""

REJECTION_LOG_SECONDS = 10.0
"""Time between two log lines about rejected datagrams."""


class MembershipService:
    """Connects the pure protocol with a transport, the clock, logs and metrics."""

    def __init__(
        self,
        settings: RouterSettings,
        transport: PeerTransport,
        *,
        incarnation: int,
        generator: random.Random,
        metrics: MembershipMetrics,
        http_address: str = "",
    ) -> None:
        """Prepare the own record; ``run`` joins the other routers.

        Args:
            settings: Own name, addresses, zone, labels and times.
            transport: Opened transport.
            incarnation: Unix time of the start in milliseconds.
            generator: Source of random choices.
            metrics: Metrics to update.
            http_address: Address of the callers' listener when its port was chosen by the
                system; empty for the one in the settings.
        """
        self._transport = transport
        self._metrics = metrics
        self._listeners: list[Listener] = []
        self._confirmed_age: Callable[[], float] = lambda: float("inf")
        self._outgoing, self._to_send = trio.open_memory_channel[Send](OUTGOING_MESSAGES)
        own = MemberRecord(
            settings.name,
            incarnation,
            0,
            MemberState.ALIVE,
            http_address or settings.address,
            transport.address,
            settings.zone,
            labels_digest(settings.all_labels()),
        )
        self._membership = Membership(
            own,
            membership_config(settings),
            settings.peers.seeds,
            generator,
            transport.encoded_size,
            trio.current_time(),
        )
        self._rendezvous = Rendezvous.unweighted([own.name])
        self._alive_names = [own.name]
        self._seen_version = (-1, MemberState.ALIVE)
        self._was_partitioned = False
        self._rejected = 0
        self._rejection_logged_at = float("-inf")

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Take part in membership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send)
            nursery.start_soon(self._tick)
            task_status.started()

    @property
    def own(self) -> MemberRecord:
        """Own record."""
        return self._membership.own

    def members(self) -> list[MemberRecord]:
        """Return all known members, including this one and dead ones."""
        return self._membership.members()

    def alive_routers(self) -> list[MemberRecord]:
        """Return the routers that take new work, including this one unless it is shutting down."""
        return self._membership.alive()

    def owners(self, key: str, replicas: int = 1) -> tuple[str, ...]:
        """Return the live routers that own a key of control work, the first owner first."""
        version = (self._membership.version, self.own.state)
        if version != self._seen_version:
            self._seen_version = version
            self._update_owners()
        return self._rendezvous.owners(key, replicas)

    def owns(self, key: str, replicas: int = 1) -> bool:
        """Return whether this router is among the owners of a key."""
        return self.own.name in self.owners(key, replicas)

    def publish(
        self,
        kind: EntryKind,
        subject: str,
        value: EntryValue | None,
        audience: tuple[int, ...] = (),
    ) -> None:
        """Share a value with other routers; None withdraws it (see ``Membership.publish``)."""
        now = trio.current_time()
        self._dispatch(self._membership.publish(kind, subject, value, now, audience))

    def send_limits(self, name: str, body: LimitReport | LimitGrant) -> bool:
        """Send a message about tenants' limits; return whether the byte budget admits it."""
        sent, actions = self._membership.send_limits(name, body, trio.current_time())
        self._dispatch(actions)
        return sent

    def entries(self, kind: EntryKind) -> list[Entry]:
        """Return the shared entries of a kind, of all live owners."""
        return self._membership.entries(kind)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with every later change of members, entries and revisions."""
        self._listeners.append(listener)

    def set_revision(self, revision: int) -> None:
        """Announce to peers which configuration revision is in force here."""
        self._dispatch(self._membership.set_revision(revision, trio.current_time()))

    def follow_confirmations(self, age: Callable[[], float]) -> None:
        """Announce to peers how old the proof is that the revision in force is the latest.

        Args:
            age: Returns seconds, infinite without a proof.
        """
        self._confirmed_age = age

    def is_partitioned(self, now: float) -> bool:
        """Return whether contact is lost with most of the routers that were recently alive.

        Routers after a planned stop don't count. With every other router down the result is
        true as well: the two cases can't be distinguished from here.
        """
        return self._membership.is_partitioned(now)

    def leave(self) -> None:
        """Announce a planned stop: peers give this router no new work."""
        self._dispatch(self._membership.leave(trio.current_time()))

    async def stop(self) -> None:
        """Send the final message of this member before the process ends."""
        for action in self._membership.stop(trio.current_time()):
            if isinstance(action, Send):
                await self._transmit(action)

    async def _receive(self) -> None:
        while True:
            try:
                received = await self._transport.receive()
            except PeerMessageError as error:
                self._record_rejection(error.message)
                continue
            self._metrics.messages_received.inc()
            self._apply(received)

    def _apply(self, received: ReceivedMessage) -> None:
        """Apply a message; what can't be applied of one is left out."""
        try:
            self._dispatch(
                self._membership.handle(received.message, received.source, trio.current_time())
            )
        except Exception as error:
            self._record_rejection(describe_unexpected(error))

    async def _send(self) -> None:
        async for message in self._to_send:
            await self._transmit(message)

    async def _transmit(self, message: Send) -> None:
        size = await self._transport.send(message.address, message.body)
        self._metrics.bytes_sent.inc(size)

    async def _tick(self) -> None:
        while True:
            now = trio.current_time()
            self._membership.confirm_revision(now - self._confirmed_age())
            self._dispatch(self._membership.tick(now))
            self._update_metrics(now)
            latest = now + MAX_TICK_SECONDS
            await trio.sleep_until(min(self._membership.next_wakeup(), latest))

    def _dispatch(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._enqueue(action)
                continue
            self._log(action)
            for listener in self._listeners:
                self._notify(listener, action)

    def _notify(self, listener: Listener, action: Action) -> None:
        """Call a listener; what it can't use of one action keeps it from no other."""
        try:
            listener(action)
        except Exception as error:
            self._record_rejection(describe_unexpected(error))

    def _enqueue(self, message: Send) -> None:
        try:
            self._outgoing.send_nowait(message)
        except trio.WouldBlock:
            return

    def _log(self, action: Action) -> None:
        if isinstance(action, MemberChanged):
            record = action.record
            emit(
                MEMBER_CHANGED,
                member=record.name,
                state=record.state.name.lower(),
                incarnation=record.incarnation,
                zone=record.zone,
            )
        elif isinstance(action, Refuted):
            self._transport.use_incarnation(action.record.incarnation)
            emit(
                MEMBERSHIP_REFUTED,
                incarnation=action.record.incarnation,
                version=action.record.version,
            )

    def _update_metrics(self, now: float) -> None:
        self._metrics.live_members.set(len(self.alive_routers()))
        self._metrics.messages_withheld.set(self._membership.withheld)
        partitioned = self._membership.is_partitioned(now)
        self._metrics.isolated.set(int(partitioned))
        if partitioned != self._was_partitioned:
            self._was_partitioned = partitioned
            emit(ISOLATION_CHANGED, isolated=partitioned)

    def _record_rejection(self, reason: str) -> None:
        self._metrics.messages_rejected.inc()
        self._rejected += 1
        now = trio.current_time()
        if now - self._rejection_logged_at < REJECTION_LOG_SECONDS:
            return
        self._rejection_logged_at = now
        emit(PEER_MESSAGE_REJECTED, reason=reason, count=self._rejected)
        self._rejected = 0

    def _update_owners(self) -> None:
        names = [record.name for record in self.alive_routers()]
        if names != self._alive_names:
            self._alive_names = names
            self._rendezvous = self._rendezvous.updated(dict.fromkeys(names, 1.0))


def membership_config(settings: RouterSettings) -> MembershipConfig:
    """Return the protocol's times and bounds for a router's settings."""
    defaults = MembershipConfig()
    peers = settings.peers
    return MembershipConfig(
        heartbeat_seconds=peers.heartbeat_seconds,
        ack_timeout_seconds=defaults.ack_timeout_seconds * peers.heartbeat_seconds,
        suspicion_seconds=peers.suspicion_seconds,
        bytes_per_second=peers.bytes_per_second,
        partition_window_seconds=settings.isolation_seconds or defaults.partition_window_seconds,
    )
