"""Keeps the record of software versions in the store, which outlasts all nodes.

Relays write it, the first of them at once and each further one only if that didn't succeed. It is
written when a version joins, when no client holds a stream of a version any more, and after a
restore of the store: twice for a release.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.streams.listed_versions import MAX_RETENTION_SECONDS
from hopstep.domain.exchanges.streams.recorded_versions import VersionsRecord
from hopstep.domain.rendezvous import hash_name
from hopstep.domain.store_position import NO_POSITION, StorePosition
from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.log_events.requests import VERSIONS_NOT_RECORDED, VERSIONS_RECORDED
from hopstep.logs import emit
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.directory.records import (
    NODES_PREFIX,
    VERSIONS_KEY,
    decode_node,
    decode_versions,
    encode_versions,
)

START_SECONDS = 5.0
"""Longest time after its start for which a node waits for others before it records a version that
has joined. Nodes that lost power together start within that time. As long as only the earlier
versions are recorded, a stream that none of them has begun is known to be of these."""

TURN_SECONDS = 0.1
"""Time by which each further relay waits longer: a write usually takes a tenth of it."""

CHECK_SECONDS = 1.0
"""Longest time between two checks."""

RETRY_SECONDS = 0.5

MAX_HASH = 2**64
"""Above all values of ``hash_name``."""


class VersionRecording:
    """Reads the record as it changes, and writes it when it is due."""

    def __init__(self, knowledge: ServingKnowledge, store: KeyValueStorePort) -> None:
        """Start without a record. Must be called inside the event loop.

        Args:
            knowledge: Instances, nodes, and the record.
            store: Keeps the record.
        """
        self._knowledge = knowledge
        self._store = store
        self._listed = knowledge.instances.versions
        self._recorded = knowledge.recorded_versions
        self._started_at = trio.current_time()
        self._has_started = False
        self._processes: dict[str, bytes] = {}
        self._earlier_processes: dict[str, bytes] = {}
        knowledge.records.subscribe_records(VERSIONS_KEY, self._apply)
        knowledge.records.subscribe_records(NODES_PREFIX, self._note_node)

    @property
    def has_read_store(self) -> bool:
        """Whether this node has read the store since its start."""
        return self._knowledge.contact.read_at >= self._started_at

    @property
    def has_followed_streams(self) -> bool:
        """Whether this node has followed the directory for as long as clients hold streams."""
        return trio.current_time() - self._started_at >= self._listed.retention_seconds

    async def run(self) -> None:
        """Write the record whenever it is due, until cancelled."""
        while True:
            self._note_start()
            if self._is_due():
                await trio.sleep(self._turn_seconds())
            if self._is_due():
                await self._write()
            with trio.move_on_after(CHECK_SECONDS):
                await self._knowledge.changed.wait()

    def _note_start(self) -> None:
        """Note the first reading of the store, once."""
        if self._has_started or not self.has_read_store:
            return
        self._has_started = True
        self._earlier_processes = dict(self._processes)
        position, now = self._knowledge.store_position, trio.current_time()
        self._recorded.start(position, now, self._listed.retention_seconds)

    def _apply(self, written: RecordWritten) -> None:
        """Replace the record.

        Raises:
            msgspec.DecodeError: Names the field that can't be read.
        """
        record = decode_versions(written.value) if written.value else None
        if record is not None:
            self._listed.note_stream_seconds(record.stream_seconds)
        self._recorded.apply(record)

    def _note_node(self, written: RecordWritten) -> None:
        """Note whether a node's earlier process has ended.

        Raises:
            msgspec.DecodeError: Names the field that can't be read.
        """
        name = written.key.removeprefix(NODES_PREFIX)
        earlier = self._processes.pop(name, None)
        process = decode_node(written.value).key if written.value else None
        if process is not None:
            self._processes[name] = process
        if self._has_started and earlier is not None and earlier != process:
            retention_seconds = self._listed.retention_seconds
            self._recorded.note_ended(written.version, trio.current_time(), retention_seconds)

    def _is_due(self) -> bool:
        """Return whether this node is to write the record, as far as it knows."""
        if not self._has_started or self._knowledge.relays.relay():
            return False
        if self._recorded.record is None:
            return bool(self._listed.services())
        wanted = self._wanted()
        if wanted == self._recorded.record:
            return False
        joined = [
            service
            for service, versions in wanted.versions.items()
            if versions.keys() - self._recorded.of(service)
        ]
        is_unserved = any(not self._is_served(service) for service in joined)
        return is_unserved or self._is_settled

    @property
    def _is_settled(self) -> bool:
        """Whether all nodes that may have lost power with this one are known to run."""
        if trio.current_time() - self._started_at >= START_SECONDS:
            return True
        heard = self._knowledge.relays.heard
        return not any(
            self._processes.get(name) == process and name not in heard
            for name, process in self._earlier_processes.items()
        )

    def _is_served(self, service: str) -> bool:
        """Return whether instances of recorded versions serve, and don't shut down."""
        recorded = self._recorded.of(service)
        return any(
            view.instance.software_version in recorded and not view.instance.draining
            for view in self._knowledge.table.of_service(service)
        )

    def _turn_seconds(self) -> float:
        """Return how long to wait for the relays before this one.

        Nodes that aren't registered yet don't know each other, and spread their writes.
        """
        relays = sorted(self._knowledge.relays.live_relays(), key=hash_name)
        turn = float(relays.index(self._knowledge.name))
        if not self._knowledge.registered_nodes.own_process:
            turn += hash_name(self._knowledge.name) / MAX_HASH
        return TURN_SECONDS * turn

    def _wanted(self) -> VersionsRecord:
        """Return the record as it should be."""
        record = self._recorded.record or VersionsRecord()
        services = sorted({*record.versions, *self._listed.services()})
        versions = {service: self._versions(service, record) for service in services}
        era = self._knowledge.store_position.era
        is_complete = self.has_followed_streams or self._recorded.is_complete(trio.current_time())
        return VersionsRecord(
            {service: kept for service, kept in versions.items() if kept},
            era if is_complete else min(record.era, era),
            _rounded_up(self._listed.retention_seconds, record.stream_seconds),
        )

    def _versions(self, service: str, record: VersionsRecord) -> dict[str, StorePosition]:
        """Return the versions at which streams of a service may have begun."""
        recorded = record.versions.get(service, {})
        kept = self._listed.recent(service, trio.current_time()) - {""}
        if not self.has_followed_streams:
            kept |= recorded.keys()
        return {
            version: recorded.get(version, self._joined_at(service, version))
            for version in sorted(kept)
        }

    def _joined_at(self, service: str, version: str) -> StorePosition:
        """Return a position before which no stream has begun at a version that isn't recorded."""
        may_have_begun = self._recorded.may_begin(service, version, trio.current_time())
        if may_have_begun or not self._is_served(service):
            return NO_POSITION
        return self._knowledge.store_position

    async def _write(self) -> None:
        """Write the record, unless another node has changed it meanwhile."""
        wanted = self._wanted()
        expected = self._knowledge.version_of(VERSIONS_KEY)
        try:
            await self._store.compare_and_swap(VERSIONS_KEY, expected, encode_versions(wanted))
        except StoreConflictError:
            # Another node has written it; its change comes with the directory's.
            await trio.sleep(TURN_SECONDS)
        except StoreError as error:
            emit(VERSIONS_NOT_RECORDED, code=error.code.value)
            await trio.sleep(RETRY_SECONDS)
        else:
            self._recorded.apply(wanted)
            versions = {service: list(kept) for service, kept in wanted.versions.items()}
            emit(VERSIONS_RECORDED, versions=versions, era=wanted.era)


def _rounded_up(seconds: float, step: float) -> float:
    """Return a time doubled until it covers another one, so that few writes are needed."""
    while step < seconds:
        step *= 2
    return min(step, MAX_RETENTION_SECONDS)
