"""Datagrams that must be accepted, those that must be rejected, and key files."""

import pathlib
import tempfile
import unittest
from unittest import mock

import cbor2
import msgspec

from hopstep.adapters import peer_keys
from hopstep.adapters.peer_codec import (
    DATAGRAM_CONTEXT,
    FORMAT,
    MAX_SKEW_SECONDS,
    REPLAY_WINDOW,
    PeerCodec,
    ReplayWindow,
)
from hopstep.adapters.peer_keys import FilePeerKeys, PeerKeys, parse_keys
from hopstep.domain.peer_message import (
    Ack,
    EngineEntry,
    Entry,
    EntryKind,
    Gossip,
    HotPrefix,
    LeavingBackEnd,
    LimitDemand,
    LimitGrant,
    LimitReport,
    MemberRecord,
    MemberState,
    MemberStatus,
    Ping,
    PingRequest,
    PullRequest,
    Push,
    SyncRequest,
    SyncSummary,
)
from hopstep.exceptions import PeerMessageError
from hopstep.log_events.membership import PEER_KEYS_REJECTED
from hopstep.log_events.process import PEER_KEYS_REPLACED

KEY, OTHER_KEY = bytes(range(32)), bytes(range(1, 33))
VALUES = (
    LeavingBackEnd("engine-1"),
    EngineEntry("127.0.0.1:1", "i", {"model": "v1"}, waiting=3),
    HotPrefix(2**64 - 1, "zone-1", 0.5),
    None,
)
GOSSIP = Gossip(
    7,
    3,
    (MemberStatus("b", 2**41, 1, MemberState.SUSPECT, 2**32 - 1),),
    (MemberRecord("c", 2**41, 0, MemberState.ALIVE, "127.0.0.1:1", "127.0.0.1:2", "z", 2**63),),
    tuple(
        Entry("c", 2**41, number, "s", value, EntryKind(number % 3), (2**63,))
        for number, value in enumerate(VALUES)
    ),
)
BODIES = (
    Ping(1, "b", GOSSIP),
    PingRequest(2, "b", "127.0.0.1:3", GOSSIP),
    Ack(3, "b", GOSSIP),
    Push(GOSSIP),
    SyncRequest((1, 2**32 - 1), 5, GOSSIP),
    SyncSummary(GOSSIP.statuses, GOSSIP),
    PullRequest(("b",), ("c",), GOSSIP),
    LimitReport(4, (LimitDemand("tenant", 10**6, 0),), GOSSIP),
    LimitGrant(4, 12.5, (-1, 800_000), GOSSIP),
)


class Clock:
    def __init__(self):
        self.now = 1_000_000.0

    def __call__(self):
        return self.now


def codec(clock, sender="a", incarnation=5, cluster="c", keys=None):
    return PeerCodec(cluster, sender, incarnation, PeerKeys(keys or {"k": KEY}), clock)


class PeerCodecTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.receiver = codec(self.clock, "b")

    def reject(self, datagram):
        with self.assertRaises(PeerMessageError):
            self.receiver.decode(datagram)

    def test_every_body_arrives_unchanged(self):
        sender = codec(self.clock)
        for body in BODIES:
            message = self.receiver.decode(sender.encode(body))
            self.assertEqual((message.sender, message.incarnation, message.body), ("a", 5, body))

    def test_truncated_at_every_byte_and_changed_in_every_byte(self):
        datagram = codec(self.clock).encode(BODIES[0])
        for end in range(len(datagram)):
            self.reject(datagram[:end])
            changed = bytearray(datagram)
            changed[end] ^= 1
            self.reject(bytes(changed))
        self.receiver.decode(datagram)

    def test_senders_that_are_not_to_be_trusted(self):
        cases = (
            ("another cluster", codec(self.clock, cluster="d")),
            ("another key under the same id", codec(self.clock, keys={"k": OTHER_KEY})),
            ("an unknown key id", codec(self.clock, keys={"j": KEY})),
        )
        for name, sender in cases:
            with self.subTest(name):
                self.reject(sender.encode(BODIES[0]))

    def test_a_frame_for_another_use(self):
        self.reject(codec(self.clock).seal(b"", b"request configuration"))

    def test_signed_rubbish(self):
        for payload in (b"", b"\xff", b"\x81" * 2_000, b"\x01", b"\x82\x18\x63\x80"):
            self.reject(codec(self.clock).seal(payload, b"datagram"))

    def test_replays(self):
        sender = codec(self.clock)
        first, second = sender.encode(BODIES[0]), sender.encode(BODIES[0])
        self.receiver.decode(second)
        self.receiver.decode(first)
        self.reject(first)
        self.reject(second)

    def test_an_earlier_incarnation_after_a_later_one(self):
        earlier = codec(self.clock, incarnation=5)
        self.receiver.decode(earlier.encode(BODIES[0]))
        self.receiver.decode(codec(self.clock, incarnation=6).encode(BODIES[0]))
        self.reject(earlier.encode(BODIES[0]))

    def test_times_out_of_reach(self):
        datagram = codec(self.clock).encode(BODIES[0])
        for skew in (MAX_SKEW_SECONDS + 1, -MAX_SKEW_SECONDS - 1):
            self.clock.now += skew
            self.reject(datagram)
            self.clock.now -= skew

    def test_a_time_too_large_for_a_float_ends_no_receiver(self):
        # It raised OverflowError, which ended the task that receives messages.
        for time_ms in (10**400, -(10**400)):
            content = cbor2.dumps([FORMAT, "a", 5, 1, time_ms, b""])
            rest = b"\x01k" + content
            tag = self.receiver._tag(KEY, DATAGRAM_CONTEXT, rest)
            self.reject(tag + rest)

    def test_replays_stay_rejected_after_the_sweep(self):
        datagram = codec(self.clock).encode(BODIES[0])
        self.receiver.decode(datagram)
        for _ in range(4):
            self.clock.now += MAX_SKEW_SECONDS - 1
            with self.assertRaises(PeerMessageError):
                self.receiver.decode(codec(self.clock, "x", cluster="d").encode(BODIES[0]))
            self.receiver.decode(codec(self.clock, f"x{self.clock.now}").encode(BODIES[0]))
            self.reject(datagram)

    def test_window(self):
        window = ReplayWindow(1)
        admitted = [window.admit(n) for n in (5, 4, 5, 4, 2_000, 2_000 - REPLAY_WINDOW, 977)]
        self.assertEqual(admitted, [True, True, False, False, True, False, True])


class PeerKeysTest(unittest.TestCase):
    def test_keys_are_replaced_without_a_restart(self):
        with (
            tempfile.TemporaryDirectory() as directory,
            mock.patch.object(peer_keys, "emit") as emit,
        ):
            path = pathlib.Path(directory) / "keys"
            path.write_text(f"old:{KEY.hex()}\n")
            keys = FilePeerKeys(path)
            path.write_text(f"# rolled\nnew:{OTHER_KEY.hex()}\nold:{KEY.hex()}\n")
            # The file is still being written; its first part is already valid.
            complete = path.read_text()
            path.write_text(complete[: -len(KEY) - 1])
            self.assertEqual(list(parse_keys(path.read_text())), ["new", "old"])
            keys.watched.check()
            path.write_text(complete)
            keys.watched.check()
            self.assertEqual(keys.signing(), ("old", KEY))
            keys.watched.check()
            self.assertEqual(keys.signing(), ("new", OTHER_KEY))
            self.assertEqual(keys.verifying("old"), KEY)
            path.write_text("new:xyz")
            keys.watched.check()
            keys.watched.check()
            self.assertEqual(keys.signing(), ("new", OTHER_KEY))
            keys.watched.check()
            self.assertIn("line 1", keys.watched.error)
            logged = [call.args[0] for call in emit.call_args_list]
            self.assertEqual(logged, [PEER_KEYS_REPLACED, PEER_KEYS_REJECTED])
            path.unlink()
            keys.watched.check()
            keys.watched.check()
            self.assertEqual(keys.verifying("old"), KEY)

    def test_wrong_files_name_the_line(self):
        good = f"a:{KEY.hex()}"
        cases = (
            ("", "no key"),
            ("a", "line 1"),
            (":00", "line 1"),
            (f"{good}\nb:0011", "line 2"),
            (f"{good}\n{good}", "line 2"),
            (f"{good}\nb:zz", "line 2"),
        )
        for text, expected in cases:
            with self.subTest(text=text), self.assertRaises(PeerMessageError) as raised:
                parse_keys(text)
            self.assertIn(expected, raised.exception.message)
            self.assertEqual(raised.exception.field, "peers.key_file")

    def test_structs_stay_small(self):
        self.assertLessEqual(len(msgspec.msgpack.encode(GOSSIP.statuses[0])), 24)
