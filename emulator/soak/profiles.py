"""Profiles of the faults that a soak draws.

A promise with a time bound applies only to nodes and a store without faults for a while. If the
store fails every few seconds, no such promise is ever checked; so most profiles leave some parts
undisturbed.
"""

from __future__ import annotations

import msgspec

from emulator.soak.fault_kinds import (
    ANSWERS_ENDLESS,
    ANSWERS_REPEATED,
    ANSWERS_STOPPED,
    ANSWERS_UNFRAMED,
    CHANGE_KINDS,
    FATAL,
    FATAL_PART,
    FLEET_KINDS,
    INSTANCE_KINDS,
    LINKS,
    NODE_KINDS,
    RESTORE,
    SETTINGS_KINDS,
    SOFTWARE,
    STARVING,
    STORE_KINDS,
    UNLISTED,
    UNREADABLE,
)


class Profile(msgspec.Struct, frozen=True):
    """Faults of a soak.

    Attributes:
        name: Name, printed with the result.
        kinds: Kinds that are drawn; one that is listed twice is drawn twice as often.
        pause_seconds: Time between the starts of two faults, shortest and longest.
        series_share: Share of drawn faults that are repeated in short succession.
        change_seconds: Mean time between two changes of the configuration.
    """

    name: str
    kinds: tuple[str, ...]
    pause_seconds: tuple[float, float]
    series_share: float
    change_seconds: float


PROFILES = (
    Profile(
        "everything",
        (*STORE_KINDS, *NODE_KINDS, *FLEET_KINDS, *INSTANCE_KINDS, *CHANGE_KINDS, FATAL),
        (0.3, 1.5),
        0.2,
        1.0,
    ),
    Profile(
        "calm store",
        (*NODE_KINDS, *INSTANCE_KINDS, *CHANGE_KINDS, *CHANGE_KINDS),
        (0.4, 1.5),
        0.3,
        0.4,
    ),
    Profile(
        "ways to the store",
        ("node without store", "node without store", "node without peers", "instance leaves"),
        (0.5, 2.0),
        0.3,
        0.4,
    ),
    Profile(
        "planned work",
        ("node stopped", "settings reloaded", "instance leaves", "key revoked", "weights named"),
        (0.5, 2.0),
        0.4,
        0.5,
    ),
    Profile(
        "store under changes",
        (*STORE_KINDS, "node stopped", *CHANGE_KINDS),
        (0.8, 3.0),
        0.2,
        0.5,
    ),
    Profile(
        "fatal requests",
        (
            FATAL,
            FATAL,
            "instance restarts",
            "instance crashed",
            "instance leaves",
            "node stopped",
            "node killed",
            "node suspended",
            "weights named",
            "store outage",
        ),
        (1.0, 4.0),
        0.2,
        1.0,
    ),
    Profile(
        "lives and entries",
        (
            "instance restarts",
            "instance restarts",
            "address passed on",
            "address passed on",
            "foreign entries",
            "foreign entries",
            "node suspended",
            "orders late",
            *CHANGE_KINDS,
        ),
        (0.4, 1.5),
        0.3,
        0.8,
    ),
)


SHORT = Profile(
    "instances in short",
    (
        FATAL,
        "instance restarts",
        "address passed on",
        "foreign entries",
        "node suspended",
        "instance crashed",
        *CHANGE_KINDS,
    ),
    (0.2, 0.8),
    0.2,
    0.8,
)
"""Faults of instances in one profile, for soaks that are too short for all profiles."""


NOTICES = Profile(
    "words of instances",
    (
        "instance says it leaves",
        "instance says it leaves",
        "instances want rest",
        "instances want rest",
        "instances want rest",
        "store outage",
        "node without store",
        "node without peers",
        "instance restarts",
        "instance leaves",
        "node suspended",
        "node killed",
        "weights named",
        "settings reloaded",
    ),
    (0.3, 1.2),
    0.3,
    0.8,
)
"""Notices of instances in responses, combined with store outages and restarts of instances.

Chosen by name only, so that seeds keep their profiles.
"""


LIMITS = Profile(
    "limits of instances",
    (
        "instances name limits",
        "instances name limits",
        "instances name limits",
        "instances want rest",
        "instance says it leaves",
        "instance restarts",
        "instance leaves",
        "store outage",
        "node without store",
        "node without peers",
        "node suspended",
        "node killed",
        "node stopped",
        "weights named",
    ),
    (0.5, 1.8),
    0.3,
    0.8,
)
"""Limits at one, half and all instances of a service, combined with backoff, shutdowns, restarts,
store outages, and nodes that are cut off, suspended and restarted; chosen by name only."""


RESTORES = Profile(
    "restored store",
    (
        RESTORE,
        RESTORE,
        RESTORE,
        "store outage",
        "store slow",
        "store loses answers",
        "node without store",
        "node without peers",
        "node paused",
        "node suspended",
        "node killed",
        "all nodes killed",
        "node stopped",
        "instance crashed",
        "instance restarts",
        "instance says it leaves",
        "instances want rest",
        "instances name limits",
        *CHANGE_KINDS,
        *CHANGE_KINDS,
    ),
    (0.4, 1.6),
    0.25,
    0.5,
)
"""Restores of the store from backups, also in series and while documents are being rewritten.

Combined with faults that may coincide with a restore: lease holders that are paused or killed,
nodes that start, changes right after it. Chosen by name only.
"""

