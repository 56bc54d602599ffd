"""Port to datagrams between nodes: queries to a relay, its answers, digests, urgent news.

Datagrams may be lost, late, repeated and out of order. Messages that aren't signed by a registered
node are dropped by the adapter.
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
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryEntry,
    InstanceListed,
    InstanceRejected,
    InstanceRemoved,
    RecordWritten,
    Unreadable,
    WeightsPublished,
)


class SegmentNews(msgspec.Struct, frozen=True, array_like=True):
    """What has changed in the segments that an instance keeps.

    Attributes:
        life: The instance's life, as ``str(InstanceIncarnation)``.
        sent: Segments of a prompt that was sent to it, or that its cache events report.
        read_ms: Expected time until it has read them.
        dropped: Digests of segments that it doesn't keep.
    """

    life: str
    sent: tuple[SegmentKey, ...] = ()
    read_ms: int = 0
    dropped: tuple[int, ...] = ()


class LoadingEngine(msgspec.Struct, frozen=True, array_like=True):
    """An engine that is loading weights, by its life, and for how much longer at least."""

    life: str
    milliseconds: int


class LeavingInstance(msgspec.Struct, frozen=True, array_like=True):
    """A life of an instance that has said in an answer that it leaves.

    Attributes:
        life: As ``str(InstanceIncarnation)``.
        age_ms: Time since it said so first to any node.
    """

    life: str
    age_ms: int


class LimitedInstance(msgspec.Struct, frozen=True, array_like=True):
    """What a life of an instance has said last of its limit, in an answer to any node.

    Attributes:
        life: As ``str(InstanceIncarnation)``.
        per_second_milli: Thousandths of a request a second, from all nodes together;
            ``LIMIT_LIFTED`` when it names no limit any more.
        asked_ms: Time since its request was sent, and so at most since its head was made.
        heard_ms: Time since the head was read, and so at least since it was made.
    """

    life: str
    per_second_milli: int
    asked_ms: int
    heard_ms: int


LIMIT_LIFTED = -1


class GrantedPermits(msgspec.Struct, frozen=True, array_like=True):
    """Permits to send to an instance that has named a limit.

    Attributes:
        life: As ``str(InstanceIncarnation)``.
        count: How many.
        valid_ms: For so long they may be used.
        relay: The relay that they are for; empty in an answer, where they are for who asked.
    """

    life: str
    count: int
    valid_ms: int
    relay: str = ""


class SentPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A long prompt that was just sent to an instance.

    Attributes:
        segments: The instance, and the prompt's shared segments.
        tokens: Tokens that it has to read.
    """

    segments: SegmentNews
    tokens: int


