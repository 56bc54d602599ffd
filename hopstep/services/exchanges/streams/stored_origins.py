"""Records of origins in the store, so that they outlast all nodes.

Few nodes write, each for many others, in batches: each write wakes every node that watches the
store. The keys are bound to short leases and end by themselves.
"""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import msgspec
import trio

from hopstep.decoding import decode_json
from hopstep.domain.exchanges.streams.origin_records import OriginRecord
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import StoreConflictError, StoreError
from hopstep.log_events.requests import ORIGINS_NOT_WRITTEN
from hopstep.logs import emit
from hopstep.ports.key_value_store import KeyValueStorePort
from hopstep.ports.origin_messages import ReportedOrigin
from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.directory.records import STREAMS_PREFIX, require_bounded
from hopstep.services.exchanges.streams.origin_messages import read_record, report_record
from hopstep.services.short_lease import ShortLease

WRITE_SPACING_SECONDS = 0.3
"""Shortest time between two writes of all nodes together, on average."""

RETRY_SECONDS = 0.5

LEASE_USE_SECONDS = 10.0
"""Time for which a lease is used for further keys."""

MAX_BATCH = 512
"""Records in one write: some 40 kB."""

MAX_UNWRITTEN = 4_096
"""Records that wait to be written; the oldest ones are dropped."""

WRITER_TOKEN_BYTES = 4


class UnwrittenOrigin(msgspec.Struct):
    """A record that waits to be written.

    Attributes:
        record: The record.
        may_pass_on: Whether it is passed on to other nodes when it can't be written.
    """

    record: OriginRecord
    may_pass_on: bool


class StoredOrigins:
    """Writes records to the store, and reads those that any node has written.

    Attributes:
        writers: Number of nodes that write records.
    """

    def __init__(
        self,
        name: str,
        store: KeyValueStorePort,
        pass_on: Callable[[Sequence[OriginRecord]], None],
    ) -> None:
        """Start without records. Must be called inside the event loop.

        Args:
            name: Name of this node.
            store: The store.
            pass_on: Called once with each record that couldn't be written and may be passed on.
        """
        self._pass_on = pass_on
        self._prefix = f"{STREAMS_PREFIX}{name}/{secrets.token_hex(WRITER_TOKEN_BYTES)}/"
        self._store = store
        self._unwritten: deque[UnwrittenOrigin] = deque(maxlen=MAX_UNWRITTEN)
        self._filled = trio.Event()
        self._writes = 0
        self._lease = ShortLease(store, LEASE_USE_SECONDS)
        self.writers = 1

    def put(self, records: Iterable[OriginRecord], *, may_pass_on: bool = False) -> None:
        """Write records with the next batch."""
        self._unwritten.extend(UnwrittenOrigin(record, may_pass_on) for record in records)
        if self._unwritten:
            self._filled.set()

    @staticmethod
    def read(record: RecordWritten) -> list[OriginRecord]:
        """Return the records of a key; none when the key has ended.

        Their ages count from now: they are kept a little longer than their clients hold on.

        Raises:
            msgspec.DecodeError: Names the field that can't be read.
        """
        if not record.value:
            return []
        require_bounded(record.value)
        now = trio.current_time()
        reported = decode_json(record.value, tuple[ReportedOrigin, ...])
        return [read_record(each, now) for each in reported]

    async def run(self) -> None:
        """Write records until cancelled."""
        while True:
            await self._filled.wait()
            batch = self._take_batch()
            try:
                if batch:
                    await self._write(batch)
            except StoreError as error:
                self._note_failure(error, len(batch))
                self._pass_batch_on(batch)
                self._unwritten = deque((*batch, *self._unwritten), MAX_UNWRITTEN)
                await trio.sleep(RETRY_SECONDS)
                continue
            if not self._unwritten:
                self._filled = trio.Event()
            await trio.sleep(WRITE_SPACING_SECONDS * self.writers)

    def _take_batch(self) -> list[UnwrittenOrigin]:
        """Remove and return the latest records that clients may still resume."""
        now = trio.current_time()
        live = [unwritten for unwritten in self._unwritten if now < unwritten.record.keep_until]
        self._unwritten.clear()
        return live[-MAX_BATCH:]

    async def _write(self, batch: list[UnwrittenOrigin]) -> None:
        """Write a batch under a key of its own."""
        now = trio.current_time()
        records = [unwritten.record for unwritten in batch]
        keep_seconds = max(record.keep_until for record in records) - now
        lease = await self._lease.current(keep_seconds)
        self._writes += 1
        value = msgspec.json.encode(tuple(report_record(record, now) for record in records))
        await self._store.compare_and_swap(f"{self._prefix}{self._writes}", ABSENT, value, lease)

    def _pass_batch_on(self, batch: list[UnwrittenOrigin]) -> None:
        """Pass on the records of a batch that couldn't be written, each of them once."""
        records = [unwritten.record for unwritten in batch if unwritten.may_pass_on]
        for unwritten in batch:
            unwritten.may_pass_on = False
        self._pass_on(records)

    def _note_failure(self, error: StoreError, records: int) -> None:
        """Log a failed write, and use another lease for the next one if this one has ended."""
        if isinstance(error, StoreConflictError):
            self._lease.forget()
        emit(ORIGINS_NOT_WRITTEN, records=records, code=error.code.value)
