"""Records of origins in the store: batches, outages, and clients that state any deadline."""

import unittest

import msgspec
import trio

from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.exchanges.streams.origin import StreamOrigin
from hopstep.domain.exchanges.streams.origin_records import OriginRecord
from hopstep.domain.store_position import NO_POSITION
from hopstep.exceptions import ErrorCode, StoreConflictError, StoreError
from hopstep.ports.serving_directory import RecordWritten
from hopstep.services.exchanges.streams.stored_origins import (
    LEASE_USE_SECONDS,
    MAX_BATCH,
    MAX_UNWRITTEN,
    WRITE_SPACING_SECONDS,
    StoredOrigins,
)
from hopstep.services.short_lease import MAX_LEASE_SECONDS

HISTORY = 10_000


class RecordingStore(InMemoryStore):
    """A store that records leases and writes, and fails on demand."""

    def __init__(self):
        super().__init__(SharedStore(HISTORY))
        self.leases = []
        self.writes = []
        self.failure = None

    async def grant_lease(self, time_to_live_seconds):
        self.leases.append(time_to_live_seconds)
        return await super().grant_lease(time_to_live_seconds)

    async def compare_and_swap(self, key, expected_version, value, lease=None):
        if self.failure is not None:
            raise self.failure
        self.writes.append((trio.current_time(), key, value))
        return await super().compare_and_swap(key, expected_version, value, lease)


def record(number, keep_seconds=10.0):
    now = trio.current_time()
    origin = StreamOrigin("llm", "v1", "i1@5")
    return OriginRecord(number.to_bytes(12, "big"), origin, now, now + keep_seconds)


class StoredOriginsTest(unittest.TestCase):
    def run_stored(self, script):
        async def main():
            store = RecordingStore()
            self.passed_on = []
            stored = StoredOrigins("n0", store, self.passed_on.extend)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stored.run)
                await script(store, stored)
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def keys(self, store):
        """Return the keys of the written records, in order."""
        read = [
            StoredOrigins.read(RecordWritten(key, value, NO_POSITION))
            for _at, key, value in store.writes
        ]
        return [int.from_bytes(each.key, "big") for batch in read for each in batch]

    def test_records_are_written_in_batches_under_few_leases(self):
        async def script(store, stored):
            for number in range(100):
                stored.put([record(number)])
                await trio.sleep(0.1)
            await trio.sleep(1.0)
            self.assertEqual(self.keys(store), list(range(100)))
            self.assertLessEqual(len(store.writes), 10.0 / WRITE_SPACING_SECONDS + 2)
            self.assertEqual(len({key for _at, key, _value in store.writes}), len(store.writes))
            self.assertLessEqual(len(store.leases), 3)

        self.run_stored(script)

    def test_a_client_that_states_any_deadline_does_not_keep_records_from_the_store(self):
        # The store refused the lease, so that no record was written any more.
        async def script(store, stored):
            stored.put([record(1, 1e9)])
            await trio.sleep(1.0)
            self.assertEqual(self.keys(store), [1])
            self.assertLessEqual(max(store.leases), MAX_LEASE_SECONDS)
            self.assertGreaterEqual(min(store.leases), LEASE_USE_SECONDS)

        self.run_stored(script)

    def test_records_of_an_outage_are_written_after_it_the_latest_ones(self):
        # With too many of them the newest were dropped in place of the oldest.
        async def script(store, stored):
            store.failure = StoreError(ErrorCode.STORE_UNAVAILABLE, "down")
            stored.put([record(0)])
            await trio.sleep(0.1)
            for number in range(1, MAX_UNWRITTEN + 100):
                stored.put([record(number)])
            await trio.sleep(1.0)
            store.failure = None
            await trio.sleep(2.0)
            keys = self.keys(store)
            self.assertEqual(keys[-1], MAX_UNWRITTEN + 99)
            self.assertLessEqual(len(keys), MAX_BATCH)

        self.run_stored(script)

    def test_records_that_can_not_be_written_are_passed_on_once(self):
        async def script(store, stored):
            store.failure = StoreError(ErrorCode.STORE_UNAVAILABLE, "down")
            stored.put([record(1)], may_pass_on=True)
            stored.put([record(2)], may_pass_on=False)
            await trio.sleep(2.0)
            self.assertEqual([each.key for each in self.passed_on], [record(1).key])
            store.failure = None
            await trio.sleep(1.0)
            self.assertEqual(self.keys(store), [1, 2])

        self.run_stored(script)

    def test_a_lease_that_has_ended_is_replaced(self):
        async def script(store, stored):
            stored.put([record(1)])
            await trio.sleep(0.5)
            store.failure = StoreConflictError(ErrorCode.STORE_CONFLICT, "no such lease")
            stored.put([record(2)])
            await trio.sleep(0.1)
            store.failure = None
            await trio.sleep(1.0)
            self.assertEqual(self.keys(store), [1, 2])
            self.assertEqual(len(store.leases), 2)

        self.run_stored(script)

    def test_records_whose_clients_have_given_up_are_not_written(self):
        async def script(store, stored):
            store.failure = StoreError(ErrorCode.STORE_UNAVAILABLE, "down")
            stored.put([record(1, 0.5)])
            await trio.sleep(1.0)
            store.failure = None
            await trio.sleep(2.0)
            self.assertEqual(store.writes, [])

        self.run_stored(script)

    def test_a_key_that_has_ended_holds_nothing_and_others_are_rejected(self):
        async def script(_store, _stored):
            self.assertEqual(StoredOrigins.read(RecordWritten("k", b"", NO_POSITION)), [])
            with self.assertRaises(msgspec.DecodeError):
                StoredOrigins.read(RecordWritten("k", b"[[1]]", NO_POSITION))
            await trio.lowlevel.checkpoint()

        self.run_stored(script)
