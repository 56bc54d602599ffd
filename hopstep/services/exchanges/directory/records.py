"""Keys that hopstep's nodes keep in the store, and the form of their values."""

from __future__ import annotations

import msgspec

from hopstep.domain.exchanges.nodes import NodeRecord
from hopstep.domain.exchanges.rollout_lease_state import RolloutHolder

NODES_PREFIX = "hopstep/nodes/"
"""A key for each node; its value is a ``NodeRecord``."""

ROLLOUT_KEY = "hopstep/rollout"
"""Exists while a node holds the rollout of weights; its value is a ``RolloutHolder``."""


def encode_holder(holder: RolloutHolder) -> bytes:
    """Return the value of the rollout's key."""
    return msgspec.json.encode(holder)


def decode_holder(value: bytes) -> RolloutHolder:
    """Return the holder that the rollout's key names.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    return msgspec.json.decode(value, type=RolloutHolder)


def encode_node(record: NodeRecord) -> bytes:
    """Return the value of a node's key."""
    return msgspec.json.encode(record)


def decode_node(value: bytes) -> NodeRecord:
    """Return a node's record.

    Raises:
        msgspec.DecodeError: Names the field that can't be read.
    """
    return msgspec.json.decode(value, type=NodeRecord)