VERSIONS = Profile(
    "versions side by side",
    (
        "node replaced",
        "node replaced",
        "node replaced",
        "node replaced",
        "store outage",
        "node without store",
        "node without peers",
        "node killed",
        "instance crashed",
        "instance leaves",
        "key revoked",
        "weights named",
        "weights named",
    ),
    (0.8, 2.5),
    0.2,
    0.8,
)
"""Nodes of two builds; chosen by name only, and needs another build. It has no notices of
instances, as earlier builds don't obey them."""


CUTS = Profile(
    "cut links",
    (
        LINKS,
        LINKS,
        LINKS,
        LINKS,
        "node stopped",
        "node killed",
        "node without store",
        "node without peers",
        "store outage",
        "instance leaves",
        "instance restarts",
        "weights named",
        "key revoked",
    ),
    (0.8, 2.5),
    0.2,
    0.8,
)
"""Nodes that lose their links to all instances, also one set after another, combined with stops,
kills, changes and store outages; chosen by name only."""


SOFTWARE_VERSIONS = Profile(
    "software versions",
    (
        SOFTWARE,
        SOFTWARE,
        "instance crashed",
        "instance crashed",
        "instance restarts",
        "instance restarts",
        "instance restarts",
        "instance fails",
        "instance link",
        "instance leaves",
        "node killed",
        "node killed",
        "node killed",
        "all nodes killed",
        "node stopped",
        "node suspended",
        "callers' link",
        "datagrams lost and late",
        "node without store",
        "node without peers",
        "store outage",
        "instances name limits",
        LINKS,
        "weights named",
    ),
    (0.4, 1.4),
    0.25,
    0.8,
)
"""Engines of several software versions that are replaced there and back, crash, and come back under
their ids with any of them, while callers resume their streams at other nodes. Chosen by name only.
"""


PARTS = Profile(
    "fatal parts",
    (
        FATAL_PART,
        FATAL_PART,
        FATAL_PART,
        FATAL,
        "instance crashed",
        "instance restarts",
        "instance restarts",
        "instance leaves",
        "node killed",
        "node killed",
        "all nodes killed",
        "node stopped",
        "node suspended",
        "node without store",
        "node without peers",
        "store outage",
        "datagrams lost and late",
        "weights named",
    ),
    (1.0, 3.5),
    0.2,
    1.0,
)
"""Parts of prompts that crash engines, also several at once, beside crashes of other causes, nodes
that are killed, one and all, and a store that is away; chosen by name only."""


CHANGES = Profile(
    "changes under way",
    (
        *SETTINGS_KINDS,
        *SETTINGS_KINDS,
        "routes redirected",
        "routes redirected",
        *("node stopped",) * 6,
        "node started slowly",
    ),
    (0.4, 1.4),
    0.2,
    1.0,
)
"""Limits, tenants, keys and services that change while heads and bodies arrive in pieces, on
connections that are kept through stops, and nodes that start beside a slow store; chosen by name
only, as it has callers of its own."""


ANSWER_KINDS = (
    *(ANSWERS_REPEATED,) * 8,
    *(ANSWERS_STOPPED,) * 3,
    ANSWERS_ENDLESS,
    ANSWERS_UNFRAMED,
    LINKS,
    *("instance fails for a while",) * 3,
    "instance freezes",
    "instances want rest",
    "instance restarts",
    "instance leaves",
    "address passed on",
    "orders late",
    *("weights named",) * 3,
)

REPEATED_ANSWERS = Profile("repeated answers", ANSWER_KINDS, (0.1, 0.5), 0.3, 1.0)
"""Instances that answer twice, stop in their answers, or send bytes without end, and also fail and
freeze; callers never send an id twice. Chosen by name only, as it has callers of its own."""

REPEATED_IDS = Profile("repeated answers and ids", ANSWER_KINDS, (0.1, 0.5), 0.3, 1.0)
"""The same, with callers that send an id several times to one node, also at the same time."""

UNREADABLE_VALUES = Profile(
    "unreadable values",
    (
        *(UNREADABLE,) * 4,
        *("all nodes killed",) * 3,
        "foreign entries",
        "node killed",
        "node stopped",
        "node paused",
        "store outage",
        "store forgets history",
        "instance restarts",
        "weights named",
    ),
    (0.4, 1.5),
    0.2,
    1.0,
)
"""Entries and records of another writer that can't be read, also before a start of all nodes, and
several of the largest size at once; chosen by name only."""


STARVED_NODES = Profile(
    "starved nodes",
    (
        *(STARVING,) * 4,
        *("instance leaves",) * 4,
        *(UNLISTED,) * 4,
        "instance says it leaves",
        LINKS,
        LINKS,
        "key revoked",
        "weights named",
    ),
    (0.2, 0.8),
    0.3,
    0.6,
)
"""Nodes that get little processor time, in short pieces, while instances drain one after the other
and other nodes lose their links; chosen by name only."""


CONNECTIONS = Profile(
    "ends of connections",
    (
        *("node stopped",) * 4,
        "node killed",
        "node suspended",
        "settings reloaded",
        "key revoked",
        "instance leaves",
        "weights named",
    ),
    (0.5, 2.0),
    0.3,
    0.5,
)
"""Nodes that stop, are reloaded, killed and suspended while callers send requests behind each other
and half-close; chosen by name only, as it has callers of its own."""
