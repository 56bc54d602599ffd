"""Which faults a soak draws: days on which everything fails prove little of what is bound in time.

A promise with a bound holds for nodes and a store that are undisturbed for a while. While the store
fails every few seconds no such promise is ever judged; so most profiles leave something calm.
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
RESTORE = "store restored"

CHANGE_KINDS = ("instance leaves", "key revoked", "weights named")


class Profile(msgspec.Struct, frozen=True):
    """Faults of a soak.

    Attributes:
        name: Printed with the verdict.
        kinds: Kinds that are drawn; one that stands twice is drawn twice as often.
        pause_seconds: Between the begins of two faults, shortest and longest.
        series_share: Share of drawn faults that come several times, one shortly after the other.
        change_seconds: Between two changes of the configuration.
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
"""What happens to instances, in one profile for soaks that are too short for all."""


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
"""What instances say of themselves in answers, while the store can't say it and beside later lives.

By name only: the seeds of the others stay what they were.
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
"""Limits at one, half and all instances of a service, beside rests, leavings, later lives, a store
that is away, and nodes that are cut off, suspended and start anew; by name only."""


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
"""A store that comes back from copies, in series and within each other's rewriting, beside all that
a restore may meet: holders that are paused or killed, nodes that start, changes right after it."""

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
"""Nodes of two builds; by name only, with another build. It has no words of instances: builds
before they were heard don't keep them."""


FIRST_SEED_WITH_RESTORES = 10_000
"""Seeds from here on draw restores among everything; those before stay what they were."""


def _with_restores(profile: Profile) -> Profile:
    """Return a profile of everything with restores, others as they are."""
    if profile.name != "everything":
        return profile
    kinds = (*profile.kinds, RESTORE)
    return msgspec.structs.replace(profile, name="everything, restores too", kinds=kinds)


PROFILES_WITH_RESTORES = tuple(_with_restores(profile) for profile in PROFILES)


def profile_of(seed: int, name: str = "") -> Profile:
    """Return the profile of a seed: they take turns, so that a few seeds meet all of them.

    Args:
        seed: Chooses one.
        name: Of the one to take in place of that.

    Raises:
        ValueError: When no profile has the name.
    """
    if not name:
        newer = seed >= FIRST_SEED_WITH_RESTORES
        return (PROFILES_WITH_RESTORES if newer else PROFILES)[seed % len(PROFILES)]
    by_name = (*PROFILES, *PROFILES_WITH_RESTORES, SHORT, NOTICES, LIMITS, RESTORES, VERSIONS)
    found = {profile.name: profile for profile in by_name}
    if name not in found:
        raise ValueError(f"profile: expected one of {sorted(found)}, got {name!r}")
    return found[name]
