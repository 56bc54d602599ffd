"""Frames of other nodes whose reading raised errors that their receiver doesn't expect."""

import itertools
import unittest

import cbor2

from hopstep.adapters import node_codec
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


if __name__ == "__main__":
    unittest.main()
