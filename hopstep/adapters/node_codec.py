"""Messages between nodes as signed ``cbor2`` frames.

A frame is ``tag || cbor2([sender, payload])``. The tag is the keyed BLAKE2b of the rest under the
sender's key, which its process drew and published in the store. Nothing is decoded beyond the
sender's name before the tag is checked. Payloads that are long are compressed.
"""

from __future__ import annotations

import hashlib
import hmac
import zlib
from collections.abc import Mapping
from typing import Any

import cbor2
import msgspec

from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.ports.node_exchange import NodeMessage, Received

TAG_BYTES = 16
COMPRESSED_FROM_BYTES = 1_024
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
"""A compressed payload that grows beyond this is rejected."""

PLAIN = 0
COMPRESSED = 1


class FrameError(Exception):
    """A frame that can't be read, or that its sender hasn't signed."""


def encode_frame(message: NodeMessage, sender: str, key: bytes) -> bytes:
    """Return the frame of a message.

    Args:
        message: The message.
        sender: Name of this node.
        key: Its key.
    """
    payload = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    form = PLAIN
    if len(payload) >= COMPRESSED_FROM_BYTES:
        payload = zlib.compress(payload, 1)
        form = COMPRESSED
    rest = cbor2.dumps([sender, form, payload])
    return _tag(key, rest) + rest


def decode_frame(frame: bytes, nodes: Mapping[str, NodeRecord]) -> Received:
    """Return the message of a frame.

    Args:
        frame: The frame.
        nodes: Registered nodes with their keys.

    Raises:
        FrameError: When it is malformed or not signed by its sender.
    """
    tag, rest = frame[:TAG_BYTES], frame[TAG_BYTES:]
    try:
        sender, form, payload = cbor2.loads(rest)
        record = nodes.get(sender)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise FrameError("malformed") from error
    if record is None or not hmac.compare_digest(tag, _tag(record.key, rest)):
        raise FrameError("not signed by a registered node")
    try:
        document = cbor2.loads(_inflate(payload) if form == COMPRESSED else payload)
        return Received(sender, msgspec.convert(document, NodeMessage))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, zlib.error) as error:
        raise FrameError("malformed") from error


def _inflate(payload: Any) -> bytes:
    """Return a decompressed payload, up to the bound."""
    return zlib.decompressobj().decompress(payload, MAX_PAYLOAD_BYTES)


def _tag(key: bytes, rest: bytes) -> bytes:
    """Return the tag of a frame."""
    return hashlib.blake2b(rest, key=key, digest_size=TAG_BYTES).digest()
