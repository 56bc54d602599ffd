"""Contract tests of the platform's store client, with the emulated store."""

import contextlib
import unittest

import hypercorn
import hypercorn.trio
import trio

from emulator.exchange_platform.store import create_store_app
from emulator.platform.shared_store import SharedStore
from hopstep.adapters import key_value_store_wire as wire
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import ErrorCode, StoreError, StoreHistoryLostError
from hopstep.platform.http_client import HttpClient
from hopstep.platform.store import PlatformStore
from tests.contract.store_contract import CLIENT_TIMEOUT_SECONDS, StoreContract


@contextlib.asynccontextmanager
async def serve_store(shared):
    config = hypercorn.Config()
    config.bind = ["127.0.0.1:0"]
    config.loglevel = "CRITICAL"
    async with trio.open_nursery() as nursery:

        async def serve(task_status):
            app = create_store_app(shared)
            await hypercorn.trio.serve(app, config, task_status=task_status, mode="asgi")

        urls = await nursery.start(serve)
        client = HttpClient()
        yield PlatformStore(urls[0].removeprefix("http://"), client, CLIENT_TIMEOUT_SECONDS)
        await client.aclose()
        nursery.cancel_scope.cancel()


class PlatformStoreTest(StoreContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def platform(self):
        shared = SharedStore()

        async def order(faults):
            shared.order_faults(faults)

        async with serve_store(shared) as store:
            yield store, order

    def run_async(self, test):
        trio.run(test)

    def test_a_listing_names_the_revision_from_which_a_watch_goes_on(self):
        async def test(store, _order):
            await store.compare_and_swap("a", ABSENT, b"1")
            version = await store.compare_and_swap("b", ABSENT, b"2")
            listing = await store.listing("")
            self.assertEqual(listing.position, version)
            self.assertEqual([value.key for value in listing.values], ["a", "b"])

        self.check(test)

    def test_a_listing_goes_through_all_pages(self):
        shared = SharedStore(history_length=2_000)
        names = [f"k{number:04}" for number in range(1_200)]

        async def test():
            async with serve_store(shared) as store:
                for name in names:
                    await shared.execute(_write(name))
                listing = await store.listing("k")
                self.assertEqual([value.key for value in listing.values], names)

        self.run_async(test)

    def test_a_forgotten_history_is_told(self):
        shared = SharedStore()

        async def test():
            async with serve_store(shared) as store:
                await store.compare_and_swap("a", ABSENT, b"1")
                shared.model.clear_history()
                with self.assertRaises(StoreHistoryLostError) as caught:
                    await store.watch("", ABSENT, 0.0)
                self.assertEqual(caught.exception.code, ErrorCode.STORE_HISTORY_LOST)

        self.run_async(test)

    def test_a_lease_that_is_ended_takes_its_keys_along(self):
        async def test(store, _order):
            lease = await store.grant_lease(60.0)
            await store.compare_and_swap("a", ABSENT, b"1", lease)
            await store.end_lease(lease)
            self.assertIsNone(await store.get("a"))
            with self.assertRaises(StoreError):
                await store.keep_alive(lease)

        self.check(test)


def _write(name):
    """Return the operation that creates a key."""
    return wire.CompareAndSwap(name, ABSENT.revision, b"1")
