"""Contract tests of the key-value store's port, for every adapter and stand-in."""

import contextlib

import trio

from emulator.platform.faults import FaultOrder
from hopstep.domain.store_position import ABSENT, UNSPECIFIED_ERA, StoreLease, StorePosition
from hopstep.exceptions import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from hopstep.ports.key_value_store import StoredValue

CLIENT_TIMEOUT_SECONDS = 0.3
BRIEF_LEASE_SECONDS = 1.0
"""Longer than one call on a busy machine: the lease must not expire before the next call."""

UNAVAILABLE = (StoreError, ErrorCode.STORE_UNAVAILABLE)
LIMITED = (StoreError, ErrorCode.STORE_RATE_LIMITED)
UNKNOWN = (StoreOutcomeUnknownError, ErrorCode.STORE_OUTCOME_UNKNOWN)
STALL = FaultOrder(slow_seconds=20.0)

# Name, fault, error of a read, error of a write, whether the write took effect.
FAULTS = (
    ("outage", FaultOrder(outage=True), UNAVAILABLE, UNAVAILABLE, False),
    ("stall before the effect", STALL, UNAVAILABLE, UNKNOWN, False),
    ("lost answer", FaultOrder(lost_answers=1), None, UNKNOWN, True),
    ("lost request", FaultOrder(lost_requests=1), None, UNKNOWN, False),
    ("slow", FaultOrder(slow_seconds=0.01), None, None, True),
)
CLEARED = FaultOrder(
    outage=False, requests_per_second=0, slow_seconds=0, lost_answers=0, lost_requests=0
)
NO_LEASE = StoreLease("none", UNSPECIFIED_ERA)


def _next(version):
    """Return a version later than the given one."""
    return StorePosition(version.era, version.revision + 1)


