"""Contract tests of the UDP transport and of the in-memory network."""

import contextlib
import random
import unittest

import trio

from emulator.link_faults import LinkFaults
from emulator.network import FaultyNetwork
from hopstep.adapters.udp_peer_transport import UdpPeerTransport
from hopstep.domain.peer_message import Gossip, MemberState, MemberStatus, Push
from hopstep.exceptions import PortError
from tests.contract.peer_transport_contract import PeerTransportContract, closing, codec


class UdpPeerTransportTest(PeerTransportContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def connected(self, *codecs):
        transports = [await UdpPeerTransport.open("127.0.0.1:0", item) for item in codecs]
        async with closing(transports):
            yield transports

    def test_wrong_and_taken_addresses_are_errors_of_the_port(self):
        async def main():
            transport = await UdpPeerTransport.open("127.0.0.1:0", codec("a"))
            async with closing([transport]):
                for address in ("localhost:0", "127.0.0.1", "127.0.0.1:x", transport.address):
                    with self.assertRaises(PortError) as raised:
                        await UdpPeerTransport.open(address, codec("b"))
                    self.assertEqual(raised.exception.field, "peers.address")

        trio.run(main)

    def test_too_large_messages_are_not_sent(self):
        statuses = tuple(
            MemberStatus(f"m{number}", 1, 0, MemberState.ALIVE) for number in range(400)
        )

        async def body(one, other):
            self.assertEqual(await one.send(other.address, Push(Gossip(statuses=statuses))), 0)

        self.run_with(body, codec("a"), codec("b"))

    def test_addresses_that_cannot_be_meant_get_no_message(self):
        # A port over 65,535 raised OverflowError, which ended the task that sends messages.
        async def body(one, _other):
            for address in ("127.0.0.1:70000", "127.0.0.1:" + "9" * 5_000, "127.0.0.1", "", "h:1"):
                with self.subTest(address=address[:20]):
                    self.assertEqual(await one.send(address, Push(Gossip())), 0)

        self.run_with(body, codec("a"), codec("b"))


class FaultyPeerTransportTest(PeerTransportContract, unittest.TestCase):
    @contextlib.asynccontextmanager
    async def connected(self, *codecs):
        network = FaultyNetwork(LinkFaults(random.Random(1)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(network.run)
            addresses = [f"127.0.0.1:{port}" for port in range(1_000, 1_000 + len(codecs))]
            transports = [
                network.connect(address, item)
                for address, item in zip(addresses, codecs, strict=True)
            ]
            async with closing(transports):
                yield transports
            nursery.cancel_scope.cancel()
