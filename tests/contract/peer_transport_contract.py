"""Contract tests of the peer transport port, for every adapter and stand-in."""

import contextlib

import trio

from hopstep.adapters.peer_codec import PeerCodec
from hopstep.adapters.peer_keys import PeerKeys
from hopstep.domain.peer_message import Gossip, MemberState, MemberStatus, Ping, Push
from hopstep.exceptions import PeerMessageError

KEYS = PeerKeys({"k": bytes(32)})


def codec(name, incarnation=1, cluster="cluster"):
    return PeerCodec(cluster, name, incarnation, KEYS)


class PeerTransportContract:
    """Mixin for ``unittest.TestCase``; ``connected`` opens a transport for each codec."""

    def connected(self, *codecs):
        """Return an asynchronous context manager of open transports of one network."""
        raise NotImplementedError

    def run_with(self, body, *codecs):
        async def main():
            async with self.connected(*codecs) as transports:
                with trio.fail_after(10):
                    await body(*transports)

        trio.run(main)

    def test_messages_arrive_with_sender_and_source_and_can_be_answered(self):
        async def body(one, other):
            await one.send(other.address, Ping(1, "b"))
            received = await other.receive()
            self.assertEqual(received.message.sender, "a")
            self.assertEqual(received.message.body, Ping(1, "b"))
            self.assertEqual(received.source, one.address)
            await other.send(received.source, Push())
            self.assertEqual((await one.receive()).message.sender, "b")

        self.run_with(body, codec("a"), codec("b"))

    def test_rejected_datagrams_raise_and_the_next_one_is_read(self):
        async def body(stranger, one, other):
            await stranger.send(other.address, Push())
            with self.assertRaises(PeerMessageError):
                await other.receive()
            await one.send(other.address, Push())
            self.assertEqual((await other.receive()).message.sender, "a")

        self.run_with(body, codec("x", cluster="another"), codec("a"), codec("b"))

    def test_another_incarnation_is_signed_from_then_on(self):
        async def body(one, other):
            one.use_incarnation(9)
            await one.send(other.address, Push())
            self.assertEqual((await other.receive()).message.incarnation, 9)

        self.run_with(body, codec("a"), codec("b"))

    def test_sizes_bound_what_is_sent(self):
        statuses = tuple(
            MemberStatus(f"m{number}", 1, 0, MemberState.ALIVE) for number in range(20)
        )
        push = Push(Gossip(statuses=statuses))

        async def body(one, other):
            size = await one.send(other.address, push)
            parts = sum(one.encoded_size(status) for status in statuses)
            self.assertLess(parts, size)
            self.assertLessEqual(size, one.encoded_size(push) + 100)

        self.run_with(body, codec("a"), codec("b"))

    def test_sending_to_nobody_is_silent(self):
        async def body(one):
            await one.send("127.0.0.1:9", Push())

        self.run_with(body, codec("a"))


@contextlib.asynccontextmanager
async def closing(transports):
    try:
        yield transports
    finally:
        for transport in transports:
            transport.close()
