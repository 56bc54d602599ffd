"""JSON and CBOR that others have written: whatever is wrong with it is one kind of error."""

import random
import unittest

import msgspec

from hopstep.adapters import node_codec, tunnel_codec
from hopstep.adapters.engine_http import _decode_answer, _refusal
from hopstep.adapters.node_codec import FrameError, decode_frame
from hopstep.adapters.peer_codec import decode_struct
from hopstep.adapters.tunnel_codec import OpenRequest, TunnelFrameError
from hopstep.decoding import JsonDecoder, decode_json
from hopstep.domain.configuration.encoding import decode_snapshot
from hopstep.domain.store_position import StorePosition
from hopstep.exceptions import (
    EngineError,
    PeerMessageError,
    ServiceError,
    StoreError,
    ValidationError,
)
from hopstep.platform.documents import read_configuration, read_instance, read_weights
from hopstep.platform.rejections import DECODING_ERRORS
from hopstep.platform.store import _Answer, _decode
from hopstep.ports.engine import EngineFacts
from hopstep.ports.key_value_store import StoredValue
from hopstep.services.claims import decode_claim
from hopstep.services.configuration.snapshots import SnapshotManifest, _decode_manifest
from hopstep.services.exchanges.directory.records import decode_holder, decode_node

DEPTH = 100_000


class Document(msgspec.Struct):
    count: int = 0


def nested(depth=DEPTH):
    """Return documents that are nested too deeply, in a field that isn't read and as a whole."""
    arrays, objects = b"[" * depth + b"]" * depth, b'{"x":' * depth + b"1" + b"}" * depth
    return (b'{"unread":' + arrays + b"}", b'{"unread":' + objects + b"}", arrays, objects)


def nested_binary(depth=DEPTH):
    """Return CBOR that is nested too deeply: arrays and maps with a length and without, tags."""
    yield b"\x81" * depth + b"\x00"
    yield b"\xa1\x61x" * depth + b"\x00"
    yield b"\x9f" * depth + b"\xff" * depth
    yield b"\xbf\x61x" * depth + b"\x00" + b"\xff" * depth
    yield b"\xd9\xd9\xf7" * depth + b"\x00"


class DecodingTest(unittest.TestCase):
    """Guards against documents that end a task, as their decoder runs out of stack."""

    def test_nesting_of_any_depth_is_a_decoding_error(self):
        for data in (*nested(), *nested(2_000)):
            for kind in (Document, list[int], object):
                with self.assertRaises(msgspec.DecodeError):
                    decode_json(data, kind)
                with self.assertRaises(msgspec.DecodeError):
                    JsonDecoder(kind).decode(data)
        self.assertEqual(decode_json(b'{"count":2}', Document), Document(2))

    def test_every_reader_of_documents_refuses_them(self):
        for data in nested():
            for read, errors in (
                (read_configuration, DECODING_ERRORS),
                (lambda data: read_instance("i1", data), DECODING_ERRORS),
                (read_weights, DECODING_ERRORS),
                (decode_holder, msgspec.DecodeError),
                (decode_node, msgspec.DecodeError),
                (lambda data: _decode(_Answer(200, data, 0), Document), StoreError),
                (lambda data: decode_claim(StoredValue("k", data, VERSION)), ServiceError),
                (lambda data: _decode_answer(data, EngineFacts, "e"), EngineError),
            ):
                with self.assertRaises(errors):
                    read(data)
            self.assertIsInstance(_refusal(503, data, "nonce"), EngineError)

    def test_every_reader_of_binary_documents_refuses_them(self):
        generator = random.Random(6)
        drawn = [generator.randbytes(generator.randint(0, 40)) for _ in range(2_000)]
        for data in (*nested_binary(2_000), *nested_binary(), *drawn):
            for read, error in (
                (lambda data: decode_struct(data, SnapshotManifest), PeerMessageError),
                (lambda data: decode_frame(bytes(node_codec.TAG_BYTES) + data, {}), FrameError),
                (lambda data: OpenRequest(bytes(tunnel_codec.TAG_BYTES) + data), TunnelFrameError),
                (decode_snapshot, ValidationError),
                (lambda data: _decode_manifest(StoredValue("k", data, VERSION)), ValidationError),
            ):
                with self.assertRaises(error):
                    read(data)

    def test_drawn_bytes_raise_nothing_else(self):
        generator = random.Random(5)
        whole = b'{"count": 12, "more": [1, {"x": [true, null, "\\u00e9"]}]}'
        for _ in range(3_000):
            data = bytearray(whole)
            for _ in range(generator.randint(1, 4)):
                place = generator.randrange(len(data))
                data[place : place + generator.randint(0, 3)] = generator.randbytes(2)
            try:
                self.assertIsInstance(decode_json(bytes(data), Document), Document)
            except msgspec.DecodeError:
                continue


VERSION = StorePosition(0, 1)


if __name__ == "__main__":
    unittest.main()
