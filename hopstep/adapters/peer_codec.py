"""Authenticated encoding of messages between routers: CBOR under HMAC-SHA256.

A frame is ``tag || length of key id || key id || CBOR header with payload``. The tag is the
first 16 bytes of HMAC-SHA256 over the cluster name, a context and the rest of the frame, so
frames from another cluster, for another use or with any changed byte are rejected. Nothing is
decoded before the tag is checked.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import Any

import cbor2
import msgspec

from hopstep.adapters.peer_keys import PeerKeys
from hopstep.clock import time_of_day_seconds
from hopstep.domain.peer_message import Body, PeerMessage
from hopstep.exceptions import ErrorCode, PeerMessageError

FORMAT = 1
"""Version of the frame format; frames of other versions are rejected."""

TAG_BYTES = 16
"""Bytes of the truncated HMAC: 128 bits, which RFC 2104 permits."""

MILLISECONDS = 1_000

MAX_SKEW_SECONDS = 30.0
"""Largest difference between a frame's time and this node's clock."""

REPLAY_WINDOW = 1024
"""Number of sequence numbers below the highest that are still accepted, each once."""

DATAGRAM_CONTEXT = b"datagram"
"""Context of frames sent over UDP."""


class Frame(msgspec.Struct, frozen=True):
    """An authenticated frame.

    Attributes:
        sender: Name of the sending member.
        incarnation: Its incarnation.
        sequence: Number of the frame within the incarnation.
        payload: Encoded content.
        tag: Its authentication tag, which the answer's context includes.
    """

    sender: str
    incarnation: int
    sequence: int
    payload: bytes
    tag: bytes


class _Header(msgspec.Struct, frozen=True, array_like=True):
    """Fields of a frame, in wire order; ``time_ms`` is Unix time."""

    format: int
    sender: str
    incarnation: int
    sequence: int
    time_ms: int
    payload: bytes


class ReplayWindow:
    """Tracks the sequence numbers seen from one sender's latest incarnation."""

    __slots__ = ("_highest", "_seen", "incarnation", "last_accepted_at")

    def __init__(self, incarnation: int) -> None:
        """Start without any sequence number seen.

        Args:
            incarnation: Incarnation that the numbers belong to.
        """
        self.incarnation = incarnation
        self.last_accepted_at = 0.0
        self._highest = 0
        self._seen = 0

    def admit(self, sequence: int) -> bool:
        """Return whether ``sequence`` is new, and record it."""
        if sequence > self._highest:
            shift = min(sequence - self._highest, REPLAY_WINDOW)
            self._seen = ((self._seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._highest = sequence
            return True
        age = self._highest - sequence
        if age >= REPLAY_WINDOW or self._seen >> age & 1:
            return False
        self._seen |= 1 << age
        return True


class PeerCodec:
    """Signs outgoing frames and checks incoming ones for one member."""

    def __init__(
        self,
        cluster: str,
        sender: str,
        incarnation: int,
        keys: PeerKeys,
        wall_clock: Callable[[], float] = time_of_day_seconds,
    ) -> None:
        """Start the sequence numbers of an incarnation.

        Args:
            cluster: Name of the cluster.
            sender: Own member name.
            incarnation: Own incarnation.
            keys: Cluster keys; the first one signs, all of them verify.
            wall_clock: Unix time in seconds.
        """
        self._cluster = cluster.encode()
        self._sender = sender
        self._keys = keys
        self._wall_clock = wall_clock
        self._sequence = 0
        self._windows: dict[str, ReplayWindow] = {}
        self._swept_at = 0.0
        self.incarnation = incarnation

    def use_incarnation(self, incarnation: int) -> None:
        """Sign further frames under another incarnation."""
        self.incarnation = incarnation

    def encode(self, body: Body) -> bytes:
        """Return the datagram for a message of this member."""
        return self.seal(encode_struct(body), DATAGRAM_CONTEXT)

    def decode(self, datagram: bytes) -> PeerMessage:
        """Return the message of a datagram.

        Raises:
            PeerMessageError: When it is truncated, forged, replayed, too old, from another
                cluster or of an unknown message type.
        """
        frame = self.open(datagram, DATAGRAM_CONTEXT)
        body = decode_struct(frame.payload, Body)
        return PeerMessage(frame.sender, frame.incarnation, body)

    def seal(self, payload: bytes, context: bytes) -> bytes:
        """Return a signed frame.

        Args:
            payload: Content.
            context: Purpose of the frame; the receiver must expect the same one.
        """
        self._sequence += 1
        key_id, key = self._keys.signing()
        now_ms = int(self._wall_clock() * MILLISECONDS)
        header = _Header(FORMAT, self._sender, self.incarnation, self._sequence, now_ms, payload)
        name = key_id.encode()
        rest = bytes((len(name),)) + name + encode_struct(header)
        return self._tag(key, context, rest) + rest

    def open(self, data: bytes, context: bytes) -> Frame:
        """Check a frame and return its content.

        Raises:
            PeerMessageError: As for ``decode``.
        """
        tag, rest = data[:TAG_BYTES], data[TAG_BYTES:]
        if not rest:
            raise _rejected("it is truncated or malformed")
        start = 1 + rest[0]
        key = self._keys.verifying(rest[1:start].decode("utf-8", "replace"))
        if key is None:
            raise _rejected("its key id is unknown")
        if not hmac.compare_digest(tag, self._tag(key, context, rest)):
            raise _rejected("it is forged or from another cluster")
        header = decode_struct(rest[start:], _Header)
        if header.format != FORMAT:
            raise _rejected("its format is unknown")
        self._check_fresh(header)
        return Frame(header.sender, header.incarnation, header.sequence, header.payload, tag)

    def _check_fresh(self, header: _Header) -> None:
        now = self._wall_clock()
        # In whole milliseconds: an integer of any size may have been sent.
        if abs(round(now * MILLISECONDS) - header.time_ms) > MAX_SKEW_SECONDS * MILLISECONDS:
            raise _rejected("its time is too far from this node's clock")
        self._sweep(now)
        window = self._windows.get(header.sender)
        if window is None or window.incarnation < header.incarnation:
            window = self._windows[header.sender] = ReplayWindow(header.incarnation)
        if window.incarnation > header.incarnation:
            raise _rejected("it is from an earlier incarnation")
        if not window.admit(header.sequence):
            raise _rejected("it is replayed")
        window.last_accepted_at = now

    def _sweep(self, now: float) -> None:
        """Remove the windows of senders whose earlier frames are too old to be accepted."""
        if now - self._swept_at < MAX_SKEW_SECONDS:
            return
        self._swept_at = now
        oldest = now - 2 * MAX_SKEW_SECONDS
        self._windows = {
            sender: window
            for sender, window in self._windows.items()
            if window.last_accepted_at >= oldest
        }

    def _tag(self, key: bytes, context: bytes, data: bytes) -> bytes:
        prefix = b"%d:%s%d:%s" % (len(self._cluster), self._cluster, len(context), context)
        return hmac.digest(key, prefix + data, "sha256")[:TAG_BYTES]


def encode_struct(value: msgspec.Struct) -> bytes:
    """Encode a struct as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode_struct(data: bytes, kind: Any) -> Any:
    """Decode a struct from CBOR.

    Raises:
        PeerMessageError: If it isn't CBOR or doesn't match ``kind``.
    """
    try:
        return msgspec.convert(cbor2.loads(data), kind, builtin_types=(bytes,))
    except Exception as error:
        # The decoder raises errors of many types, and other releases send other content.
        raise _rejected("it is truncated or malformed") from error


def encoded_size(value: msgspec.Struct) -> int:
    """Return the encoded size of a struct in bytes."""
    return len(encode_struct(value))


def _rejected(reason: str) -> PeerMessageError:
    return PeerMessageError(ErrorCode.PEER_MESSAGE_REJECTED, f"peer message rejected: {reason}")
