"""Port to datagrams between nodes: queries to a relay, its answers, digests, urgent updates.

Messages about the origins of streams are in ``origin_messages``.

Datagrams may be lost, delayed, repeated and out of order. The adapter drops messages that aren't
signed by a registered node.
"""

from __future__ import annotations

import abc
from collections.abc import Iterable, Mapping

import msgspec

from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.exchanges.store_contents import ContentsPosition, ContentsUpdate
from hopstep.domain.limits.fleet_usage import Usage
from hopstep.domain.quarantine.crashes import RequestCrashes
from hopstep.domain.store_position import NO_POSITION, UNSPECIFIED_ERA, StorePosition
from hopstep.ports.origin_messages import OriginAnswer, OriginQuery, OriginUpdate
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryEntry,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RecordWritten,
    RejectReason,
    Unreadable,
    WeightsPublished,
)


class SegmentUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the segments that an instance has cached.

    Attributes:
        incarnation: The instance's incarnation, as ``str(InstanceIncarnation)``.
        sent: Segments of a prompt that was sent to it, or that its cache events report.
        read_ms: Expected time in milliseconds until it has prefilled them.
        dropped: Digests of segments that it hasn't cached.
    """

    incarnation: str
    sent: tuple[SegmentKey, ...] = ()
    read_ms: int = 0
    dropped: tuple[int, ...] = ()


class LoadingEngine(msgspec.Struct, frozen=True, array_like=True):
    """An engine that is loading weights, by its incarnation, and for how much longer at least."""

    incarnation: str
    milliseconds: int


class LeavingInstance(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of an instance that has announced that it is about to shut down.

    Attributes:
        incarnation: As ``str(InstanceIncarnation)``.
        age_ms: Milliseconds since its first announcement to any node.
    """

    incarnation: str
    age_ms: int


class LimitedInstance(msgspec.Struct, frozen=True, array_like=True):
    """The last notice of its limit that an incarnation of an instance sent to any node.

    Attributes:
        incarnation: As ``str(InstanceIncarnation)``.
        per_second_milli: Thousandths of a request per second, from all nodes together;
            ``LIMIT_LIFTED`` when it no longer announces a limit.
        request_age_ms: Milliseconds since the request was sent: upper bound of the notice's age.
        response_age_ms: Milliseconds since the response's head was read: lower bound of its age.
    """

    incarnation: str
    per_second_milli: int
    request_age_ms: int
    response_age_ms: int


LIMIT_LIFTED = -1
"""``per_second_milli`` of an instance that no longer announces a limit."""


class GrantedPermits(msgspec.Struct, frozen=True, array_like=True):
    """Permits to send requests to an instance that has announced a limit.

    Attributes:
        incarnation: As ``str(InstanceIncarnation)``.
        count: Number of permits.
        valid_ms: Milliseconds for which they may be used.
        relay: The relay that they are for; empty in an answer, where they are for the asker.
    """

    incarnation: str
    count: int
    valid_ms: int
    relay: str = ""


class SentPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A long prompt that was just sent to an instance.

    Attributes:
        segments: The instance, and the prompt's shared segments.
        tokens: Tokens that it has to prefill.
    """

    segments: SegmentUpdate
    tokens: int


class SuspectedInstance(msgspec.Struct, frozen=True, array_like=True):
    """An instance that doesn't respond to a node.

    Attributes:
        incarnation: As ``str(InstanceIncarnation)``.
        milliseconds: Time for which the node sends it nothing.
        node: The node; relays forward its report.
    """

    incarnation: str
    milliseconds: int
    node: str


class Hints(msgspec.Struct, frozen=True, array_like=True):
    """Reports of nodes about instances; they may be outdated or missing.

    Attributes:
        loads: Loads; instances that aren't named have none.
        segments: Changes of cached segments since the last message.
        loading: Engines that load weights.
        usage: Usage of tenants with quotas, at the nodes that ``nodes`` counts.
        nodes: Number of nodes whose usage is reported: the sender, its group, or all.
        leaving: Instances that have announced their shutdown while the directory lists them as
            ready.
        limits: Limits that instances have announced, or lifted lately.
        sends: Requests sent to limited instances, by incarnation, and those that wait for permits;
            of the same nodes as ``usage``.
        permits: Permits to send to them.
    """

    loads: tuple[InstanceLoad, ...] = ()
    segments: tuple[SegmentUpdate, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    usage: tuple[Usage, ...] = ()
    nodes: int = 0
    leaving: tuple[LeavingInstance, ...] = ()
    limits: tuple[LimitedInstance, ...] = ()
    sends: tuple[Usage, ...] = ()
    permits: tuple[GrantedPermits, ...] = ()


class RelayQuery(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A node's query for changes since its last known state.

    Attributes:
        number: Rises with each query of the process; the answer repeats it.
        revision: The node has all changes of the directory up to it; -1 for none.
        feed: Identity of the feed of segment updates that ``position`` belongs to.
        position: Position in the feed up to which the node has all updates.
        hints: The node's own hints, for its relay only; None for a query without hints.
        contents: Position up to which the node has the events of each cache store.
        era: Era of ``revision``.
        configuration: Version of the configuration that the node has; 0 for none.
        weights: Digest of the named weights that it has; see ``NamedWeightsTable``.
    """

    number: int
    revision: int
    feed: str = ""
    position: int = 0
    hints: Hints | None = None
    contents: tuple[ContentsPosition, ...] = ()
    era: int = UNSPECIFIED_ERA
    configuration: int = 0
    weights: int = 0

    @property
    def store_position(self) -> StorePosition:
        """Store position up to which the node has all changes; ``NO_POSITION`` for none."""
        return StorePosition(self.era, self.revision) if self.revision >= 0 else NO_POSITION


class ReportedRecord(msgspec.Struct, frozen=True, tag="RecordWritten"):
    """A ``RecordWritten`` as nodes send it; its era is that of the entry."""

    key: str
    value: bytes
    revision: int


ReportedChange = (
    ConfigurationPublished
    | InstanceListed
    | InstanceRejected
    | InstanceRemoved
    | WeightsPublished
    | ReportedRecord
    | Unreadable
)


class ReportedEntry(msgspec.Struct, frozen=True):
    """A ``DirectoryEntry`` as nodes send it.

    Attributes:
        key: Name of the key.
        revision: Store revision of the change.
        change: The change.
        era: Era of ``revision``.
    """

    key: str
    revision: int
    change: ReportedChange
    era: int = UNSPECIFIED_ERA

    @classmethod
    def of(cls, entry: DirectoryEntry) -> ReportedEntry:
        """Return the message form of an entry."""
        change = entry.change
        reported: ReportedChange
        if isinstance(change, RecordWritten):
            reported = ReportedRecord(change.key, change.value, change.version.revision)
        elif isinstance(change, InstanceRejected | Unreadable):
            reported = _with_known_reason(change)
        else:
            reported = change
        return cls(entry.key, entry.position.revision, reported, entry.position.era)

    def read(self, era: int) -> DirectoryEntry:
        """Return the directory entry.

        Args:
            era: Era to assign; the received one unless the sender names none.
        """
        position = StorePosition(era, self.revision)
        change = self.change
        if isinstance(change, ReportedRecord):
            version = StorePosition(era, change.revision)
            return DirectoryEntry(
                self.key, position, RecordWritten(change.key, change.value, version)
            )
        return DirectoryEntry(self.key, position, change)


def _with_known_reason(rejected: InstanceRejected | Unreadable) -> InstanceRejected | Unreadable:
    """Return a rejection with a reason that nodes of all releases know.

    They reject a whole message with an unknown one.
    """
    if rejected.reason is not RejectReason.UNEXPECTED:
        return rejected
    return msgspec.structs.replace(rejected, reason=RejectReason.UNREADABLE)


