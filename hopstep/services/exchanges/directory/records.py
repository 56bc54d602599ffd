"""Keys that hopstep's nodes write to the store, and the encoding of their values."""

from __future__ import annotations

import hashlib

import msgspec

from hopstep.decoding import decode_json
from hopstep.domain.addresses import parse_address
from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.exchanges.rollout_lease_state import RolloutHolder
from hopstep.domain.exchanges.streams.recorded_versions import VersionsRecord
from hopstep.exceptions import ValidationError

MAX_RECORD_BYTES = 256 * 1024
"""Longest record: a batch of 512 origins of streams, with names of the longest sizes."""

NODES_PREFIX = "hopstep/nodes/"
"""Prefix of the keys of nodes; each value is a ``NodeRecord``."""

ROLLOUT_KEY = "hopstep/rollout"
"""Exists while a node holds the rollout lease; its value is a ``RolloutHolder``."""

VERSIONS_KEY = "hopstep/software-versions"
"""Software versions at which streams may have begun; its value is a ``VersionsRecord``."""

STREAMS_PREFIX = "hopstep/streams/"
"""Prefix of the keys of origins of streams; each value is a list of ``ReportedOrigin``."""


def is_passed_on(key: str) -> bool:
    """Return whether nodes pass on the changes of a key to each other.

    Origins of streams are many, and a node that needs one asks for it.
    """
    return not key.startswith(STREAMS_PREFIX)


def require_bounded(value: bytes) -> None:
    """Check the size of a record before it is decoded, as any client of the store may write one.

    Raises:
        msgspec.DecodeError: When it is too long.
    """
    if len(value) > MAX_RECORD_BYTES:
        raise msgspec.DecodeError(f"expected at most {MAX_RECORD_BYTES} bytes, got {len(value)}")


def encode_holder(holder: RolloutHolder) -> bytes:
    """Return the value of the rollout's key."""
    return msgspec.json.encode(holder)


def decode_holder(value: bytes) -> RolloutHolder:
    """Return the holder from the value of the rollout's key.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    require_bounded(value)
    return decode_json(value, RolloutHolder)


def encode_versions(record: VersionsRecord) -> bytes:
    """Return the value of the key of software versions."""
    return msgspec.json.encode(record)


def decode_versions(value: bytes) -> VersionsRecord:
    """Return the record from the value of the key of software versions.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    require_bounded(value)
    return decode_json(value, VersionsRecord)


def encode_node(record: NodeRecord) -> bytes:
    """Return the value of a node's key."""
    return msgspec.json.encode(record)


def decode_node(value: bytes) -> NodeRecord:
    """Return a node's record from the value of its key.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    require_bounded(value)
    record = decode_json(value, NodeRecord)
    if not 0 < len(record.key) <= hashlib.blake2b.MAX_KEY_SIZE:
        raise msgspec.ValidationError("Expected a key that signs messages - at `$.key`")
    try:
        parse_address(record.address)
    except ValidationError as error:
        raise msgspec.ValidationError("Expected `ip:port` - at `$.address`") from error
    return record
