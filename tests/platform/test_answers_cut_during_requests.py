"""A connection that breaks while a request is written never makes an answer look whole."""

import functools
import socket
import struct
import unittest

import httpcore
import httpx
import trio

from hopstep.adapters.kept_connections import make_client
from hopstep.platform.http_call import HttpCall, SendTrace, TunnelRoute
from hopstep.platform.http_client import HttpClient
from tests.adapters.test_tunnels import TunnelWorld

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
DEADLINE_SECONDS = 5.0
"""Bounds failures only."""

SIZES = (200_000, 8_000_000)
WAITS = (0.0, 0.05)
PARTS_READ = (0.0, 0.5)
TUNNEL_PLAYS = (15, 2)
"""Plays for each size: whether the gateway's write or its read sees the reset first varies."""

HEAD = b"HTTP/1.1 200 OK\r\n%s\r\n"
PART = b"part of a body"
TORN_HEADS = (HEAD % b"", HEAD % b"Connection: close\r\n")
WHOLE = HEAD % (b"Content-Length: %d\r\n" % len(PART)) + PART
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpx.TransportError)


def address_of(listener):
    return f"127.0.0.1:{listener.socket.getsockname()[1]}"


class TornServer:
    """Answers before it has read a request, waits, and resets the connection."""

    def __init__(self, answer, size, wait_seconds, part_read):
        self.answer, self.wait_seconds = answer, wait_seconds
        self.read_bytes = int(size * part_read)

    async def handle(self, stream):
        unread = 1 + self.read_bytes
        while unread > 0:
            unread -= len(await stream.receive_some(min(unread, 65_536)))
        await stream.send_all(self.answer)
        await trio.sleep(self.wait_seconds)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()


class CutRequestsTest(unittest.TestCase):
    def call(self, server, size, ask):
        """Return the body that a way to ask gets from a server; None if it breaks off."""

        async def main():
            with trio.fail_after(DEADLINE_SECONDS):
                async with trio.open_nursery() as nursery:
                    serve = functools.partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
                    listeners = await nursery.start(serve)
                    try:
                        received.append(await ask(address_of(listeners[0]), b"x" * size))
                    except BROKEN:
                        received.append(None)
                    nursery.cancel_scope.cancel()

        received = []
        trio.run(main)
        return received[0]

    async def ask_instance(self, address, body, client=None, route=None):
        client = client or HttpClient()
        call = HttpCall(address, b"POST", b"/", ((b"host", b"h"),), body, route=route)
        async with client.open(call, SendTrace()) as response:
            return b"".join([part async for part in response.stream])

    async def ask_by_library(self, address, body):
        async with make_client() as client:
            response = await client.post(f"http://{address}/", content=body)
            return response.content

    def check(self, ask):
        for head in TORN_HEADS:
            for size in SIZES:
                for wait_seconds in WAITS:
                    for part_read in PARTS_READ:
                        case = (head, size, wait_seconds, part_read)
                        with self.subTest(case=case):
                            server = TornServer(head + PART, size, wait_seconds, part_read)
                            self.assertIsNone(self.call(server, size, ask))

    def test_an_answer_without_a_length_that_is_reset_during_its_request_is_not_whole(self):
        # The write took the reset's error, and the read an end that looked orderly.
        self.check(self.ask_instance)

    def test_the_same_where_calls_are_made_by_the_library(self):
        # The library reads on after a failed write, and takes the end for that of the answer.
        self.check(self.ask_by_library)

    def test_an_answer_with_a_length_is_whole_although_its_request_was_reset(self):
        # An answer that says where it ends must not be lost with the rest of the request.
        for ask in (self.ask_instance, self.ask_by_library):
            with self.subTest(ask=ask):
                server = TornServer(WHOLE, SIZES[0], 0.05, 0.0)
                self.assertEqual(self.call(server, SIZES[0], ask), PART)

    def test_the_same_through_a_tunnel(self):
        # The gateway took the reset's error with a write, and marked an orderly end.
        for size, plays in zip(SIZES, TUNNEL_PLAYS, strict=True):
            for part_read in PARTS_READ:
                for number in range(plays):
                    with self.subTest(size=size, part_read=part_read, number=number):
                        self.play_tunnel(size, part_read)

    def play_tunnel(self, size, part_read):
        async def main():
            with trio.fail_after(DEADLINE_SECONDS):
                async with trio.open_nursery() as nursery:
                    world = TunnelWorld()
                    await world.start(nursery, server.handle)
                    client = HttpClient(tunnels=world.client)
                    route = TunnelRoute(world.gateway, world.target)
                    with self.assertRaises(BROKEN):
                        await self.ask_instance(world.target.address, body, client, route)
                    nursery.cancel_scope.cancel()

        server, body = TornServer(TORN_HEADS[0] + PART, size, 0.0, part_read), b"x" * size
        trio.run(main)
