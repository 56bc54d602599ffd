"""Remembers what began each resumable stream, and finds it out when a client resumes one.

Each node remembers the streams that it has begun. While the instances of a service may have several
software versions, other nodes and the store keep the records too, since the node that gets the
resume is often another one, and the one that began the stream has often died.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import trio

from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.exchanges.serving import RequestKind, Route
from hopstep.domain.exchanges.streams.listed_versions import MAX_RETENTION_SECONDS
from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.domain.exchanges.streams.origin_lookup import OriginLookup, OriginSource
from hopstep.domain.exchanges.streams.origin_records import (
    OriginRecord,
    OriginRecords,
    stream_key,
)
from hopstep.domain.exchanges.streams.version_claims import (
    VersionClaim,
    common_version,
    sole_version,
)
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.node_exchange import NodeExchange
from hopstep.ports.origin_messages import OriginAnswer, OriginQuery, OriginUpdate, StoreWrite
from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.directory.current_view import CurrentView
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.records import STREAMS_PREFIX
from hopstep.services.exchanges.streams.origin_holders import OriginHolders
from hopstep.services.exchanges.streams.origin_inquiry import Inquiry
from hopstep.services.exchanges.streams.origin_messages import read_record
from hopstep.services.exchanges.streams.origin_sharing import OriginSharing
from hopstep.services.exchanges.streams.reading_queries import ReadingQueries
from hopstep.services.exchanges.streams.stored_origins import StoredOrigins
from hopstep.services.exchanges.streams.version_recording import VersionRecording
from hopstep.services.exchanges.streams.view_confirmation import ViewConfirmation

FRESH_SECONDS = 3.0
"""Age up to which a node's view of the directory is recent: twice the interval of its readings. A
node with such a view is likely to reach the store."""

UNREAD_SECONDS = 2.0
"""Age of a node's view of the directory from which the store counts as away for it: readings come
every 1.5 s. Other nodes keep its records then, since they may get no reading in their place."""

FEW_INSTANCES = 2
"""With fewer listed instances of its version a stream has hardly anywhere to go on."""

KEPT_BEYOND_SECONDS = 1.0
"""Time for which a record is kept after its client's deadline, for clocks and delays."""

MAX_KEPT_SECONDS = MAX_RETENTION_SECONDS
"""Longest time for which a record is kept, whatever deadline a client states."""

OriginMessage = OriginUpdate | OriginQuery | OriginAnswer


