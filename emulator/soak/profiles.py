"""Profiles of the faults that a soak draws.

A promise with a time bound applies only to nodes and a store without faults for a while. If the
store fails every few seconds, no such promise is ever checked; so most profiles leave some parts
undisturbed.
"""

from __future__ import annotations

import msgspec

STORE_KINDS = (
    "store outage",
    "store slow",
    "store loses answers",
    "store forgets history",
    "leases lapse",
)
NODE_KINDS = (
    "node without store",
    "node without peers",
    "node paused",
    "node killed",
    "node stopped",
    "settings reloaded",
    "callers' link",
    "store connections silent",
    "node suspended",
)
FLEET_KINDS = ("datagrams lost and late", "all nodes killed")
INSTANCE_KINDS = (
    "instance link",
    "instance crashed",
    "instance fails",
    "instance connections silent",
    "orders late",
    "instance restarts",
    "address passed on",
    "foreign entries",
)
FATAL = "fatal request"
FATAL_PART = "fatal part of prompts"
RESTORE = "store restored"
ANSWERS_REPEATED = "answers repeated"
ANSWERS_STOPPED = "answers stopped"
ANSWERS_ENDLESS = "answers without end"
ANSWERS_UNFRAMED = "answers without a length"
LINKS = "nodes without instances"
SOFTWARE = "software replaced"

CHANGE_KINDS = ("instance leaves", "key revoked", "weights named")
SETTINGS_KINDS = ("body limit changed", "tenants isolated", "key moved", "routes redirected")
"""Changes of the configuration that requests under way are judged by."""


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

FIRST_SEED_WITH_RESTORES = 10_000
"""First seed with restores in the profile "everything"; earlier seeds keep their profiles."""


FIRST_SEED_WITH_CUTS = 20_000
"""First seed with cut links in the profile "everything"."""


def _with_restores(profile: Profile) -> Profile:
    """Return the profile "everything" with restores added, and other profiles unchanged."""
    if profile.name != "everything":
        return profile
    kinds = (*profile.kinds, RESTORE)
    return msgspec.structs.replace(profile, name="everything, restores too", kinds=kinds)


PROFILES_WITH_RESTORES = tuple(_with_restores(profile) for profile in PROFILES)


def _with_cuts(profile: Profile) -> Profile:
    """Return the profile "everything" with restores and cut links, others unchanged."""
    if profile.name != "everything":
        return profile
    kinds = (*profile.kinds, RESTORE, LINKS, LINKS)
    return msgspec.structs.replace(profile, name="everything, cuts too", kinds=kinds)


PROFILES_WITH_CUTS = tuple(_with_cuts(profile) for profile in PROFILES)


FIRST_SEED_WITH_SOFTWARE = 70_000
"""First seed with several software versions in the profile "everything"."""


def _with_software(profile: Profile) -> Profile:
    """Return the profile "everything" with restores, cut links and software, others unchanged."""
    if profile.name != "everything":
        return profile
    kinds = (*profile.kinds, RESTORE, LINKS, LINKS, SOFTWARE, SOFTWARE)
    return msgspec.structs.replace(profile, name="everything, software too", kinds=kinds)


PROFILES_WITH_SOFTWARE = tuple(_with_software(profile) for profile in PROFILES)


FIRST_SEED_WITH_PARTS = 80_000
"""First seed with fatal parts of prompts in the profile "everything"."""


def _with_parts(profile: Profile) -> Profile:
    """Return the profile "everything" with all that later seeds have, others unchanged."""
    if profile.name != "everything":
        return profile
    kinds = (*profile.kinds, RESTORE, LINKS, LINKS, SOFTWARE, SOFTWARE, FATAL_PART, FATAL_PART)
    return msgspec.structs.replace(profile, name="everything, parts too", kinds=kinds)


PROFILES_WITH_PARTS = tuple(_with_parts(profile) for profile in PROFILES)


FIRST_SEED_WITH_ANSWERS = 100_000
"""First seed with faulty answers of instances in the profile "everything"."""


def _with_answers(profile: Profile) -> Profile:
    """Return the profile of later seeds with faulty answers in "everything", others unchanged."""
    if profile.name != "everything, parts too":
        return profile
    kinds = (
        *profile.kinds,
        *(ANSWERS_REPEATED,) * 4,
        ANSWERS_STOPPED,
        ANSWERS_UNFRAMED,
        ANSWERS_ENDLESS,
    )
    return msgspec.structs.replace(profile, name="everything, answers too", kinds=kinds)


PROFILES_WITH_ANSWERS = tuple(_with_answers(profile) for profile in PROFILES_WITH_PARTS)


def profile_of(seed: int, name: str = "") -> Profile:
    """Return the profile of a seed; consecutive seeds have different profiles.

    Args:
        seed: Seed of the soak.
        name: Name of a profile to return instead of the seed's; empty for the seed's.

    Raises:
        ValueError: If no profile has the name.
    """
    if not name:
        return _profiles_of(seed)[seed % len(PROFILES)]
    named = (
        *PROFILES,
        *PROFILES_WITH_RESTORES,
        *PROFILES_WITH_CUTS,
        *PROFILES_WITH_SOFTWARE,
        *PROFILES_WITH_PARTS,
        *PROFILES_WITH_ANSWERS,
        SHORT,
        PARTS,
        CHANGES,
        REPEATED_ANSWERS,
        REPEATED_IDS,
        NOTICES,
        LIMITS,
        RESTORES,
        CUTS,
        VERSIONS,
        SOFTWARE_VERSIONS,
    )
    found = {profile.name: profile for profile in named}
    if name not in found:
        raise ValueError(f"profile: expected one of {sorted(found)}, got {name!r}")
    return found[name]


def _profiles_of(seed: int) -> tuple[Profile, ...]:
    """Return the profiles from which a seed takes its own."""
    if seed >= FIRST_SEED_WITH_ANSWERS:
        return PROFILES_WITH_ANSWERS
    if seed >= FIRST_SEED_WITH_PARTS:
        return PROFILES_WITH_PARTS
    if seed >= FIRST_SEED_WITH_SOFTWARE:
        return PROFILES_WITH_SOFTWARE
    if seed >= FIRST_SEED_WITH_CUTS:
        return PROFILES_WITH_CUTS
    return PROFILES_WITH_RESTORES if seed >= FIRST_SEED_WITH_RESTORES else PROFILES
