"""Profiles of faults: together they draw each kind, and several leave the store undisturbed."""

import random
import tempfile
import unittest
from pathlib import Path

from emulator.soak.callers import Callers
from emulator.soak.deployment import Deployment
from emulator.soak.fault_kinds import ANSWERS_REPEATED, FATAL_PART, RESTORE, SOFTWARE, STORE_KINDS
from emulator.soak.faults import Faults
from emulator.soak.hostile_callers import HostileCallers
from emulator.soak.operators import Operator
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
    STARVED_NODES,
    UNREADABLE_VALUES,
    VERSIONS,
)
from emulator.soak.seed_profiles import profile_of

CHOSEN_BY_NAME = (
    NOTICES,
    LIMITS,
    RESTORES,
    CUTS,
    VERSIONS,
    SOFTWARE_VERSIONS,
    STARVED_NODES,
    PARTS,
    CHANGES,
    REPEATED_ANSWERS,
    REPEATED_IDS,
    UNREADABLE_VALUES,
)


class ProfilesTest(unittest.TestCase):
    def known_kinds(self, profile):
        with tempfile.TemporaryDirectory() as directory:
            generator = random.Random(1)
            deployment = Deployment(Path(directory), generator)
            operator = Operator(deployment, generator)
            callers = HostileCallers(deployment, Callers(deployment, generator, 1.0), generator)
            return Faults(deployment, operator, callers, generator, profile).kinds

    def test_profiles_draw_known_kinds_and_all_of_them(self):
        drawn = {kind for profile in (*PROFILES, *CHOSEN_BY_NAME) for kind in profile.kinds}
        self.assertEqual(drawn, self.known_kinds(PROFILES[0]))

    def test_a_profile_is_found_by_its_name(self):
        for profile in (*PROFILES, SHORT, *CHOSEN_BY_NAME):
            self.assertIs(profile_of(1, profile.name), profile)
        with self.assertRaisesRegex(ValueError, "profile: expected one of"):
            profile_of(1, "none")
        self.assertLessEqual(set(SHORT.kinds), self.known_kinds(SHORT))

    def test_some_profiles_leave_the_store_calm(self):
        undisturbed = [p for p in PROFILES if not set(p.kinds) & set(STORE_KINDS)]
        self.assertGreaterEqual(len(undisturbed), 3)

    def test_the_newest_seeds_draw_faulty_answers_among_everything(self):
        names = {profile_of(seed).name for seed in range(100_000, 100_007)}
        self.assertIn("everything, answers too", names)
        older = {kind for seed in range(80_000, 80_007) for kind in profile_of(seed).kinds}
        self.assertNotIn(ANSWERS_REPEATED, older)

    def test_newer_seeds_draw_fatal_parts_among_everything(self):
        names = {profile_of(seed).name for seed in range(80_000, 80_007)}
        self.assertIn("everything, parts too", names)
        older = {kind for seed in range(70_000, 70_007) for kind in profile_of(seed).kinds}
        self.assertNotIn(FATAL_PART, older)

    def test_newer_seeds_draw_restores_among_everything(self):
        names = {profile_of(seed).name for seed in range(10_000, 10_007)}
        self.assertIn("everything, restores too", names)
        self.assertNotIn(RESTORE, {k for seed in range(7) for k in profile_of(seed).kinds})

    def test_newer_seeds_still_draw_software_among_everything(self):
        names = {profile_of(seed).name for seed in range(70_000, 70_007)}
        self.assertIn("everything, software too", names)
        earlier = {kind for seed in range(60_000, 60_007) for kind in profile_of(seed).kinds}
        self.assertNotIn(SOFTWARE, earlier)

    def test_seeds_in_a_row_meet_all_profiles(self):
        found = {profile_of(seed).name for seed in range(7, 7 + len(PROFILES))}
        self.assertEqual(found, {profile.name for profile in PROFILES})
