"""The rollout lease in all orders of steps up to a depth, and in long random orders."""

import random
import unittest
from unittest import mock

from hopstep.domain.exchanges.rollout_lease_state import RolloutKey, RolloutLeaseState
from tests import fuzz_settings
from tests.domain.exchanges.rollout_world import NODES, World

DEPTH = 6
"""Length of the orders that are tried from each start."""

WALKS = 300
WALK_STEPS = 60
SETTLING_STEPS = 14
"""Waits after the end of all faults within which some node must be able to order again."""

HOLDING = (("read", "a"), ("take", "a"), ("wait",), ("renew", "a"), ("wait",), ("renew", "a"))
STARTS = {
    "nobody holds it": (),
    "one holds it": (*HOLDING, ("read", "b")),
    "one holds it, and a backup shows it": (*HOLDING, ("read", "b"), ("backup",), ("renew", "a")),
    "one has held it, another holds it, a backup shows the first": (
        *HOLDING,
        ("backup",),
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
    ("backup",),
    ("read", "a"),
    ("send", "a"),
    ("restore",),
    ("register", "b"),
    ("land",),
)
"""A key bound to a lease whose number belongs to another node by the time the key is written."""


def started(steps):
    world = World()
    for step in steps:
        world = world.step(step)
    return world


def search(start, depth):
    """Return the steps to a wrong state, or None; breadth-first, each state once."""
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
    """Reconnect some nodes, and return whether one may order within ``SETTLING_STEPS`` waits."""
    for node in nodes:
        if world.cut[node]:
            world = world.step(("cut", node))
    for _ in range(SETTLING_STEPS):
        world = world.step(("wait",))
        for node in nodes:
            world = world.step(("read", node))
            held = world.lease_states[node].is_held
            world = world.step(("renew" if held else "take", node))
        if world.wrong:
            return False
        if any(
            lease_state.may_order(world.now, 0.1) for lease_state in world.lease_states.values()
        ):
            return True
    return False


class RolloutLeaseStateTest(unittest.TestCase):
    def test_no_order_of_steps_lets_two_nodes_order_or_a_token_decrease(self):
        for name, start in STARTS.items():
            with self.subTest(name):
                self.assertIsNone(search(start, DEPTH))

    def test_long_walks_are_safe_and_an_order_is_possible_again_after_them(self):
        for seed in range(round(WALKS * fuzz_settings.factor())):
            world = walk(seed, WALK_STEPS)
            self.assertEqual(world.wrong, "", seed)
            self.assertTrue(settle(world), seed)

    def test_a_late_write_bound_to_another_nodes_lease_blocks_nobody(self):
        world = started(LATE_WRITE)
        self.assertEqual(world.store.key.holder.name, "a")
        self.assertTrue(settle(world, ("b",)))


class WrongVariantsTest(unittest.TestCase):
    """With a part of the rules disabled, the search finds a wrong state, or settling fails."""

    def check_found(self):
        walks = (walk(seed, WALK_STEPS).wrong for seed in range(10 * WALKS))
        self.assertTrue(any(walks) or any(search(start, DEPTH) for start in STARTS.values()))

    def test_tokens_without_the_era(self):
        with mock.patch("tests.domain.exchanges.rollout_world.fencing_token", _revision):
            self.check_found()

    def test_renewals_that_are_valid_in_another_era(self):
        with mock.patch.object(World, "_renew", _renew_in_any_era):
            self.check_found()

    def test_no_wait_for_the_holder_before_a_restore(self):
        with mock.patch.object(RolloutLeaseState, "suspect_restore", lambda *_: None):
            self.check_found()

    def test_keys_that_are_valid_in_later_eras(self):
        with mock.patch.object(RolloutKey, "is_void", False):
            self.assertFalse(settle(started(LATE_WRITE), ("b",)))


def _renew_in_any_era(self, node):
    kept = self.store.keep(int(self.lease_states[node].lease.name), self.now)
    self.store = kept or self.store
    if kept is not None:
        self.lease_states[node].renew(self.now)
    else:
        self.lease_states[node].end()


def _revision(version):
    return version.revision
