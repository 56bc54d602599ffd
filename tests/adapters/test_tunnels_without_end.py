"""Bytes without end from gateways, nodes that ask for tunnels, and instances behind tunnels."""

import contextlib
import time
import unittest
from unittest import mock

import structlog.testing
import trio
import trio.testing

from hopstep.adapters import tunnel_client, tunnel_server
from hopstep.adapters.tunnel_client import SocketTunnel, TunnelClient
from hopstep.adapters.tunnel_codec import CHALLENGE_BYTES, CHUNK_HEADER, STOP
from hopstep.adapters.tunnel_streams import FrameReader
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.ports.tunnels import TunnelBrokenError, TunnelError
from tests.adapters.test_tunnels import GATEWAY, KEYS, NODE, TunnelWorld, address_of
from tests.platform.endless_peers import LONGEST_STEP_SECONDS, longest_step, traced_peak

BLOCK_BYTES = 64 * 1024
DEADLINE_SECONDS = 5.0
HANDSHAKE_SECONDS = 0.3
SAMPLE_BYTES = 20_000
HELD_BYTES = 512 * 1024
SHORT_CHUNK = CHUNK_HEADER.pack(1) + b"x"


async def send_without_end(stream, repeated, seconds=0.0):
    block = repeated if seconds else repeated * (BLOCK_BYTES // len(repeated) + 1)
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while True:
            await stream.send_all(block)
            await trio.sleep(seconds)


class GatewayBytesTest(unittest.TestCase):
    def read_tunnel(self, repeated, script, instruments=()):
        """Run a script with a tunnel whose gateway sends without end."""

        async def main():
            async with trio.open_nursery() as nursery:

                async def serve(stream):
                    await send_without_end(stream, repeated)

                listeners = await nursery.start(trio.serve_tcp, serve, 0)
                port = listeners[0].socket.getsockname()[1]
                with trio.fail_after(DEADLINE_SECONDS):
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    await script(SocketTunnel(stream, FrameReader(stream)))
                    await stream.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main, instruments=instruments)

    def test_a_gateway_that_announces_its_stop_without_end_breaks_its_tunnel(self):
        """Guards against announcements that are read until a request's deadline."""

        async def read(tunnel):
            with self.assertRaises(TunnelBrokenError):
                await tunnel.receive_some(10_000)

        def run(step):
            self.read_tunnel(CHUNK_HEADER.pack(STOP), read, [step])

        self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_short_chunks_without_end_do_not_stop_the_loop(self):
        """Guards against requests that wait while one gateway's chunks are read."""

        async def read(tunnel):
            size = 0
            while size < SAMPLE_BYTES:
                size += len(await tunnel.receive_some(10_000))

        def run(step):
            self.read_tunnel(SHORT_CHUNK, read, [step])

        self.assertLess(longest_step(run), LONGEST_STEP_SECONDS)

    def test_a_chunk_without_end_is_read_in_parts(self):
        """Guards against chunks that are held until they have come whole."""

        async def read(tunnel):
            for _ in range(100):
                self.assertLessEqual(len(await tunnel.receive_some(10_000)), 10_000)

        with traced_peak() as peak:
            self.read_tunnel(b"\xf0\xff\xff\xff", read)
            self.assertLess(peak(), HELD_BYTES)


class GatewayHandshakeTest(unittest.TestCase):
    def open(self, serve, instruments=()):
        """Fail to open a tunnel through a gateway; return the time that it took."""

        async def handle(stream):
            # The other end closes first.
            with contextlib.suppress(trio.BrokenResourceError):
                await serve(stream)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, handle, 0)
                gateway = Gateway(GATEWAY, address_of(listeners[0]), KEYS[GATEWAY])
                client = TunnelClient(NODE, KEYS[NODE])
                began_at = time.monotonic()
                with self.assertRaises(TunnelError) as raised:
                    await client.open(gateway, TunnelTarget("i1", "127.0.0.1:1"))
                self.assertIs(raised.exception.failure, TunnelFailure.UNAVAILABLE)
                seconds = time.monotonic() - began_at
                nursery.cancel_scope.cancel()
                return seconds

        return trio.run(main, instruments=instruments)

    def test_a_challenge_and_status_without_end_are_read_up_to_a_bound(self):
        """Guards against a gateway that takes the memory or the time of those that ask it."""

        async def serve(stream):
            await send_without_end(stream, b"\xff")

        with traced_peak() as peak:
            self.assertLess(self.open(serve), HANDSHAKE_SECONDS)
            self.assertLess(peak(), HELD_BYTES)
        self.assertLess(longest_step(lambda step: self.open(serve, [step])), LONGEST_STEP_SECONDS)

    def test_a_challenge_or_status_that_drips_ends_in_time(self):
        """Guards against requests that wait for a gateway that sends a byte now and then."""

        async def drip_challenge(stream):
            await send_without_end(stream, b"x", 0.2)

        async def drip_status(stream):
            await stream.send_all(bytes(CHALLENGE_BYTES) + b"\x03\xff")
            await send_without_end(stream, b"x", 0.05)

        for name, serve in (("challenge", drip_challenge), ("status", drip_status)):
            with (
                self.subTest(name),
                mock.patch.object(tunnel_client, "OPEN_SECONDS", HANDSHAKE_SECONDS),
            ):
                self.assertLess(self.open(serve), HANDSHAKE_SECONDS + 0.3)


class AskingNodeBytesTest(unittest.TestCase):
    def connect(self, send):
        """Return the reasons that are logged for a connection to the port for tunnels."""

        async def main():
            async with trio.open_nursery() as nursery:
                world = TunnelWorld()
                await world.start(nursery, trio.aclose_forcefully)
                host, _, port = world.gateway.address.rpartition(":")
                began_at = time.monotonic()
                with trio.fail_after(DEADLINE_SECONDS):
                    stream = await trio.open_tcp_stream(host, int(port))
                    await send(stream)
                self.assertLess(time.monotonic() - began_at, HANDSHAKE_SECONDS + 0.7)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(world.server.open_tunnels, 0)
                nursery.cancel_scope.cancel()

        with (
            structlog.testing.capture_logs() as lines,
            mock.patch.object(tunnel_server, "HANDSHAKE_SECONDS", HANDSHAKE_SECONDS),
        ):
            trio.run(main)
        return [line["reason"] for line in lines if line["event"] == "tunnel_rejected"]

    def test_a_request_for_a_tunnel_without_end_is_rejected(self):
        """Guards against strangers at the port for tunnels who send without end."""

        async def send(stream):
            await send_without_end(stream, b"\xff")

        self.assertEqual(self.connect(send), ["too long"])

    def test_a_request_for_a_tunnel_that_drips_is_rejected(self):
        """Guards against strangers who hold a tunnel's place by a byte now and then."""

        async def send(stream):
            await stream.send_all(b"\x03\xff")
            await send_without_end(stream, b"x", 0.05)

        self.assertEqual(self.connect(send), ["no request in time"])


class InstanceBytesTest(unittest.TestCase):
    def test_a_gateway_holds_little_of_an_answer_that_nobody_reads(self):
        """Guards against bytes of instances that collect at a gateway."""

        async def serve(stream):
            await send_without_end(stream, b"x")

        async def main():
            async with trio.open_nursery() as nursery:
                world = TunnelWorld()
                await world.start(nursery, serve)
                tunnel = await world.open()
                await trio.sleep(0.5)
                await tunnel.aclose()
                nursery.cancel_scope.cancel()

        with traced_peak() as peak:
            trio.run(main)
            self.assertLess(peak(), HELD_BYTES)
