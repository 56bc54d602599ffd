"""How the profile of a seed is drawn.

Profiles that were added later apply from a given seed on, so that earlier seeds repeat their soaks.
"""

from __future__ import annotations

import msgspec

from emulator.soak.fault_kinds import (
    ANSWERS_ENDLESS,
    ANSWERS_REPEATED,
    ANSWERS_STOPPED,
    ANSWERS_UNFRAMED,
    FATAL_PART,
    LINKS,
    RESTORE,
    SOFTWARE,
)
from emulator.soak.profiles import (
    CHANGES,
    CONNECTIONS,
    CUTS,
    LIMITS,
    NOTICES,
    PARTS,
    PROFILES,
    REPEATED_ANSWERS,
    REPEATED_IDS,
    RESTORES,
    SHORT,
    SOFTWARE_VERSIONS,
    STARVED_NODES,
    UNREADABLE_VALUES,
    VERSIONS,
    Profile,
)

EVERYTHING = "everything"
"""Name of the profile that later seeds extend."""

FIRST_SEED_WITH_RESTORES = 10_000
FIRST_SEED_WITH_CUTS = 20_000
FIRST_SEED_WITH_SOFTWARE = 70_000
FIRST_SEED_WITH_PARTS = 80_000
FIRST_SEED_WITH_ANSWERS = 100_000
"""First seeds whose profile "everything" has restores, cut links, several software versions, fatal
parts of prompts, and faulty answers of instances; earlier seeds keep their profiles."""


def _extended(what: str, *kinds: str) -> tuple[Profile, ...]:
    """Return all profiles, with kinds of faults added to "everything".

    Args:
        what: Names the newest kinds in the name of the extended profile.
        kinds: All kinds that are added.
    """
    return tuple(
        msgspec.structs.replace(
            profile, name=f"{EVERYTHING}, {what} too", kinds=(*profile.kinds, *kinds)
        )
        if profile.name == EVERYTHING
        else profile
        for profile in PROFILES
    )


WITH_CUTS = (RESTORE, LINKS, LINKS)
WITH_SOFTWARE = (*WITH_CUTS, SOFTWARE, SOFTWARE)
WITH_PARTS = (*WITH_SOFTWARE, FATAL_PART, FATAL_PART)
WITH_ANSWERS = (
    *WITH_PARTS,
    *(ANSWERS_REPEATED,) * 4,
    ANSWERS_STOPPED,
    ANSWERS_UNFRAMED,
    ANSWERS_ENDLESS,
)
"""Kinds of faults that "everything" has besides its own, by the newest of them."""

PROFILES_WITH_RESTORES = _extended("restores", RESTORE)
PROFILES_WITH_CUTS = _extended("cuts", *WITH_CUTS)
PROFILES_WITH_SOFTWARE = _extended("software", *WITH_SOFTWARE)
PROFILES_WITH_PARTS = _extended("parts", *WITH_PARTS)
PROFILES_WITH_ANSWERS = _extended("answers", *WITH_ANSWERS)


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
        CONNECTIONS,
        REPEATED_ANSWERS,
        REPEATED_IDS,
        NOTICES,
        LIMITS,
        RESTORES,
        CUTS,
        VERSIONS,
        SOFTWARE_VERSIONS,
        STARVED_NODES,
        UNREADABLE_VALUES,
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
