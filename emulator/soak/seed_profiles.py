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
    VERSIONS,
    Profile,
)

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
