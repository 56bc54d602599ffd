"""Encoding of messages between nodes as signed CBOR frames.

A frame is ``tag || cbor2([sender, encoding, payload])``. The tag is the keyed BLAKE2b of the rest
under the sender's key, which its process generated and published in the store. The payload isn't
decoded before the tag is checked. Payloads of ``MIN_COMPRESSED_BYTES`` or more are compressed.
"""

from __future__ import annotations

import hashlib
import hmac
import zlib
from collections.abc import Mapping

import cbor2
import msgspec

from hopstep.adapters.frame_envelope import Envelope, EnvelopeError, read_envelope
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.ports.node_exchange import NodeMessage, Received

TAG_BYTES = 16
MIN_COMPRESSED_BYTES = 1_024
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
"""Decompression stops at this size, so that a larger payload is rejected."""

PLAIN = 0
COMPRESSED = 1


class FrameError(Exception):
    """A frame that is malformed or isn't signed by its sender."""


def encode_frame(message: NodeMessage, sender: str, key: bytes) -> bytes:
    """Return the frame of a message.

    Args:
        message: The message.
        sender: Name of this node.
        key: Key of this node, which signs the frame.
    """
    payload = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    encoding = PLAIN
    if len(payload) >= MIN_COMPRESSED_BYTES:
        payload = zlib.compress(payload, 1)
        encoding = COMPRESSED
    signed_part = cbor2.dumps([sender, encoding, payload])
    return _tag(key, signed_part) + signed_part


def decode_frame(frame: bytes, nodes: Mapping[str, NodeRecord]) -> Received:
    """Return the message of a frame.

    Args:
        frame: The frame.
        nodes: Registered nodes with their keys.

    Raises:
        FrameError: If it is malformed or not signed by its sender.
    """
    tag, signed_part = frame[:TAG_BYTES], frame[TAG_BYTES:]
    try:
        envelope = read_envelope(signed_part)
    except EnvelopeError as error:
        raise FrameError("malformed") from error
    record = nodes.get(envelope.sender)
    if record is None or not hmac.compare_digest(tag, _tag(record.key, signed_part)):
        raise FrameError("not signed by a registered node")
    try:
        document = cbor2.loads(_encoded_message(envelope))
        return Received(envelope.sender, msgspec.convert(document, NodeMessage))
    except Exception as error:
        # The decoders raise errors of many types, and other releases send other documents.
        raise FrameError("malformed") from error


def _encoded_message(envelope: Envelope) -> bytes:
    """Return the CBOR of a message, up to ``MAX_PAYLOAD_BYTES``.

    Raises:
        FrameError: If the encoding is unknown, or the payload would have been compressed.
    """
    if envelope.encoding == COMPRESSED:
        return zlib.decompressobj().decompress(envelope.payload, MAX_PAYLOAD_BYTES)
    if envelope.encoding != PLAIN or len(envelope.payload) >= MIN_COMPRESSED_BYTES:
        raise FrameError("malformed")
    return envelope.payload


def _tag(key: bytes, signed_part: bytes) -> bytes:
    """Return the authentication tag of a frame's signed part."""
    return hashlib.blake2b(signed_part, key=key, digest_size=TAG_BYTES).digest()
