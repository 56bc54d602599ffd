"""Connections to instances through another node, over real sockets."""

import functools
import re
import socket
import struct
import unittest

import msgspec
import trio

from hopstep.adapters.tunnel_client import TunnelClient
from hopstep.adapters.tunnel_codec import (
    CHALLENGE_BYTES,
    CHUNK_HEADER,
    END,
    STOP,
    TunnelFrameError,
    decode_status,
    encode_open,
    encode_status,
)
from hopstep.adapters.tunnel_server import TunnelServer
from hopstep.adapters.tunnel_streams import FrameReader
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.reachability.gateways import Gateway
from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget
from hopstep.domain.stop_schedule import StopSchedule
from hopstep.exceptions import Execution
from hopstep.platform.http_client import HttpClient
from hopstep.platform.instances import HttpInstances
from hopstep.ports.instance_calls import InstanceCall, InstanceCallError
from hopstep.ports.tunnels import TunnelBrokenError, TunnelError, TunnelGate
from hopstep.services.lifecycle import Lifecycle
from tests.platform.test_instances import COMPLETE, HEAD, RawServer, request

NODE, GATEWAY = "node", "gateway"
KEYS = {NODE: b"key of node", GATEWAY: b"key of gateway"}
LINGER = struct.pack("ii", 1, 0)
DEADLINE_SECONDS = 5.0
"""Bounds failures only."""


class Configured:
    current = object()


class OpenGate(TunnelGate):
    """Opens all tunnels, or none."""

    def __init__(self):
        self.failure = None
        self.request_failure = None

    def check(self, sender, target):
        return self.failure

    def check_request(self, target):
        return self.request_failure

    async def diagnose(self, target, *, refused):
        await trio.lowlevel.checkpoint()
        return TunnelFailure.INSTANCE_REFUSED if refused else TunnelFailure.INSTANCE_SILENT


class TunnelWorld:
    """A gateway in front of one instance."""

    def __init__(self):
        self.gate = OpenGate()
        self.lifecycle = Lifecycle(Configured(), StopSchedule(0.1, 5.0))
        self.gateway_scope = trio.CancelScope()
        self.server = TunnelServer(
            GATEWAY,
            KEYS[GATEWAY],
            lambda: {name: NodeRecord("", key=key) for name, key in KEYS.items()},
            self.gate,
            self.lifecycle,
        )
        self.client = TunnelClient(NODE, KEYS[NODE])

    async def start(self, nursery, handle):
        serve = functools.partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        self.target = TunnelTarget("i1", address_of(listeners[0]))
        with socket.create_server(("127.0.0.1", 0)) as probed:
            port = probed.getsockname()[1]
        self.gateway = Gateway(GATEWAY, f"127.0.0.1:{port}", KEYS[GATEWAY])
        nursery.start_soon(self.run_gateway)
        await trio.sleep(0.05)

    async def run_gateway(self):
        with self.gateway_scope:
            await self.server.run(self.gateway.address)

    @staticmethod
    def client_stream(tunnel):
        """Return the connection of a tunnel, on which bytes are sent as the rest of a request."""
        return tunnel._stream

    def open(self, **changes):
        gateway = msgspec.structs.replace(self.gateway, **changes)
        return self.client.open(gateway, self.target)


def address_of(listener):
    return f"127.0.0.1:{listener.socket.getsockname()[1]}"


async def read_all(tunnel):
    received = b""
    while data := await tunnel.receive_some(10_000):
        received += data
    return received


