"""Typed messages between routers.

Every message is small, immutable and encoded as an array, so that many fit into a datagram.
The envelope (who sent it, in which incarnation, authenticated) is ``PeerMessage``; the body is
one of the ``Body`` types, distinguished by its tag.
"""

from __future__ import annotations

import enum

import msgspec

from hopstep.domain.engines import EngineFacts, EngineRole, LoadReport
from hopstep.domain.quarantine.crashes import RequestCrashes


class MemberState(enum.IntEnum):
    """State of a member as its peers see it.

    ``ALIVE`` and ``LEAVING`` are asserted by the member itself. ``SUSPECT``, ``DEAD`` and
    ``LEFT`` are asserted by peers about one version of the member's own record.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT})
"""States in which a member answers or may answer."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Everything that routers share about one member.

    Attributes:
        name: Unique name of the node.
        incarnation: New and higher on every start.
        version: Increased by the member itself on every change or refutation.
        state: See ``MemberState``.
        http_address: ``ip:port`` of the listener for callers.
        peer_address: ``ip:port`` of the UDP socket.
        zone: Zone of the machine.
        labels_digest: Digest of the member's labels (``labels_digest``).
        configuration_revision: Highest configuration revision received from it.
    """

    name: str
    incarnation: int
    version: int
    state: MemberState
    http_address: str
    peer_address: str
    zone: str = ""
    labels_digest: int = 0
    configuration_revision: int = 0


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The changing part of a record, used for known members: a quarter of the record's bytes.

    Attributes:
        name: Name of the member.
        incarnation: Incarnation that the state belongs to.
        version: Version that the state belongs to.
        state: Asserted state.
        entries_digest: Digest of the entries owned by the member; 0 outside summaries.
    """

    name: str
    incarnation: int
    version: int
    state: MemberState
    entries_digest: int = 0


class EntryKind(enum.IntEnum):
    """Kinds of shared entries; a lower number is sent first."""

    LEAVING_BACK_END = 0
    ENGINE_FACTS = 1
    HOT_PREFIX = 2
    CRASHES = 3


URGENT_KINDS = frozenset({EntryKind.LEAVING_BACK_END, EntryKind.CRASHES})
"""Kinds that are pushed to some members immediately; others are sent with the next heartbeats."""


