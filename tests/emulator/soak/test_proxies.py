"""Proxies: which data open, silent, one-way and resetting links forward."""

import contextlib
import random
import unittest

import trio

from emulator.soak.proxies import LinkState, TcpProxy, UdpProxy

WAIT_SECONDS = 0.2


class TcpProxyTest(unittest.TestCase):
    def run_link(self, script):
        """Run ``script(proxy, open stream)`` with a proxied server that echoes its input."""

        async def echo(stream):
            with contextlib.suppress(trio.BrokenResourceError):
                async for data in stream:
                    self.served += data
                    await stream.send_all(data)

        async def main():
            self.served = b""
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, echo, 0)
                port = listeners[0].socket.getsockname()[1]
                proxy = TcpProxy(f"127.0.0.1:{port}")
                await nursery.start(proxy.run)
                host, _, port = proxy.address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                await script(proxy, stream)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def received(self, stream):
        """Return the data that arrives within ``WAIT_SECONDS``."""
        with trio.move_on_after(WAIT_SECONDS):
            return bytes(await stream.receive_some())
        return b""

    def test_an_open_link_passes_both_ways(self):
        async def script(_proxy, stream):
            await stream.send_all(b"one")
            self.assertEqual(await self.received(stream), b"one")

        self.run_link(script)

    def test_established_connections_fall_silent_and_new_ones_work(self):
        for back_only, served in ((False, b"zero"), (True, b"zeroone")):
            with self.subTest(back_only=back_only):

                async def script(proxy, stream, back_only=back_only, served=served):
                    await stream.send_all(b"zero")
                    self.assertEqual(await self.received(stream), b"zero")
                    self.assertEqual(proxy.block_established(back_only=back_only), 1)
                    await stream.send_all(b"one")
                    self.assertEqual(await self.received(stream), b"")
                    self.assertEqual(self.served, served)
                    host, _, port = proxy.address.rpartition(":")
                    async with await trio.open_tcp_stream(host, int(port)) as another:
                        await another.send_all(b"two")
                        self.assertEqual(await self.received(another), b"two")

                self.run_link(script)

    def test_a_silent_link_holds_everything_and_delivers_it_late(self):
        async def script(proxy, stream):
            proxy.set_state(LinkState.SILENT)
            await stream.send_all(b"one")
            self.assertEqual(await self.received(stream), b"")
            self.assertEqual(self.served, b"")
            proxy.set_state(LinkState.OPEN)
            self.assertEqual(await self.received(stream), b"one")

        self.run_link(script)

    def test_a_one_way_link_holds_answers_only(self):
        async def script(proxy, stream):
            proxy.set_state(LinkState.ONE_WAY)
            await stream.send_all(b"one")
            self.assertEqual(await self.received(stream), b"")
            self.assertEqual(self.served, b"one")
            proxy.set_state(LinkState.OPEN)
            self.assertEqual(await self.received(stream), b"one")

        self.run_link(script)

    def test_a_resetting_link_ends_open_and_new_connections(self):
        async def script(proxy, stream):
            await stream.send_all(b"one")
            self.assertEqual(await self.received(stream), b"one")
            proxy.set_state(LinkState.RESET)
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some()
            host, _, port = proxy.address.rpartition(":")
            again = await trio.open_tcp_stream(host, int(port))
            with self.assertRaises(trio.BrokenResourceError):
                await again.receive_some()

        self.run_link(script)

    def test_a_closed_proxy_ends_its_connections_and_frees_its_port(self):
        async def script(proxy, stream):
            await stream.send_all(b"one")
            self.assertEqual(await self.received(stream), b"one")
            proxy.close()
            self.assertEqual(await self.received(stream), b"")
            host, _, port = proxy.address.rpartition(":")
            with self.assertRaises(OSError):
                await trio.open_tcp_stream(host, int(port))
            async with trio.open_nursery() as nursery:
                another = TcpProxy(proxy.target)
                self.assertEqual(await nursery.start(another.run, int(port)), proxy.address)
                nursery.cancel_scope.cancel()

        self.run_link(script)


class UdpProxyTest(unittest.TestCase):
    def test_datagrams_pass_are_lost_and_are_cut(self):
        async def main():
            target = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            sender = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await target.bind(("127.0.0.1", 0))
            proxy = UdpProxy(f"127.0.0.1:{target.getsockname()[1]}", random.Random(1))
            async with trio.open_nursery() as nursery:
                await nursery.start(proxy.run)
                host, _, port = proxy.address.rpartition(":")
                for cut, loss, expected in (
                    (False, 0.0, b"a"),
                    (True, 0.0, b""),
                    (False, 1.0, b""),
                ):
                    proxy.cut, proxy.loss = cut, loss
                    await sender.sendto(b"a", (host, int(port)))
                    arrived = b""
                    with trio.move_on_after(WAIT_SECONDS):
                        arrived, _ = await target.recvfrom(100)
                    self.assertEqual(arrived, expected)
                nursery.cancel_scope.cancel()

        trio.run(main)