class TunnelsTest(unittest.TestCase):
    def run_world(self, handle, script):
        async def main():
            with trio.fail_after(DEADLINE_SECONDS):
                async with trio.open_nursery() as nursery:
                    world = TunnelWorld()
                    await world.start(nursery, handle)
                    await script(world)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_bytes_pass_in_both_directions_up_to_an_orderly_end(self):
        body = bytes(range(256)) * 1_000

        async def handle(stream):
            async with stream:
                await stream.receive_some()
                await stream.send_all(body)

        async def script(world):
            tunnel = await world.open()
            await tunnel.send_all(b"request")
            self.assertEqual(await read_all(tunnel), body)

        self.run_world(handle, script)

    def test_a_reset_of_the_instance_is_no_orderly_end(self):
        # A response without a length that was reset on the way looked complete.
        async def handle(stream):
            await stream.receive_some()
            await stream.send_all(b"part")
            await trio.sleep(0.05)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            stream.socket.close()

        async def script(world):
            tunnel = await world.open()
            await tunnel.send_all(b"request")
            with self.assertRaises(TunnelBrokenError):
                await read_all(tunnel)

        self.run_world(handle, script)

    def test_the_loss_of_the_gateway_is_no_orderly_end(self):
        async def handle(stream):
            await stream.receive_some()
            await stream.send_all(b"part")
            await trio.sleep_forever()

        async def script(world):
            tunnel = await world.open()
            await tunnel.send_all(b"request")
            self.assertEqual(await tunnel.receive_some(10), b"part")
            world.gateway_scope.cancel()
            with self.assertRaises(TunnelBrokenError):
                await read_all(tunnel)

        self.run_world(handle, script)

    def test_closing_a_tunnel_closes_the_connection_to_the_instance(self):
        # The instance went on with a request whose client had left.
        ended = trio.Event()

        async def handle(stream):
            await stream.receive_some()
            if not await stream.receive_some():
                ended.set()

        async def script(world):
            tunnel = await world.open()
            await tunnel.send_all(b"request")
            await tunnel.aclose()
            await ended.wait()

        self.run_world(handle, script)

    def test_only_registered_nodes_get_tunnels(self):
        connections = []

        async def handle(stream):
            connections.append(stream)

        async def script(world):
            for client in (TunnelClient(NODE, b"another key"), TunnelClient("stranger", b"key")):
                with self.assertRaises(TunnelError) as caught:
                    await client.open(world.gateway, world.target)
                self.assertIs(caught.exception.failure, TunnelFailure.UNAVAILABLE)
            self.assertEqual(connections, [])

        self.run_world(handle, script)

    def test_a_gateway_proves_itself(self):
        async def handle(stream):
            await stream.receive_some()

        async def script(world):
            for changes in ({"key": b"another key"}, {"name": "other"}):
                with self.assertRaises(TunnelError) as caught:
                    await world.open(**changes)
                self.assertIs(caught.exception.failure, TunnelFailure.UNAVAILABLE)

        self.run_world(handle, script)

    def test_a_repeated_request_for_a_tunnel_is_not_authentic(self):
        async def handle(stream):
            await stream.receive_some()

        async def script(world):
            host, _, port = world.gateway.address.rpartition(":")
            recorded = encode_open(NODE, GATEWAY, world.target, KEYS[NODE], bytes(CHALLENGE_BYTES))
            stream = await trio.open_tcp_stream(host, int(port))
            reader = FrameReader(stream)
            await reader.read_exactly(CHALLENGE_BYTES)
            await stream.send_all(recorded)
            with self.assertRaises(TunnelFrameError):
                await reader.read_frame()

        self.run_world(handle, script)

    def test_statuses_are_bound_to_their_challenge(self):
        with self.assertRaises(TunnelFrameError):
            decode_status(b"x" * 30, KEYS[GATEWAY], bytes(CHALLENGE_BYTES))

    def test_a_gateway_names_why_it_opens_no_tunnel(self):
        async def handle(stream):
            await stream.receive_some()

        async def script(world):
            for failure in (TunnelFailure.CUT_OFF, TunnelFailure.REJECTED):
                world.gate.failure = failure
                with self.assertRaises(TunnelError) as caught:
                    await world.open()
                self.assertIs(caught.exception.failure, failure)
            world.gate.failure = None
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                world.target = TunnelTarget("i1", f"127.0.0.1:{closed.getsockname()[1]}")
                with self.assertRaises(TunnelError) as caught:
                    await world.open()
                self.assertIs(caught.exception.failure, TunnelFailure.INSTANCE_REFUSED)

        self.run_world(handle, script)


