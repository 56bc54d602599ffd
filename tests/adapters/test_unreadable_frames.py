"""Frames of other nodes whose reading raised errors that their receiver doesn't expect."""

import itertools
import unittest
from unittest import mock

import cbor2

from hopstep.adapters import node_codec
from hopstep.adapters.frame_envelope import Envelope, EnvelopeError, read_envelope
from hopstep.adapters.node_codec import COMPRESSED, PLAIN, FrameError, decode_frame
from hopstep.domain.exchanges.nodes import NodeRecord

KEY = b"key-a"
NODES = {"a": NodeRecord("127.0.0.1:1", "z", KEY)}


def signed(content):
    """Return the frame of any content, with the tag of its sender."""
    part = cbor2.dumps(content)
    return node_codec._tag(KEY, part) + part


class UnreadableFramesTest(unittest.TestCase):
    def test_a_payload_that_is_not_bytes_ends_no_receiver(self):
        # cbor2 and zlib raised TypeError, which ended the task that receives messages.
        payloads = ("text", 5, None, [1], {}, 1.5)
        for payload, encoding in itertools.product(payloads, (PLAIN, COMPRESSED)):
            frame = signed(["a", encoding, payload])
            with self.subTest(payload=payload, encoding=encoding), self.assertRaises(FrameError):
                decode_frame(frame, NODES)

    def test_content_that_is_no_frame_ends_no_receiver(self):
        for content in (5, "abc", [], ["a"], [[], 0, b""], [{}, 0, b""], {"a": 1, 0: 2, b"": 3}):
            with self.subTest(content=content), self.assertRaises(FrameError):
                decode_frame(signed(content), NODES)

    def test_many_empty_lists_do_not_stop_the_loop(self):
        # 60,000 bytes that decode to as many lists took 9 ms of the loop, also without a valid tag.
        lists = b"\x99\xff\xff" + b"\x80" * 59_000
        unsigned = bytes(node_codec.TAG_BYTES) + lists
        with mock.patch.object(cbor2, "loads") as loads:
            for frame in (unsigned, signed(["a", PLAIN, lists])):
                with self.assertRaises(FrameError):
                    decode_frame(frame, NODES)
        self.assertEqual(loads.call_count, 0)

    def test_an_envelope_has_definite_lengths_and_nothing_behind_it(self):
        # Pieces of strings without a length are items too, and take as long as lists.
        sound = cbor2.dumps(["a", PLAIN, b"payload"])
        self.assertEqual(read_envelope(sound), Envelope("a", PLAIN, b"payload"))
        for data in (
            sound + b"\0",
            sound[:-1],
            b"\x9f" + sound[1:] + b"\xff",
            b"\x83\x7f\x61a\xff" + sound[3:],
            b"\x83\x7b" + bytes(7) + b"\x01a" + sound[3:],
            cbor2.dumps(["a", PLAIN, b"payload", 0]),
            cbor2.dumps(["a", -1, b"payload"]),
            b"\x83\x61\xff" + sound[3:],
        ):
            with self.subTest(data=data), self.assertRaises(EnvelopeError):
                read_envelope(data)


if __name__ == "__main__":
    unittest.main()
