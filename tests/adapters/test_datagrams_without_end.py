"""Datagrams without end at a node's port, from those who don't know its key."""

import socket
import unittest

import structlog.testing
import trio
import trio.lowlevel

from hopstep.adapters.node_codec import encode_frame
from hopstep.adapters.node_datagrams import MAX_DATAGRAM_BYTES, NodeDatagrams
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.ports.node_exchange import RelayDigest
from tests.adapters.test_node_codec import HINTS
from tests.platform.endless_peers import LONGEST_STEP_SECONDS, longest_step, traced_peak

DEADLINE_SECONDS = 5.0
SENT_AT_ONCE = 20
REJECTED = 200
MEBIBYTE = 1 << 20
NODES = {"a": NodeRecord("127.0.0.1:1", "z", b"key-a")}
MESSAGE = RelayDigest(9, HINTS)
FORGED = encode_frame(MESSAGE, "a", b"another key")
DATAGRAMS = {
    "empty": b"",
    "garbage": b"\xff" * 1_000,
    "as long as any": b"\xff" * MAX_DATAGRAM_BYTES,
    "longer than any": b"\xff" * (MAX_DATAGRAM_BYTES + 5_000),
    "signed by another key": FORGED,
    "signed, with a long tail": FORGED + bytes(MAX_DATAGRAM_BYTES - len(FORGED)),
}


class DatagramsWithoutEndTest(unittest.TestCase):
    def receive(self, datagram, instruments=()):
        """Receive a message while a stranger sends without end; return the logged counts."""

        async def main():
            node = await NodeDatagrams.open("127.0.0.1:0", "b", b"key-b")
            address = node._socket.getsockname()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.setblocking(False)
                sender.connect(address)

                async def send_without_end():
                    while True:
                        for _ in range(SENT_AT_ONCE):
                            sender.send(datagram)
                        await trio.lowlevel.checkpoint()

                async def send_message():
                    while True:
                        if node._rejected.total() < REJECTED:
                            await trio.sleep(0.01)
                            continue
                        sender.send(encode_frame(MESSAGE, "a", b"key-a"))
                        await trio.sleep(0.001)

                with trio.fail_after(DEADLINE_SECONDS):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(send_without_end)
                        nursery.start_soon(send_message)
                        received = await node.receive(NODES)
                        nursery.cancel_scope.cancel()
            node.close()
            return received

        with structlog.testing.capture_logs() as lines:
            received = trio.run(main, instruments=instruments)
        self.assertEqual(received.message, MESSAGE)
        return [each["count"] for each in lines if each["event"] == "node_message_rejected"]

    def test_they_are_dropped_and_a_signed_message_is_received(self):
        """Guards against a node that strangers at its port keep from hearing other nodes."""
        for name, datagram in DATAGRAMS.items():
            with self.subTest(name), traced_peak() as peak:
                counts = self.receive(datagram)
                self.assertLess(peak(), MEBIBYTE)
                self.assertGreaterEqual(sum(counts), REJECTED // 2)
                # One line each time the number doubles.
                self.assertLess(len(counts), 40)

    def test_they_do_not_stop_the_loop(self):
        """Guards against requests that wait while a stranger's datagrams are read."""
        for name, datagram in DATAGRAMS.items():
            with self.subTest(name):
                step = longest_step(lambda step, sent=datagram: self.receive(sent, [step]))
                self.assertLess(step, LONGEST_STEP_SECONDS)
