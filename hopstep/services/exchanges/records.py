"""Keys that hopstep's nodes keep in the store."""

from __future__ import annotations

NODES_PREFIX = "hopstep/nodes/"
"""A key for each node; its value is the address of its datagrams."""

ROLLOUT_KEY = "hopstep/rollout"
"""Exists while a node holds the rollout of weights; its value names the holder."""
