"""Replays loads for which placement was changed, and compares it with the choice by cost alone."""

import unittest

from tests.domain.exchanges.placement_replay import Load, Replay

SHORT = Load("short", 116.0, 383, 0.423, 8)
LONG = Load("long", 13.5, 17_020, 0.863, 20)
UNEVEN = (0.8, 1.4, 1.0, 0.9, 1.2, 0.7, 1.1, 1.3, 0.8, 1.0, 1.4, 0.9)
SEEDS = (1, 2, 3)


def late(loads, seconds, *replay, **options):
    """Return the mean share of late prompts by route over some seeds."""
    found = [Replay(*replay, **options, seed=seed).run(loads, seconds) for seed in SEEDS]
    return {route: sum(each[route] for each in found) / len(found) for route in found[0]}


class PlacementReplayTest(unittest.TestCase):
    def test_short_prompts_behind_long_ones(self):
        """Guards against urgent short prompts that wait for prompts of others to be prefilled."""
        mixed = late((SHORT, LONG), 12, 24, UNEVEN, separate=False)
        separated = late((SHORT, LONG), 12, 24, UNEVEN)
        self.assertLess(separated["short"], mixed["short"] / 3)
        self.assertLess(separated["long"], mixed["long"] + 0.05)

    def test_newer_weights_at_a_quarter_of_the_engines(self):
        """Guards against prompts that are late at the few engines that have loaded them."""
        options = {"versions": (2, 2, 2) + (1,) * 9, "separate": False}
        load = Load("short", 300.0, 383, 0.1, 8)
        before = late((load,), 6, 1, (1.0,) * 12, improved=False, **options)
        after = late((load,), 6, 1, (1.0,) * 12, **options)
        self.assertLess(after["short"], before["short"] / 5)

    def test_many_nodes_with_the_same_reports(self):
        """Guards against engines that get the prompts of all nodes while others idle."""
        before = late((LONG,), 6, 75, UNEVEN, improved=False)
        after = late((LONG,), 6, 75, UNEVEN, separate=False)
        self.assertLess(after["long"], 0.8 * before["long"])
