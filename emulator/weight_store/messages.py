"""Bodies of the weight store's interface."""

from __future__ import annotations

import msgspec

LOADS_PATH = "/v1/loads"


class LoadRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights that an engine wants to read."""

    model: str
    weights_version: str


class LoadGrant(msgspec.Struct, frozen=True):
    """How long the read takes."""

    seconds: float
