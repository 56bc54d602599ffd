"""Connections that stay unresponsive are replaced by new ones, over real sockets."""

import unittest

import hypercorn
import hypercorn.trio
import trio

from emulator.exchange_platform.store import create_store_app
from emulator.platform.shared_store import SharedStore
from emulator.soak.proxies import TcpProxy
from hopstep.exceptions import StoreError
from hopstep.platform.http_client import HttpCall, HttpClient, SendTrace
from hopstep.platform.store import PlatformStore

TIMEOUT_SECONDS = 5.0
"""Bounds failures only: a call is answered at once or never; each call waits a fifth of it."""


class SilentConnectionsTest(unittest.TestCase):
    def run_client(self, script):
        """Run ``script(client, proxy)`` with a store behind a proxy."""

        async def main():
            async with trio.open_nursery() as nursery:
                config = hypercorn.Config()
                config.bind = ["127.0.0.1:0"]
                config.loglevel = "CRITICAL"
                serve = hypercorn.trio.serve
                bound = await nursery.start(serve, create_store_app(SharedStore()), config)
                proxy = TcpProxy(bound[0].removeprefix("http://"))
                await nursery.start(proxy.run)
                await script(HttpClient(), proxy)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def ask(self, client, proxy):
        """Make one call; return whether it was answered in time."""
        call = HttpCall(proxy.address, b"GET", b"/kv-range?pathPrefix=", ((b"host", b"h"),), b"")
        with trio.move_on_after(TIMEOUT_SECONDS / 5):
            async with client.open(call, SendTrace()) as response:
                await response.aread()
                return response.status == 200
        return False

    async def ask_at_once(self, client, proxy, count):
        """Make concurrent calls, each on its own connection; return how many were answered."""
        answered = []

        async def ask():
            answered.append(await self.ask(client, proxy))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(ask)
        return sum(answered)

    def test_idle_connections_that_may_be_silent_are_left(self):
        async def script(client, proxy):
            self.assertEqual(await self.ask_at_once(client, proxy, 3), 3)
            self.assertEqual(proxy.block_established(), 3)
            self.assertFalse(await self.ask(client, proxy))
            await client.drop_idle(proxy.address)
            self.assertEqual(await self.ask_at_once(client, proxy, 3), 3)

        self.run_client(script)

    def test_calls_under_way_go_on_when_idle_connections_are_dropped(self):
        async def script(client, proxy):
            self.assertEqual(await self.ask_at_once(client, proxy, 2), 2)
            proxy.delay_seconds = 0.2
            async with trio.open_nursery() as nursery:
                answers = []

                async def ask():
                    answers.append(await self.ask(client, proxy))

                nursery.start_soon(ask)
                await trio.sleep(0.1)
                await client.drop_idle(proxy.address)
            self.assertEqual(answers, [True])

        self.run_client(script)

    def test_the_store_answers_again_after_its_connections_were_left(self):
        for back_only in (False, True):
            with self.subTest(back_only=back_only):

                async def script(client, proxy, back_only=back_only):
                    store = PlatformStore(proxy.address, client, answer_seconds=0.3)
                    await store.listing("")
                    proxy.block_established(back_only=back_only)
                    with self.assertRaises(StoreError):
                        await store.listing("")
                    await store.reconnect()
                    await store.listing("")

                self.run_client(script)