class RequestsThroughTunnelsTest(unittest.TestCase):
    def run_world(self, server, script):
        async def main():
            with trio.fail_after(2 * DEADLINE_SECONDS):
                async with trio.open_nursery() as nursery:
                    world = TunnelWorld()
                    await world.start(nursery, server.handle)
                    client = HttpClient(tunnels=world.client)
                    instance = Instance("i1", "s", world.target.address, "z", 1)
                    await script(world, HttpInstances(client), instance)
                    await client.aclose()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def call(self, world, instances, instance, request_id="r1"):
        call = InstanceCall(instance, request(request_id), 1.5, gateway=world.gateway)
        async with instances.open(call) as answer:
            return b"".join([data async for data in answer.body()])

    def test_a_request_is_answered_and_its_tunnel_used_again(self):
        server = RawServer(COMPLETE, keep_open=True, repeats_id=True)

        async def script(world, instances, instance):
            for number in range(3):
                body = await self.call(world, instances, instance, f"r{number}")
                self.assertEqual(body, b"body")
            self.assertEqual(server.connections, 1)
            self.assertEqual(len(server.received), 3)

        self.run_world(server, script)

    def test_a_request_that_a_gateway_does_not_pass_on_is_proved_not_run(self):
        server = RawServer(COMPLETE, keep_open=True, repeats_id=True)

        async def script(world, instances, instance):
            self.assertEqual(await self.call(world, instances, instance, "r0"), b"body")
            for failure in (TunnelFailure.INSTANCE_LEAVING, TunnelFailure.LATE):
                world.gate.request_failure = failure
                with self.assertRaises(InstanceCallError) as caught:
                    await self.call(world, instances, instance, f"r {failure.value}")
                self.assertIs(caught.exception.execution, Execution.NOT_RUN)
                self.assertIs(caught.exception.tunnel_failure, failure)
                self.assertFalse(caught.exception.sent)
            world.gate.request_failure = None
            self.assertEqual(await self.call(world, instances, instance, "r3"), b"body")
            self.assertEqual(len(server.received), 2)

        self.run_world(server, script)

    def test_a_refusal_after_the_beginning_of_a_response_proves_nothing(self):
        async def handle(stream):
            await stream.receive_some(5)
            await stream.send_all(b"early")
            await trio.sleep_forever()

        async def script(world):
            tunnel = await world.open()
            await tunnel.send_all(b"first")
            self.assertEqual(await tunnel.receive_some(10), b"early")
            world.gate.request_failure = TunnelFailure.LATE
            await world.client_stream(tunnel).send_all(b"rest")
            with self.assertRaises(TunnelBrokenError):
                await tunnel.receive_some(10)

        TunnelsTest.run_world(self, handle, script)

    def test_an_answer_without_a_length_that_is_reset_is_not_whole(self):
        server = RawServer(HEAD + b"Connection: close\r\n\r\npart", reset=True)

        async def script(world, instances, instance):
            with self.assertRaises(InstanceCallError) as caught:
                await self.call(world, instances, instance)
            self.assertIs(caught.exception.execution, Execution.UNKNOWN)

        self.run_world(server, script)

    def test_a_request_without_a_tunnel_is_proved_not_run(self):
        server = RawServer(COMPLETE)

        async def script(world, instances, instance):
            world.gate.failure = TunnelFailure.CUT_OFF
            with self.assertRaises(InstanceCallError) as caught:
                await self.call(world, instances, instance)
            error = caught.exception
            self.assertEqual((error.execution, error.sent), (Execution.NOT_RUN, False))
            self.assertIs(error.tunnel_failure, TunnelFailure.CUT_OFF)
            self.assertEqual(server.received, [])

        self.run_world(server, script)

    def test_a_request_is_unknown_once_its_gateway_is_lost(self):
        server = RawServer(b"")

        async def script(world, instances, instance):
            async def lose_gateway():
                await trio.sleep(0.2)
                self.assertEqual(len(server.received), 1)
                world.gateway_scope.cancel()

            server.keep_open = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lose_gateway)
                with self.assertRaises(InstanceCallError) as caught:
                    await self.call(world, instances, instance)
            self.assertEqual(
                (caught.exception.execution, caught.exception.sent), (Execution.UNKNOWN, True)
            )

        self.run_world(server, script)

    def test_idle_tunnels_of_a_stopping_gateway_are_not_used_again(self):
        # A request was sent into a tunnel that the stopping gateway closed at that moment.
        server = RawServer(COMPLETE, keep_open=True)

        async def script(world, instances, instance):
            await self.call(world, instances, instance)
            world.lifecycle.stop()
            await trio.sleep(0.05)
            world.gate.failure = TunnelFailure.REJECTED
            with self.assertRaises(InstanceCallError) as caught:
                await self.call(world, instances, instance)
            self.assertFalse(caught.exception.sent)
            self.assertEqual(len(server.received), 1)

        self.run_world(server, script)

    def test_a_stopping_gateway_waits_for_the_response_under_way(self):
        class SlowServer(RawServer):
            async def handle(self, stream):
                async with stream:
                    await self.read_request(stream)
                    world_stop[0]()
                    await trio.sleep(2.5)
                    await stream.send_all(COMPLETE)
                    await stream.receive_some()

        world_stop = []
        server = SlowServer(b"")

        async def script(world, instances, instance):
            world_stop.append(world.lifecycle.stop)
            async with trio.open_nursery() as nursery:
                drained = []

                async def drain():
                    await world.lifecycle.wait_stopping()
                    drained.append(await world.lifecycle.drain())
                    world.gateway_scope.cancel()

                nursery.start_soon(drain)
                self.assertEqual(await self.call(world, instances, instance), b"body")
            self.assertEqual(drained, [True])

        self.run_world(server, script)