class StoreContract:
    """Mixin for ``unittest.TestCase``; ``platform()`` yields the store and a fault injector."""

    @contextlib.asynccontextmanager
    async def platform(self):
        raise NotImplementedError
        yield

    def run_async(self, test):
        raise NotImplementedError

    def check(self, test):
        async def body():
            async with self.platform() as (store, order):
                await test(store, order)

        self.run_async(body)

    def test_versions_are_one_rising_revision(self):
        async def test(store, _order):
            self.assertIsNone(await store.get("a"))
            first = await store.compare_and_swap("a", ABSENT, b"\x00\xff")
            second = await store.compare_and_swap("b", ABSENT, b"2")
            third = await store.compare_and_swap("a", first, b"3")
            self.assertTrue(ABSENT < first < second < third)
            self.assertEqual(await store.get("a"), StoredValue("a", b"3", third))

        self.check(test)

    def test_conflicts_write_nothing(self):
        async def test(store, _order):
            version = await store.compare_and_swap("a", ABSENT, b"1")
            for name, write in (
                ("create", lambda: store.compare_and_swap("a", ABSENT, b"x")),
                ("replace", lambda: store.compare_and_swap("a", _next(version), b"x")),
                ("replace absent", lambda: store.compare_and_swap("b", version, b"x")),
                ("delete", lambda: store.delete("a", _next(version))),
                ("expired lease", lambda: store.compare_and_swap("c", ABSENT, b"x", NO_LEASE)),
                ("renew", lambda: store.keep_alive(NO_LEASE)),
            ):
                with self.subTest(name), self.assertRaises(StoreConflictError) as caught:
                    await write()
                self.assertEqual(caught.exception.code, ErrorCode.STORE_CONFLICT)
            self.assertEqual(await store.list(""), [StoredValue("a", b"1", version)])

        self.check(test)

    def test_lists_by_prefix_in_pages(self):
        async def test(store, _order):
            for key in ("p/c", "p/a", "q/a", "p/b"):
                await store.compare_and_swap(key, ABSENT, b"v")
            first = await store.list("p/", limit=2)
            second = await store.list("p/", after_key=first[-1].key, limit=2)
            self.assertEqual([value.key for value in first], ["p/a", "p/b"])
            self.assertEqual([value.key for value in second], ["p/c"])

        self.check(test)

    def test_watch_shows_changes_and_deletions_below_its_prefix(self):
        async def test(store, _order):
            start = await store.compare_and_swap("p/a", ABSENT, b"1")
            await store.compare_and_swap("q/a", ABSENT, b"1")
            second = await store.compare_and_swap("p/a", start, b"2")
            await store.delete("p/a", second)
            batch = await store.watch("p/", start, 0.0)
            self.assertEqual([value.value for value in batch.values], [b"2", b""])
            self.assertEqual(batch.position, batch.values[-1].version)
            self.assertEqual((await store.watch("p/", batch.position, 0.05)).values, ())

        self.check(test)

    def test_watch_wakes_for_a_change(self):
        async def test(store, _order):
            async def watch(task_status):
                task_status.started()
                seen.append(await store.watch("a", ABSENT, 30.0))

            seen = []
            async with trio.open_nursery() as nursery:
                await nursery.start(watch)
                await store.compare_and_swap("a", ABSENT, b"1")
            self.assertEqual([value.value for value in seen[0].values], [b"1"])

        self.check(test)

    def test_keys_vanish_with_their_lease(self):
        async def test(store, order):
            long = await store.grant_lease(3600.0)
            brief = await store.grant_lease(BRIEF_LEASE_SECONDS)
            version = await store.compare_and_swap("brief", ABSENT, b"1", brief)
            await store.compare_and_swap("long", ABSENT, b"1", long)
            await store.keep_alive(long)
            await store.compare_and_swap("kept", ABSENT, b"1", long)
            await store.compare_and_swap("unbound", ABSENT, b"1", long)
            unbound = (await store.get("unbound")).version
            await store.compare_and_swap("unbound", unbound, b"2")
            batch = await store.watch("brief", version, 30.0)
            self.assertEqual([value.value for value in batch.values], [b""])
            self.assertEqual(len(await store.list("")), 3)
            await order(FaultOrder(lapse_leases=True))
            self.assertEqual([value.key for value in await store.list("")], ["unbound"])

        self.check(test)

    def test_faults(self):
        for name, fault, read_error, write_error, took_effect in FAULTS:
            with self.subTest(name):
                self.check_fault(fault, read_error, write_error, took_effect)

    def check_fault(self, fault, read_error, write_error, took_effect):
        async def test(store, order):
            await order(fault)
            await self.check_call(lambda: store.get("a"), read_error)
            await self.check_call(lambda: store.list(""), read_error)
            await self.check_call(lambda: store.compare_and_swap("a", ABSENT, b"1"), write_error)
            await order(CLEARED)
            self.assertEqual(await store.get("a") is not None, took_effect)

        self.check(test)

    async def check_call(self, call, expected):
        if expected is None:
            await call()
            return
        with self.assertRaises(StoreError) as caught:
            await call()
        self.assertEqual((type(caught.exception), caught.exception.code), expected)

    def test_the_rate_limit_refuses_beyond_its_burst(self):
        async def test(store, order):
            await order(FaultOrder(requests_per_second=1e-6))
            await store.compare_and_swap("a", ABSENT, b"1")
            await self.check_call(lambda: store.get("a"), LIMITED)
            await self.check_call(lambda: store.compare_and_swap("b", ABSENT, b"1"), LIMITED)
            await order(CLEARED)
            self.assertEqual([value.key for value in await store.list("")], ["a"])

        self.check(test)

    def test_stale_reads_after_an_outage_come_from_before_it(self):
        async def test(store, order):
            version = await store.compare_and_swap("a", ABSENT, b"old")
            await order(FaultOrder(outage=True))
            await order(FaultOrder(outage=False, stale_reads=2))
            newest = await store.compare_and_swap("a", version, b"new")
            self.assertEqual((await store.get("a")).value, b"old")
            self.assertEqual((await store.list("a"))[0].value, b"old")
            self.assertEqual(await store.get("a"), StoredValue("a", b"new", newest))

        self.check(test)

    def test_a_gappy_watch_skips_changes_but_not_revisions(self):
        async def test(store, order):
            await order(FaultOrder(dropped_changes=1))
            await store.compare_and_swap("a", ABSENT, b"hidden")
            version = await store.compare_and_swap("b", ABSENT, b"shown")
            batch = await store.watch("", ABSENT, 0.0)
            self.assertEqual(batch.values, (StoredValue("b", b"shown", version),))
            self.assertEqual(batch.position, version)

        self.check(test)