class Hints(msgspec.Struct, frozen=True, array_like=True):
    """What nodes tell of instances; it may be old or missing.

    Attributes:
        loads: Loads; instances that aren't named have none.
        segments: Changes of kept segments since the last message.
        loading: Engines that load weights.
        usage: What tenants with quotas have used; see ``nodes`` for where.
        nodes: Nodes whose usage is told: the sender, its group, or all.
        leaving: Instances that have said that they leave, while the directory lists them as ready.
        limits: Limits that instances have named, or lifted lately.
        sends: What was sent to limited instances, by life, and what waits for permits; of the same
            nodes as ``usage``.
        permits: Permits to send to them.
    """

    loads: tuple[InstanceLoad, ...] = ()
    segments: tuple[SegmentNews, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    usage: tuple[Usage, ...] = ()
    nodes: int = 0
    leaving: tuple[LeavingInstance, ...] = ()
    limits: tuple[LimitedInstance, ...] = ()
    sends: tuple[Usage, ...] = ()
    permits: tuple[GrantedPermits, ...] = ()


class RelayQuery(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A node asks another one for what has changed.

    Attributes:
        number: Rises with each query of the process; the answer repeats it.
        revision: The node has all changes of the directory up to it; -1 for none.
        feed: Identity of the feed of segment news that ``position`` belongs to.
        position: News up to it are known.
        hints: The node's own, told to its relay only; None for a node that just looks for news.
        contents: How far the node knows each cache store.
        era: Era of ``revision``.
        configuration: Version of the configuration that the node has; 0 for none.
        weights: Digest of the named weights that it knows; see ``NamedWeightsTable``.
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
    def place(self) -> StorePosition:
        """Place up to which the node has all changes; ``NO_POSITION`` for none."""
        return StorePosition(self.era, self.revision) if self.revision >= 0 else NO_POSITION


class ToldRecord(msgspec.Struct, frozen=True, tag="RecordWritten"):
    """A ``RecordWritten`` as nodes tell it; its era is that of the entry."""

    key: str
    value: bytes
    revision: int


ToldChange = (
    ConfigurationPublished
    | InstanceListed
    | InstanceRejected
    | InstanceRemoved
    | WeightsPublished
    | ToldRecord
    | Unreadable
)


class ToldEntry(msgspec.Struct, frozen=True):
    """A ``DirectoryEntry`` as nodes tell it.

    Attributes:
        key: Name of the key.
        revision: Store revision of the change.
        change: The change.
        era: Era of ``revision``.
    """

    key: str
    revision: int
    change: ToldChange
    era: int = UNSPECIFIED_ERA

    @classmethod
    def of(cls, entry: DirectoryEntry) -> ToldEntry:
        """Return what is told of an entry."""
        change = entry.change
        told: ToldChange
        if isinstance(change, RecordWritten):
            told = ToldRecord(change.key, change.value, change.version.revision)
        else:
            told = change
        return cls(entry.key, entry.place.revision, told, entry.place.era)

    def read(self, era: int) -> DirectoryEntry:
        """Return the entry that was told.

        Args:
            era: Era to take it for; the told one unless its teller tells none.
        """
        place = StorePosition(era, self.revision)
        change = self.change
        if isinstance(change, ToldRecord):
            version = StorePosition(era, change.revision)
            return DirectoryEntry(self.key, place, RecordWritten(change.key, change.value, version))
        return DirectoryEntry(self.key, place, change)


class RelayedEntry(msgspec.Struct, frozen=True, array_like=True):
    """A change of the directory.

    Attributes:
        entry: The change.
        age_ms: Time since the earliest moment at which it may have been acknowledged.
    """

    entry: ToldEntry
    age_ms: int


class RelayAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer to a query.

    Attributes:
        number: Number of the query.
        after: Revision that the query named.
        revision: With ``entries`` the asker has all changes up to it.
        age_ms: Age of what the answering node knows; -1 when it knows nothing.
        complete: Whether ``revision`` is the newest that the answering node knows.
        beyond_reach: Whether the asker must read the store itself to get further.
        entries: Changes, oldest first.
        feed: Identity of the feed of segment news.
        position: Position behind the news in ``hints``.
        hints: Of all nodes but the asker; empty when the query had none.
        contents: What the asker doesn't know of the cache stores.
        silence_ms: Time since the store last answered whoever read what the answering node knows;
            -1 when that never happened.
        after_era: Era of ``after``.
        era: Era of ``revision``.
        keys_age_ms: Time since no key can have been taken away without the answering node's
            knowledge; -1 when it knows none, or its version doesn't tell.
        configuration: Version of its configuration; 0 for none.
        newer: Configuration and weights that the asker doesn't know by what its query said, though
            ``entries`` may not have them: a store restored from a copy doesn't show them.
    """

    number: int
    after: int
    revision: int
    age_ms: int
    complete: bool = True
    beyond_reach: bool = False
    entries: tuple[RelayedEntry, ...] = ()
    feed: str = ""
    position: int = 0
    hints: Hints = Hints()
    contents: tuple[ContentsUpdate, ...] = ()
    silence_ms: int = -1
    after_era: int = UNSPECIFIED_ERA
    era: int = UNSPECIFIED_ERA
    keys_age_ms: int = -1
    configuration: int = 0
    newer: tuple[RelayedEntry, ...] = ()

    @property
    def after_place(self) -> StorePosition:
        """Place that the query named."""
        return StorePosition(self.after_era, self.after) if self.after >= 0 else NO_POSITION

    @property
    def place(self) -> StorePosition:
        """With ``entries`` the asker has all changes up to it."""
        return StorePosition(self.era, self.revision) if self.revision >= 0 else NO_POSITION


class RelayDigest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A relay's summary of its own nodes for other relays.

    Attributes:
        number: Rises with each digest of the process.
        hints: Of the relay and the nodes that ask it.
    """

    number: int
    hints: Hints = Hints()


class UrgentNews(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What changes the choices of all nodes at once; passed on by relays.

    Attributes:
        number: Rises with each message of the process.
        prompts: Long prompts, in addition to the loads that were told.
        loading: Engines that are about to load weights.
        crashes: Requests under which instances have ended.
    """

    number: int
    prompts: tuple[SentPrompt, ...] = ()
    loading: tuple[LoadingEngine, ...] = ()
    crashes: tuple[RequestCrashes, ...] = ()


NodeMessage = RelayQuery | RelayAnswer | RelayDigest | UrgentNews


class Received(msgspec.Struct, frozen=True):
    """A message with its sender's name."""

    sender: str
    message: NodeMessage


class MessageTooLongError(Exception):
    """A message that doesn't fit into a datagram."""


class NodeExchange(abc.ABC):
    """Sends and receives messages."""

    @abc.abstractmethod
    async def send(self, message: NodeMessage, node: NodeRecord) -> None:
        """Send a message; losses go unnoticed.

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
