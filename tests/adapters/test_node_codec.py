"""Frames between nodes: messages decode as they were encoded; anything else is rejected."""

import random
import unittest
import zlib

import cbor2

from hopstep.adapters import node_codec
from hopstep.adapters.node_codec import FrameError, decode_frame, encode_frame
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.domain.store_position import StorePosition
from hopstep.ports.node_exchange import (
    Hints,
    LoadingEngine,
    RelayAnswer,
    RelayDigest,
    RelayedEntry,
    RelayQuery,
    ReportedEntry,
    SegmentUpdate,
    UrgentUpdates,
)
from hopstep.ports.serving_directory import (
    ConfigurationPublished,
    DirectoryEntry,
    InstanceListed,
    InstanceRemoved,
    RecordWritten,
)
from tests.services.exchanges.exchange_world import configuration

NODES = {"a": NodeRecord("1.2.3.4:5", "z", b"key-a"), "b": NodeRecord("1.2.3.4:6", "z", b"key-b")}
HINTS = Hints(
    (InstanceLoad("i1", 3, 400, 1),),
    (SegmentUpdate("i1", (SegmentKey(2**63 + 5, 800), SegmentKey(7, 16))),),
    (LoadingEngine("i2", 900),),
)
INSTANCE = Instance("i1", "llm", "10.0.0.1:80", "z", 4, versions={"m": 3})
ENTRIES = (
    DirectoryEntry("c", StorePosition(1, 1), ConfigurationPublished(configuration(7))),
    DirectoryEntry("i", StorePosition(1, 2), InstanceListed(INSTANCE)),
    DirectoryEntry("i", StorePosition(1, 3), InstanceRemoved("i1")),
    DirectoryEntry("r", StorePosition(1, 4), RecordWritten("r", b"\x00\xff", StorePosition(1, 4))),
)
MESSAGES = (
    RelayQuery(1, -1),
    RelayQuery(2, 77, "feed", 12, HINTS, era=1),
    RelayAnswer(
        2,
        77,
        80,
        350,
        entries=tuple(RelayedEntry(ReportedEntry.of(entry), 20) for entry in ENTRIES),
        hints=HINTS,
        after_era=1,
        era=1,
    ),
    RelayDigest(9, HINTS),
    UrgentUpdates(
        10, crashes=(RequestCrashes(b"\x00\xff" * 8, (Crash("i1@7", "a"),), ("i0", "i1@6")),)
    ),
)


class NodeCodecTest(unittest.TestCase):
    def test_entries_are_read_as_they_were_told(self):
        for entry in ENTRIES:
            self.assertEqual(ReportedEntry.of(entry).read(entry.position.era), entry)

    def frame(self, message=MESSAGES[1]):
        return encode_frame(message, "a", b"key-a")

    def test_messages_come_out_as_they_went_in(self):
        for message in MESSAGES:
            received = decode_frame(self.frame(message), NODES)
            self.assertEqual((received.sender, received.message), ("a", message))

    def test_frames_of_strangers_and_of_earlier_processes_are_rejected(self):
        for sender, key in (("c", b"key-c"), ("a", b"old key"), ("b", b"key-a"), ("a", b"")):
            with self.assertRaises(FrameError):
                decode_frame(encode_frame(MESSAGES[0], sender, key), NODES)

    def test_any_changed_byte_is_noticed(self):
        frame = self.frame()
        for index in range(len(frame)):
            changed = bytearray(frame)
            changed[index] ^= 1
            with self.assertRaises(FrameError):
                decode_frame(bytes(changed), NODES)

    def test_truncated_and_random_bytes_are_rejected(self):
        generator = random.Random(5)
        frame = self.frame()
        for length in range(len(frame)):
            with self.assertRaises(FrameError):
                decode_frame(frame[:length], NODES)
        for _ in range(300):
            with self.assertRaises(FrameError):
                decode_frame(generator.randbytes(generator.randrange(200)), NODES)

    def test_a_signed_frame_with_unknown_content_is_rejected(self):
        for payload in (cbor2.dumps(["Other", 1]), cbor2.dumps({"x": 1}), b"\xff"):
            signed_part = cbor2.dumps(["a", node_codec.PLAIN, payload])
            with self.assertRaises(FrameError):
                decode_frame(node_codec._tag(b"key-a", signed_part) + signed_part, NODES)

    def test_a_payload_that_grows_without_end_is_rejected(self):
        payload = zlib.compress(cbor2.dumps(["x" * (2 * node_codec.MAX_PAYLOAD_BYTES)]))
        signed_part = cbor2.dumps(["a", node_codec.COMPRESSED, payload])
        with self.assertRaises(FrameError):
            decode_frame(node_codec._tag(b"key-a", signed_part) + signed_part, NODES)
