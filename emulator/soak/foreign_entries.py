"""Invalid entries of an unknown writer: none describes a usable instance.

Those that contain an address contain the decoy's.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable

Document = dict[str, object]
"""An entry's JSON object."""

FOREIGN_PREFIX = "foreign"
"""Prefix of instance ids that no real instance uses."""


def _remove_field(name: str) -> Callable[[Document], Document]:
    """Return a function that removes a field from an entry."""
    return lambda entry: {key: value for key, value in entry.items() if key != name}


def _replace_field(name: str, value: object) -> Callable[[Document], Document]:
    """Return a function that replaces the value of a field of an entry."""
    return lambda entry: {**entry, name: value}


CHANGES = (
    *(_remove_field(name) for name in ("service", "address", "zone", "version", "slots", "state")),
    *(_remove_field(name) for name in ("coldRemainingMs", "callSequence", "born")),
    *(_replace_field("state", value) for value in ("resting", "", None, 1)),
    *(_replace_field("slots", value) for value in (0, -1, "4", 2.5, 10**9)),
    *(_replace_field("born", value) for value in ("1", 1.5, -1, None)),
    _replace_field("service", 7),
    _replace_field("zone", []),
    _replace_field("models", {}),
    _replace_field("callSequence", -1),
)

LARGEST_VALUE = 1 << 20
"""Bytes of the longest value that the store takes."""

UNREADABLE_CHANGES = (
    _replace_field("address", "10.0.0.1:" + "9" * 5_000),
    _replace_field("address", "[fe80::1%" + "a" * 500 + "]:80"),
    _replace_field("address", "1." * 200_000),
    _replace_field("version", "v" * 500_000),
    _replace_field("callSequence", 10**400),
    _replace_field("born", 10**400),
    _replace_field("models", [{"name": f"m{number}", "version": 1} for number in range(25_000)]),
)
"""Drawn only where such values are left on purpose, so that ``CHANGES`` stays what seeds draw."""

UNREADABLE_VALUES = (
    b"\xff" * LARGEST_VALUE,
    b"[" * LARGEST_VALUE,
    b'{"a":' * 200_000,
    b"9" * 100_000,
)

ORIGIN_FIELDS = ("a2V5", "s", "v", "i", 10**400, 10**400)
UNREADABLE_RECORDS = (
    ("streams/foreign/{}", json.dumps([ORIGIN_FIELDS]).encode()),
    ("nodes/foreign{}", b'{"address": "127.0.0.1:70000", "key": "a2V5", "capacity": 1e9}'),
    ("nodes/foreign{}", b'{"address": "x", "key": ""}'),
    ("quarantine/{}", b'{"trials": "1"}'),
    ("quarantine/not-hexadecimal-{}", b"{}"),
)
"""Patterns of keys under the prefix of hopstep's own, with values of another writer."""

OWN_PREFIX = "hopstep/"

NOT_OBJECTS = (b"\xff\xfe", b"{", b"null", b"[]", b'"ready"')


def foreign_entry(generator: random.Random, service: str, zone: str, decoy: str) -> bytes:
    """Return an entry that describes no usable instance.

    Args:
        generator: Draws what is wrong with the entry.
        service: Service in the entry.
        zone: Zone in the entry.
        decoy: Address in the entry.
    """
    if generator.random() < 0.2:
        return generator.choice(NOT_OBJECTS)
    entry = valid_document(service, zone, decoy)
    return json.dumps(generator.choice(CHANGES)(entry)).encode()


def unreadable_entry(generator: random.Random, service: str, zone: str, decoy: str) -> bytes:
    """Return an entry whose reading may raise an undeclared error, or that is very large.

    Args:
        generator: Draws what is wrong with the entry.
        service: Service in the entry.
        zone: Zone in the entry.
        decoy: Address in the entry.
    """
    if generator.random() < 0.4:
        return generator.choice(UNREADABLE_VALUES)
    entry = valid_document(service, zone, decoy)
    return json.dumps(generator.choice(UNREADABLE_CHANGES)(entry)).encode()


def unreadable_record(generator: random.Random) -> tuple[str, bytes]:
    """Return the key and the value of a record that another writer left under hopstep's keys."""
    pattern, value = generator.choice(UNREADABLE_RECORDS)
    return OWN_PREFIX + pattern.format(generator.randbytes(3).hex()), value


def valid_document(service: str, zone: str, address: str) -> Document:
    """Return a valid entry."""
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