class RelayedEntry(msgspec.Struct, frozen=True, array_like=True):
    """A change of the directory, and its age.

    Attributes:
        entry: The change.
        age_ms: Milliseconds since the earliest time at which it may have been acknowledged.
    """

    entry: ReportedEntry
    age_ms: int


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer to a query.

    Attributes:
        number: Number of the query.
        after: Revision that the query named.
        revision: With ``entries`` the asker has all changes up to it.
        age_ms: Age in milliseconds of the answering node's state; -1 when it has none.
        complete: Whether ``revision`` is the newest that the answering node has.
        must_read_store: Whether the asker must read the store itself to get further changes.
        entries: Changes, oldest first.
        feed: Identity of the feed of segment updates.
        position: Position in the feed after the updates in ``hints``.
        hints: Of all nodes but the asker; empty when the query had none.
        contents: Updates of the cache stores' contents that the asker doesn't have.
        store_response_age_ms: Milliseconds since the store last responded to the node whose read
            the answer is based on; -1 when it never did.
        after_era: Era of ``after``.
        era: Era of ``revision``.
        keys_age_ms: Milliseconds since the time up to which the answering node has seen every
            deletion of a key; -1 when it has no such time, or its version doesn't report it.
        configuration: Version of its configuration; 0 for none.
        newer: Configuration and weights that the asker lacks according to its query, though
            ``entries`` may not contain them: a store restored from a backup doesn't show them.
        relisting_ms: Milliseconds for which the answering node still expects entries back that
            expired in an outage of the store; 0 for none.
    """

    number: int
    after: int
    revision: int
    age_ms: int
    complete: bool = True
    must_read_store: bool = False
    entries: tuple[RelayedEntry, ...] = ()
    feed: str = ""
    position: int = 0
    hints: Hints = Hints()
    contents: tuple[ContentsUpdate, ...] = ()
    store_response_age_ms: int = -1
    after_era: int = UNSPECIFIED_ERA
    era: int = UNSPECIFIED_ERA
    keys_age_ms: int = -1
    configuration: int = 0
    newer: tuple[RelayedEntry, ...] = ()
    relisting_ms: int = 0

    @property
    def after_store_position(self) -> StorePosition:
        """Store position that the query named."""
        return StorePosition(self.after_era, self.after) if self.after >= 0 else NO_POSITION

    @property
    def store_position(self) -> StorePosition:
        """Store position up to which the asker has all changes with ``entries``."""
        return StorePosition(self.era, self.revision) if self.revision >= 0 else NO_POSITION


class RelayDigest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A relay's summary of its own nodes for other relays.

    Attributes:
        number: Rises with each digest of the process.
        hints: Of the relay and the nodes that query it.
    """

    number: int
    hints: Hints = Hints()


class UrgentUpdates(msgspec.Struct, frozen=True, array_like=True, tag="UrgentNews"):
    """Updates that change the routing of all nodes at once; forwarded by relays.

    Attributes:
        number: Rises with each message of the process.
        prompts: Long prompts, in addition to the loads that were reported.
        loading: Engines that are about to load weights.
        crashes: Requests during which instances have crashed.
        suspected: Instances that don't respond to the nodes that report them.
    """

    number: int
    prompts: tuple[SentPrompt, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    crashes: tuple[RequestCrashes, ...] = ()
    suspected: tuple[SuspectedInstance, ...] = ()


NodeMessage = (
    RelayQuery
    | RelayAnswer
    | RelayDigest
    | UrgentUpdates
    | OriginUpdate
    | OriginQuery
    | OriginAnswer
)


class Received(msgspec.Struct, frozen=True):
    """A message with its sender's name."""

    sender: str
    message: NodeMessage


class MessageTooLongError(Exception):
    """A message doesn't fit into a datagram."""


class NodeExchange(abc.ABC):
    """Sends messages to nodes and receives theirs."""

    @abc.abstractmethod
    async def send(self, message: NodeMessage, node: NodeRecord) -> None:
        """Send a message; losses aren't detected.

        Raises:
            MessageTooLongError: When it can't be sent as one datagram.
        """

    async def send_all(self, message: NodeMessage, nodes: Iterable[NodeRecord]) -> None:
        """Send one message to several nodes; see ``send``."""
        for node in nodes:
            await self.send(message, node)

    @abc.abstractmethod
    async def receive(self, nodes: Mapping[str, NodeRecord]) -> Received:
        """Return the next message that one of ``nodes`` has signed."""