class LeavingBackEnd(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """A back end that must get no new work.

    Attributes:
        back_end: Its name.
        leaving: False withdraws an earlier entry.
    """

    back_end: str
    leaving: bool = True


class EngineEntry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Facts of an engine, published by the routers that watch it.

    Attributes:
        engine: Address of the engine.
        incarnation: Incarnation that the engine reported.
        weights: Loaded weights version by model.
        role: Role that the engine reported.
        leaving: Whether it is shutting down and must get no new work.
        running: Requests in its batch.
        waiting: Requests in its queue.
        waiting_prefill_tokens: Prompt tokens that wait for their prefill.
    """

    engine: str
    incarnation: str
    weights: dict[str, str] = {}
    role: EngineRole = EngineRole.SERVING
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0

    @classmethod
    def from_facts(cls, engine: str, facts: EngineFacts) -> EngineEntry:
        """Return the shared part of an engine's facts.

        Args:
            engine: Address of the engine.
            facts: What it reported about itself.
        """
        return cls(
            engine,
            facts.incarnation,
            facts.weights,
            facts.role,
            facts.leaving,
            facts.load.running,
            facts.load.waiting,
            facts.load.waiting_prefill_tokens,
        )

    def facts(self) -> EngineFacts:
        """Return the facts; fields that aren't shared have their defaults."""
        load = LoadReport(self.running, self.waiting, self.waiting_prefill_tokens)
        return EngineFacts(self.incarnation, self.weights, self.role, self.leaving, load)


class HotPrefix(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A frequently requested prefix; its key is salted and reveals no text.

    Attributes:
        key: 64-bit block key.
        zone: Zone of the router that observed it.
        requests_per_second: Recent rate.
    """

    key: int
    zone: str
    requests_per_second: float = 0.0


class CrashEntry(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A request during which its owner saw engines crash; others merge it into their records.

    Attributes:
        request: The request, with some of the crashes.
    """

    request: RequestCrashes


EntryValue = LeavingBackEnd | EngineEntry | HotPrefix | CrashEntry


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One shared value; a later one of the same owner, kind and subject replaces it.

    Attributes:
        owner: Member that published it.
        incarnation: Incarnation of the owner; a new one drops all entries of the earlier one.
        version: Increased by the owner on every publication of any of its entries.
        subject: Subject of the entry, unique for owner and kind.
        value: The value; None withdraws the entry.
        kind: Kind, also of a withdrawn entry.
        audience: Label digests of the routers that may hold it; empty means every router.
    """

    owner: str
    incarnation: int
    version: int
    subject: str
    value: EntryValue | None
    kind: EntryKind
    audience: tuple[int, ...] = ()


UNCONFIRMED = -1
"""Age of a revision without proof that it was the latest."""


class Gossip(msgspec.Struct, frozen=True, array_like=True):
    """Changes that are piggybacked on any message.

    Attributes:
        revision: Highest configuration revision that the sender has.
        confirmed_age: Seconds, rounded up, since the sender had proof that this revision was
            the latest; ``UNCONFIRMED`` without any.
        statuses: Changed states of members.
        members: Whole records of new members.
        entries: Changed entries.
    """

    revision: int = 0
    confirmed_age: int = UNCONFIRMED
    statuses: tuple[MemberStatus, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    entries: tuple[Entry, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Heartbeat; the receiver answers with ``Ack`` under the same number.

    Attributes:
        number: Number of the probe at its origin.
        target: Addressed member; other members don't answer.
        gossip: Piggybacked changes.
    """

    number: int
    target: str
    gossip: Gossip = Gossip()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the receiver to ping ``target`` and forward its ack.

    Attributes:
        number: Number of the probe at its origin.
        target: Member that the origin could not reach.
        target_address: Its UDP address.
        gossip: Piggybacked changes.
    """

    number: int
    target: str
    target_address: str
    gossip: Gossip = Gossip()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a probe, from the target or forwarded for it.

    Attributes:
        number: Number of the probe.
        target: Member that is alive.
        gossip: Piggybacked changes.
    """

    number: int
    target: str
    gossip: Gossip = Gossip()


class Push(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Urgent changes and pulled values; not answered."""

    gossip: Gossip = Gossip()


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """First step of anti-entropy: the sender's digests.

    Attributes:
        digests: One for each bucket of member names.
        first_bucket: Bucket at which the answer should start, so that several answers differ.
        gossip: Piggybacked changes.
    """

    digests: tuple[int, ...]
    first_bucket: int = 0
    gossip: Gossip = Gossip()


class SyncSummary(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Second step: states in buckets that differ, with digests of the members' entries."""

    statuses: tuple[MemberStatus, ...]
    gossip: Gossip = Gossip()


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Third step: names of members whose records or entries the sender lacks; answered by ``Push``.

    Attributes:
        members: Members whose whole record is requested.
        owners: Members whose entries are requested.
        gossip: Piggybacked changes.
    """

    members: tuple[str, ...] = ()
    owners: tuple[str, ...] = ()
    gossip: Gossip = Gossip()


class LimitDemand(msgspec.Struct, frozen=True, array_like=True):
    """A router's demand for parts of a tenant's limits, in millionths.

    Attributes:
        tenant: Name of the tenant.
        wanted: Part that its requests need at this router.
        held: Part that the router holds under a lease.
    """

    tenant: str
    wanted: int
    held: int


class LimitReport(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Demands of tenants whose limits the receiver owns; answered by ``LimitGrant``.

    Attributes:
        number: Number of the report at its sender.
        demands: At most one for each tenant.
        gossip: Piggybacked changes.
    """

    number: int
    demands: tuple[LimitDemand, ...]
    gossip: Gossip = Gossip()


class LimitGrant(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answer of an owner: leases, which count from the time of the report.

    Attributes:
        number: Number of the report.
        lease_seconds: Length of the leases.
        parts: Leased millionths in the order of the report's demands; -1 for a tenant that
            another router owns.
        gossip: Piggybacked changes.
    """

    number: int
    lease_seconds: float
    parts: tuple[int, ...]
    gossip: Gossip = Gossip()


Body = (
    Ping
    | PingRequest
    | Ack
    | Push
    | SyncRequest
    | SyncSummary
    | PullRequest
    | LimitReport
    | LimitGrant
)


class PeerMessage(msgspec.Struct, frozen=True):
    """A body with its authenticated sender.

    Attributes:
        sender: Name of the sending member.
        incarnation: Its incarnation.
        body: Content of the message.
    """

    sender: str
    incarnation: int
    body: Body