class StreamOrigins:
    """The origins of streams that this node knows."""

    def __init__(
        self,
        knowledge: ServingKnowledge,
        exchange: NodeExchange,
        store: KeyValueStorePort,
        view: CurrentView,
        recording: VersionRecording,
    ) -> None:
        """Start without records. Must be called inside the event loop.

        Args:
            knowledge: Instances, configuration and nodes.
            exchange: Sends datagrams to other nodes.
            store: Keeps records of all nodes.
            view: Reads where instances are listed.
            recording: Keeps the record of the versions at which streams may have begun.
        """
        self._knowledge = knowledge
        self._versions = knowledge.instances.versions
        self._recording = recording
        self._own = OriginRecords()
        self._kept = OriginRecords()
        self._holders = OriginHolders(knowledge)
        self._sharing = OriginSharing(knowledge, self._holders, exchange)
        self._stored = StoredOrigins(knowledge.name, store, self._sharing.put_unwritten)
        self._view = view
        self._confirmation = ViewConfirmation(knowledge, self._view, self._sharing)
        self._reading_queries = ReadingQueries(self._view, self._answer)
        self._shared_services: set[str] = set()
        self._was_unread = False
        knowledge.records.subscribe_records(STREAMS_PREFIX, self._take_stored)

    def note_begun(self, request: ExchangeRequest, origin: StreamOrigin, began_at: float) -> None:
        """Remember the origin of a stream of which an event is about to be sent to the client.

        Args:
            request: The request that began or resumed it.
            origin: What began it.
            began_at: When its first event came, by the steady clock in seconds.
        """
        if not (request.route.resumable or is_resumed(request)):
            return
        now = trio.current_time()
        self._versions.note_stream_seconds(request.client_deadline - request.received_at)
        keep_until = min(request.client_deadline + KEPT_BEYOND_SECONDS, now + MAX_KEPT_SECONDS)
        record = OriginRecord(_key(request), origin, began_at, keep_until)
        if not self._own.put(record, now):
            return
        if self._needs_copies(request.route, origin.service, now):
            self._share((record,))
        elif self._is_unread:
            self._sharing.put((record,), for_store=False)

    def count_scarce(self, service: str) -> int:
        """Return how many of its own streams have a version with few listed instances."""
        records = self._own.of_service(service, trio.current_time())
        versions = (record.origin.software_version for record in records)
        return sum(self._versions.count(service, each) < FEW_INSTANCES for each in versions)

    def count_kept(self) -> int:
        """Return the number of records that this node keeps for others."""
        return len(self._kept)

    async def find(self, request: ExchangeRequest) -> OriginLookup:
        """Return what began the stream that a client resumes.

        The other nodes are asked even if this one knows a single version: another node may have
        learned of a further one earlier.
        """
        key = _key(request)
        known = self._known(key)
        if known is not None:
            return self._judge(OriginSource.OWN, known, self._knowledge.name)
        services = [share.service for share in request.route.shares]
        service = services[0] if len(services) == 1 else ""
        with self._sharing.open(key, service) as inquiry:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._confirmation.run,
                    inquiry,
                    self._may_be_sole(inquiry),
                    self._may_be_earlier(inquiry),
                )
                await self._sharing.ask(inquiry, self._is_enough)
                nursery.cancel_scope.cancel()
            return self._conclude(inquiry)

    def _may_be_sole(self, inquiry: Inquiry) -> Callable[[], bool]:
        """Return a function that tells whether only one version is known so far."""
        return lambda: bool(common_version(self._claims(inquiry)))

    def _may_be_earlier(self, inquiry: Inquiry) -> Callable[[], bool]:
        """Return a function that tells whether nodes that have ended began at one version only."""
        return lambda: len(self._of_ended_processes(inquiry)) == 1

    def _is_enough(self, inquiry: Inquiry) -> bool:
        """Return whether a single version is known, also to half of the nodes that were asked."""
        enough_answered = 2 * len(inquiry.claims) >= inquiry.asked
        is_settled = inquiry.has_current_view or not inquiry.needs_reading
        return enough_answered and is_settled and bool(self._sole_version(inquiry))

    def _conclude(self, inquiry: Inquiry) -> OriginLookup:
        """Return what follows from the answers of other nodes."""
        answered = len(inquiry.claims)
        record = inquiry.record
        if record is not None:
            found = self._judge(OriginSource.NODE, record, inquiry.node)
            return msgspec.structs.replace(found, asked=inquiry.asked, answered=answered)
        read = self._known(inquiry.key)
        if read is not None:
            return self._judge(OriginSource.OWN, read, self._knowledge.name)
        source, version = OriginSource.SOLE_VERSION, self._sole_version(inquiry)
        if not version:
            source, version = OriginSource.EARLIER_VERSION, self._earlier_version(inquiry)
        if not version:
            return OriginLookup(OriginSource.UNKNOWN, asked=inquiry.asked, answered=answered)
        origin = StreamOrigin(inquiry.service, version)
        return OriginLookup(source, origin, asked=inquiry.asked, answered=answered)

    def is_doubtful(self, origin: StreamOrigin, began_at: float) -> bool:
        """Return whether a stream may have begun at other software than that of its instance.

        Args:
            origin: What is recorded of it.
            began_at: When its first event came, by the steady clock in seconds.
        """
        return self._knowledge.instances.successions.makes_doubtful(origin, began_at)

    def _judge(self, source: OriginSource, record: OriginRecord, keeper: str) -> OriginLookup:
        """Return what follows from the record of a stream."""
        age = trio.current_time() - record.began_at
        if self.is_doubtful(record.origin, record.began_at):
            return OriginLookup(OriginSource.DOUBTFUL, None, keeper, age)
        return OriginLookup(source, record.origin, keeper, age)

    def _sole_version(self, inquiry: Inquiry) -> str:
        """Return the only version that may have begun a stream; empty when unknown."""
        own, *others = self._claims(inquiry)
        return sole_version(own, others, inquiry.others)

    def _earlier_version(self, inquiry: Inquiry) -> str:
        """Return the only version at which processes that have ended began; empty when unknown.

        A stream of which no live node has a record was begun by such a process. Each node has the
        records of its own streams, so all must have answered.
        """
        others = self._knowledge.nodes.keys() - {self._knowledge.name}
        if not inquiry.is_own_view_current or others - inquiry.claims.keys():
            return ""
        versions = self._of_ended_processes(inquiry)
        return next(iter(versions)) if len(versions) == 1 else ""

    def _of_ended_processes(self, inquiry: Inquiry) -> frozenset[str]:
        """Return the versions at which processes that have ended may have begun a stream."""
        recorded = self._knowledge.recorded_versions
        return recorded.of_ended_processes(inquiry.service, trio.current_time())

    def _claims(self, inquiry: Inquiry) -> list[VersionClaim]:
        """Return what this node, and the others that answered, know; several services: nothing."""
        if not inquiry.service:
            return [VersionClaim()]
        own = self._claim(inquiry.service, is_current=inquiry.is_own_view_current)
        return [own, *inquiry.claims.values()]

    async def take(self, sender: str, message: OriginMessage) -> None:
        """Apply another node's message."""
        now = trio.current_time()
        match message:
            case OriginUpdate():
                self._take_records(message, now)
            case OriginQuery():
                if message.needs_reading:
                    self._reading_queries.put(sender, message)
                else:
                    await self._answer(sender, message, is_current=False)
            case OriginAnswer():
                self._sharing.take_answer(sender, message)

    async def _answer(self, sender: str, query: OriginQuery, *, is_current: bool) -> None:
        """Answer another node's question.

        Args:
            sender: The other node.
            query: The question.
            is_current: Whether the store was read since the question came.
        """
        claim = self._claim(query.service, is_current=is_current)
        await self._sharing.answer(sender, query, self._known(query.key), claim)

    def _take_records(self, update: OriginUpdate, now: float) -> None:
        """Keep another node's records, and write them to the store if it asks for that."""
        records = [read_record(origin, now) for origin in update.origins]
        for record in records:
            self._kept.put(record, now)
        if update.store_write is not StoreWrite.NONE:
            self._write(records, may_pass_on=update.store_write is StoreWrite.WRITER)

    def _take_stored(self, written: RecordWritten) -> None:
        """Keep the records that any node has written to the store."""
        now = trio.current_time()
        for record in self._stored.read(written):
            self._kept.put(record, now)

    def _share(self, records: Iterable[OriginRecord]) -> None:
        """Let other nodes and the store keep records of this node's streams."""
        records = tuple(records)
        self._sharing.put(records)
        if self._holders.writer() == self._knowledge.name:
            self._write(records, may_pass_on=True)

    def _write(self, records: Iterable[OriginRecord], *, may_pass_on: bool) -> None:
        """Write records to the store, or let other nodes do so."""
        self._stored.writers = self._holders.writers()
        self._stored.put(records, may_pass_on=may_pass_on)

    async def run(self) -> None:
        """Share and write records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sharing.run)
            nursery.start_soon(self._stored.run)
            nursery.start_soon(self._reading_queries.run)
            while True:
                self._share_mixed()
                self._share_unread()
                with trio.move_on_after(UNREAD_SECONDS):
                    await self._knowledge.changed.wait()

    def _share_mixed(self) -> None:
        """Share the running streams of services that have come to have several versions."""
        now = trio.current_time()
        mixed = {s for s in self._versions.services() if self._versions.is_mixed(s, now)}
        for service in mixed - self._shared_services:
            self._share(self._own.of_service(service, now))
        self._shared_services = mixed

    def _share_unread(self) -> None:
        """Share the running streams of all other services once the store is away."""
        was_unread, self._was_unread = self._was_unread, self._is_unread
        if was_unread or not self._was_unread:
            return
        now = trio.current_time()
        for service in set(self._versions.services()) - self._shared_services:
            self._sharing.put(self._own.of_service(service, now), for_store=False)

    @property
    def _is_unread(self) -> bool:
        """Whether this node's view of the directory shows that the store is away for it."""
        return self._knowledge.history.age_seconds > UNREAD_SECONDS

    def _known(self, key: bytes) -> OriginRecord | None:
        """Return this node's record of a stream, the one that began last of two."""
        now = trio.current_time()
        records = [r for r in (self._own.get(key, now), self._kept.get(key, now)) if r is not None]
        return max(records, key=lambda record: record.began_at, default=None)

    def _needs_copies(self, route: Route, service: str, now: float) -> bool:
        """Return whether a stream's origin can't be known without its record."""
        return len(route.shares) > 1 or self._versions.is_mixed(service, now)

    def _claim(self, service: str, *, is_current: bool) -> VersionClaim:
        """Return what this node knows of the software versions of a service.

        Its view is complete if it has followed the directory for long enough, or began with a
        reading of the store, which has the versions that were listed before.

        Args:
            service: The service.
            is_current: Whether the store was read since the question came up.
        """
        now = trio.current_time()
        of_streams = {record.origin.software_version for record in self._records(service, now)}
        versions = self._versions.recent(service, now) | of_streams
        recorded, recording = self._knowledge.recorded_versions, self._recording
        is_complete = recording.has_followed_streams
        if not is_complete:
            versions |= recorded.of(service)
            is_complete = recording.has_read_store and recorded.is_complete(now)
        return VersionClaim(
            tuple(sorted(versions)),
            is_complete,
            self._knowledge.keys.age_seconds <= FRESH_SECONDS,
            is_current,
        )

    def _records(self, service: str, now: float) -> Iterable[OriginRecord]:
        """Return this node's records of a service's streams."""
        yield from self._own.of_service(service, now)
        yield from self._kept.of_service(service, now)


def is_resumed(request: ExchangeRequest) -> bool:
    """Return whether a request goes on with a stream that another request began.

    It is bound to what began the stream also where its route doesn't allow resuming any more.
    """
    if request.route.kind is not RequestKind.STREAM:
        return False
    return bool(request.resumes or request.resume_after)


def _key(request: ExchangeRequest) -> bytes:
    """Return the key of the stream that a request began, or that it resumes."""
    tenant = request.tenant.name if request.tenant is not None else ""
    return stream_key(tenant, request.route.name, request.resumes or request.request_id)
