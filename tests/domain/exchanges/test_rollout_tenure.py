"""The rollout's lease, step by step, in every order up to a depth, and in long random orders."""

import random
import unittest
from unittest import mock

from hopstep.domain.exchanges.rollout_lease_state import RolloutKey, RolloutLeaseState
from tests import fuzz_settings
from tests.domain.exchanges.rollout_world import NODES, World

DEPTH = 6
"""Steps of every order that is tried, from each of the starts."""

WALKS = 300
WALK_STEPS = 60
SETTLING_STEPS = 14
"""After everything is healed: within so many waits some node may order again."""

HOLDING = (("read", "a"), ("take", "a"), ("wait",), ("renew", "a"), ("wait",), ("renew", "a"))
STARTS = {
    "nobody holds it": (),
    "one holds it": (*HOLDING, ("read", "b")),
    "one holds it, and a copy shows it": (*HOLDING, ("read", "b"), ("copy",), ("renew", "a")),
    "one has held it, another holds it, a copy shows the first": (
        *HOLDING,
        ("copy",),
        ("cut", "a"),
        ("wait",),
        ("wait",),
        ("read", "b"),
        ("take", "b"),
        ("wait",),
        ("renew", "b"),
        ("wait",),
        ("renew", "b"),
    ),
}
LATE_WRITE = (
    ("copy",),
    ("read", "a"),
    ("send", "a"),
    ("restore",),
    ("register", "b"),
    ("land",),
)
"""A key bound to a lease whose number is another node's by the time it is written."""


def started(steps):
    world = World()
    for step in steps:
        world = world.step(step)
    return world


def search(start, depth):
    """Return the steps to a wrong state, or None; breadth first, each state once."""
    world = started(start)
    seen = {world.key()}
    level = [(world, ())]
    for _ in range(depth):
        following = []
        for state, steps in level:
            for action in state.actions():
                reached = state.step(action)
                if reached.wrong:
                    return (*steps, action, reached.wrong)
                key = reached.key()
                if key not in seen:
                    seen.add(key)
                    following.append((reached, (*steps, action)))
        level = following
    return None


def walk(seed, steps):
    """Return the first wrong state of a random walk, or the last state."""
    generator = random.Random(seed)
    world = started(generator.choice(list(STARTS.values())))
    for _ in range(steps):
        world = world.step(generator.choice(world.actions()))
        if world.wrong:
            break
    return world


def settle(world, nodes=NODES):
    """Heal some nodes, and return whether one of them may order before long."""
    for node in nodes:
        if world.cut[node]:
            world = world.step(("cut", node))
    for _ in range(SETTLING_STEPS):
        world = world.step(("wait",))
        for node in nodes:
            world = world.step(("read", node))
            held = world.tenures[node].is_held
            world = world.step(("renew" if held else "take", node))
        if world.wrong:
            return False
        if any(tenure.may_order(world.now, 0.1) for tenure in world.tenures.values()):
            return True
    return False


class RolloutTenureTest(unittest.TestCase):
    def test_no_order_of_steps_lets_two_nodes_order_or_a_token_fall(self):
        for name, start in STARTS.items():
            with self.subTest(name):
                self.assertIsNone(search(start, DEPTH))

    def test_no_long_walk_does_and_an_order_is_possible_again_after_it(self):
        for seed in range(round(WALKS * fuzz_settings.factor())):
            world = walk(seed, WALK_STEPS)
            self.assertEqual(world.wrong, "", seed)
            self.assertTrue(settle(world), seed)

    def test_a_late_write_bound_to_another_nodes_lease_blocks_nobody(self):
        world = started(LATE_WRITE)
        self.assertEqual(world.store.key.holder.name, "a")
        self.assertTrue(settle(world, ("b",)))


class TeethTest(unittest.TestCase):
    """Without a part of it the search finds what it prevents, and settling what it heals."""

    def check_found(self):
        walks = (walk(seed, WALK_STEPS).wrong for seed in range(10 * WALKS))
        self.assertTrue(any(walks) or any(search(start, DEPTH) for start in STARTS.values()))

    def test_tokens_without_the_era(self):
        with mock.patch("tests.domain.exchanges.rollout_world.fencing_token", _revision):
            self.check_found()

    def test_renewals_that_count_in_another_era(self):
        with mock.patch.object(World, "_renew", _renew_in_any_era):
            self.check_found()

    def test_no_wait_for_a_holder_of_before_the_restore(self):
        with mock.patch.object(RolloutLeaseState, "suspect_restore", lambda *_: None):
            self.check_found()

    def test_keys_of_earlier_eras_that_hold(self):
        with mock.patch.object(RolloutKey, "is_void", False):
            self.assertFalse(settle(started(LATE_WRITE), ("b",)))


def _renew_in_any_era(self, node):
    kept = self.store.keep(int(self.tenures[node].lease.name), self.now)
    self.store = kept or self.store
    if kept is not None:
        self.tenures[node].renew(self.now)
    else:
        self.tenures[node].end()


def _revision(version):
    return version.revision