class RawGateway:
    """Opens tunnels; sends other chunks in one write with each first answer of a tunnel."""

    def __init__(self, *further_chunks):
        self.further = b"".join(further_chunks)
        self.tunnels = 0
        self.requests = []

    async def handle(self, stream):
        self.tunnels += 1
        challenge = bytes(CHALLENGE_BYTES)
        async with stream:
            reader = FrameReader(stream)
            await stream.send_all(challenge)
            await reader.read_frame()
            await stream.send_all(encode_status(None, KEYS[GATEWAY], challenge))
            further = self.further
            while data := await reader.read_some(10_000):
                request_id = re.search(rb"(?i)attempt-id: (\S+)", data)[1]
                self.requests.append(request_id)
                own = COMPLETE.replace(b"Attempt-Id: r1", b"Attempt-Id: " + request_id)
                await stream.send_all(chunk(own) + further)
                further = b""


def chunk(data):
    return CHUNK_HEADER.pack(len(data)) + data


class BytesBehindAnAnswerTest(unittest.TestCase):
    def test_a_request_was_sent_over_a_tunnel_that_had_received_more_than_its_answer(self):
        for name, further in (
            ("a copy of the answer", chunk(COMPLETE)),
            ("the end of the instance's connection", CHUNK_HEADER.pack(END)),
            ("the stop of the gateway", CHUNK_HEADER.pack(STOP)),
        ):
            gateway = RawGateway(further)

            async def main(gateway=gateway):
                async with trio.open_nursery() as nursery:
                    serve = functools.partial(trio.serve_tcp, gateway.handle, 0, host="127.0.0.1")
                    address = address_of((await nursery.start(serve))[0])
                    client = HttpClient(tunnels=TunnelClient(NODE, KEYS[NODE]))
                    instances = HttpInstances(client)
                    instance = Instance("i1", "s", "127.0.0.1:9", "z", 1)
                    way = Gateway(GATEWAY, address, KEYS[GATEWAY])
                    bodies = []
                    for request_id in ("r1", "r2"):
                        call = InstanceCall(instance, request(request_id), 1.5, gateway=way)
                        async with instances.open(call) as answer:
                            bodies += [data async for data in answer.body()]
                    await client.aclose()
                    nursery.cancel_scope.cancel()
                    return bodies

            with self.subTest(name):
                self.assertEqual(trio.run(main), [b"body", b"body"])
                self.assertEqual(gateway.requests, [b"r1", b"r2"])
                self.assertEqual(gateway.tunnels, 2)
