"""Entries of another writer, none of which names an instance; all lead to the decoy."""

from __future__ import annotations

import json
import random
from collections.abc import Callable

Document = dict[str, object]
"""An entry as it is written."""

FOREIGN_PREFIX = "foreign"
"""Ids under which nobody else lists itself begin so."""


def _without(name: str) -> Callable[[Document], Document]:
    """Return what leaves a field out."""
    return lambda entry: {key: value for key, value in entry.items() if key != name}


def _with(name: str, value: object) -> Callable[[Document], Document]:
    """Return what puts another value into a field."""
    return lambda entry: {**entry, name: value}


CHANGES = (
    *(_without(name) for name in ("service", "address", "zone", "version", "slots", "state")),
    *(_without(name) for name in ("coldRemainingMs", "callSequence", "born")),
    *(_with("state", value) for value in ("resting", "", None, 1)),
    *(_with("slots", value) for value in (0, -1, "4", 2.5, 10**9)),
    *(_with("born", value) for value in ("1", 1.5, -1, None)),
    _with("service", 7),
    _with("zone", []),
    _with("models", {}),
    _with("callSequence", -1),
)

NO_DOCUMENTS = (b"\xff\xfe", b"{", b"null", b"[]", b'"ready"')


def foreign_entry(generator: random.Random, service: str, zone: str, decoy: str) -> bytes:
    """Return an entry that names no instance.

    Args:
        generator: Draws what is wrong with it.
        service: Service that it claims.
        zone: Zone that it claims.
        decoy: Address that it claims.
    """
    if generator.random() < 0.2:
        return generator.choice(NO_DOCUMENTS)
    entry = whole_document(service, zone, decoy)
    return json.dumps(generator.choice(CHANGES)(entry)).encode()


def whole_document(service: str, zone: str, address: str) -> Document:
    """Return an entry of which nothing is wrong."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "callSequence": 0,
        "models": [],
        "born": 1_700_000_000_000,
    }
