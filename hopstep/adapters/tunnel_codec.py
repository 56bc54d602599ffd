"""Encoding of tunnels between nodes.

The gateway begins with a random challenge. The other node names itself, the gateway and the
instance, and signs that and the challenge with its key. The gateway answers with a status, signed
with its own key over the same challenge. Keys are those that sign datagrams (``node_codec``).

After a status without failure, bytes to the instance follow as they are. Bytes from the instance
follow in chunks with their length, so that the end of a response that has no length can be told
from the loss of the gateway: ``END`` follows only after the instance has closed in order. ``STOP``
announces that the gateway is stopping; the tunnel shouldn't be used for another request.
``REFUSALS`` say that no byte of the request was passed on; the tunnel ends behind them. Nodes
before message format 7 take them for the loss of the gateway.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import Any

import cbor2

from hopstep.domain.reachability.tunnels import TunnelFailure, TunnelTarget

CHALLENGE_BYTES = 16
TAG_BYTES = 16
PURPOSE = b"hopstep tunnel"
"""Separates these tags from those of datagrams under the same key."""

MAX_FRAME_BYTES = 1_024
CHUNK_BYTES = 16 * 1024
"""Bytes of the instance in one chunk."""

FRAME_HEADER = struct.Struct(">H")
CHUNK_HEADER = struct.Struct(">I")
END = 0
STOP = 0xFFFF_FFFF
REFUSALS = {0xFFFF_FFFE: TunnelFailure.INSTANCE_LEAVING, 0xFFFF_FFFD: TunnelFailure.LATE}
"""Marks in the place of a chunk's length, and why the request wasn't passed on."""


class TunnelFrameError(Exception):
    """A frame is malformed or not authentic."""


class OpenRequest:
    """A request for a tunnel as it was received; ``verify`` shows whether its sender sent it."""

    def __init__(self, frame: bytes) -> None:
        """Decode a frame.

        Args:
            frame: The frame without its header.

        Raises:
            TunnelFrameError: If it is malformed.
        """
        self._tag, self._body = frame[:TAG_BYTES], frame[TAG_BYTES:]
        fields = _decode(self._body)
        if len(fields) != 4 or not all(isinstance(field, str) for field in fields):  # noqa: PLR2004
            raise TunnelFrameError("malformed")
        self.sender, self.gateway, instance_id, address = fields
        self.target = TunnelTarget(instance_id, address)

    def verify(self, key: bytes, challenge: bytes) -> None:
        """Check the tag.

        Raises:
            TunnelFrameError: If the holder of the key didn't sign this request and challenge.
        """
        _verify(self._tag, key, challenge, self._body)


def encode_open(
    sender: str, gateway: str, target: TunnelTarget, key: bytes, challenge: bytes
) -> bytes:
    """Return the frame that asks for a tunnel.

    Args:
        sender: Name of the asking node.
        gateway: Name of the node that is asked.
        target: The instance.
        key: Key of the asking node.
        challenge: Challenge of the gateway.
    """
    body = cbor2.dumps([sender, gateway, target.instance_id, target.address])
    return _frame(_tag(key, challenge, body) + body)


def encode_status(failure: TunnelFailure | None, key: bytes, challenge: bytes) -> bytes:
    """Return the frame that answers a request for a tunnel.

    Args:
        failure: Why none was opened; None if one was.
        key: Key of the gateway.
        challenge: Its challenge.
    """
    body = cbor2.dumps([failure.value if failure is not None else ""])
    return _frame(_tag(key, challenge, body) + body)


def decode_status(frame: bytes, key: bytes, challenge: bytes) -> TunnelFailure | None:
    """Return the failure that a gateway's answer names; None if the tunnel is open.

    Raises:
        TunnelFrameError: If the frame is malformed or the gateway didn't sign it.
    """
    body = frame[TAG_BYTES:]
    _verify(frame[:TAG_BYTES], key, challenge, body)
    fields = _decode(body)
    if len(fields) != 1 or not isinstance(fields[0], str):
        raise TunnelFrameError("malformed")
    if not fields[0]:
        return None
    try:
        return TunnelFailure(fields[0])
    except ValueError:
        return TunnelFailure.REJECTED


def encode_refusal(failure: TunnelFailure) -> bytes:
    """Return the mark that a request wasn't passed on.

    Args:
        failure: One of ``REFUSALS``; others are sent as ``LATE``.
    """
    marks = {known: mark for mark, known in REFUSALS.items()}
    return CHUNK_HEADER.pack(marks.get(failure, marks[TunnelFailure.LATE]))


def _frame(content: bytes) -> bytes:
    """Return a frame with its header."""
    return FRAME_HEADER.pack(len(content)) + content


def _decode(body: bytes) -> list[Any]:
    """Return the fields of a frame's body."""
    try:
        fields = cbor2.loads(body)
    except Exception as error:
        # Anyone may send a frame, and the decoder raises errors of many types.
        raise TunnelFrameError("malformed") from error
    if not isinstance(fields, list):
        raise TunnelFrameError("malformed")
    return fields


def _tag(key: bytes, challenge: bytes, body: bytes) -> bytes:
    """Return the authentication tag of a frame's body."""
    content = PURPOSE + challenge + body
    return hashlib.blake2b(content, key=key, digest_size=TAG_BYTES).digest()


def _verify(tag: bytes, key: bytes, challenge: bytes, body: bytes) -> None:
    """Raise ``TunnelFrameError`` unless the holder of a key made the tag."""
    if not hmac.compare_digest(tag, _tag(key, challenge, body)):
        raise TunnelFrameError("not authentic")
