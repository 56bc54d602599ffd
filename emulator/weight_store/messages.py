"""Message bodies of the weight store's HTTP API."""

from __future__ import annotations

import msgspec

LOADS_PATH = "/v1/loads"


class LoadRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights that an engine asks to load."""

    model: str
    weights_version: str


class LoadGrant(msgspec.Struct, frozen=True):
    """Duration of a granted load."""

    seconds: float
