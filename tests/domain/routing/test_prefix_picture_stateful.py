"""Stateful fuzzing of the prefix index against an oracle of plain sets.

Heads are learned, stored and evicted, and engines restarted, in any order, while the maximum
changes: the size stays within the maximum, and a head is never reported for an engine unless it
was learned of its current incarnation and not evicted since. While nothing was dropped for the
maximum, the index equals the oracle.
"""

import unittest

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hopstep.domain.routing import prefix_index

# Examples of the wrong variants are derived from their source text, which this name is part of.
from hopstep.domain.routing.prefix_index import PrefixIndex as PrefixPicture
from tests import fuzz_settings

STRIDE = 4
PROMPTS = ((4, 8, 12), (4, 8, 16, 20), (24, 28), (24, 32, 36, 40, 44))
KEYS = (*sorted({head for prompt in PROMPTS for head in prompt}), 5, 46)
ENGINES = ("e1", "e2", "e3")
BOUND = 6

engines = strategies.sampled_from(ENGINES)
prompts = strategies.sampled_from(PROMPTS)
incarnations = strategies.sampled_from(("a", "b"))
key_sets = strategies.sets(strategies.sampled_from(KEYS), max_size=4)


class PictureMachine(RuleBasedStateMachine):
    make = PrefixPicture

    def __init__(self):
        super().__init__()
        self.picture = self.make(BOUND, STRIDE)
        self.bound = BOUND
        self.incarnations = {}
        self.held = {engine: set() for engine in ENGINES}
        self.exact = True

    def live(self, engine, incarnation):
        return self.incarnations.get(engine) == incarnation

    def note_size(self):
        heads = set().union(*self.held.values())
        self.exact = self.exact and len(heads) <= self.bound

    @rule(engine=engines, incarnation=incarnations)
    def begin(self, engine, incarnation):
        self.picture.begin_incarnation(engine, incarnation)
        self.incarnations[engine] = incarnation
        self.held[engine] = set()

    @rule(engine=engines)
    def forget(self, engine):
        self.picture.forget_engine(engine)
        self.incarnations.pop(engine, None)
        self.held[engine] = set()

    @rule(engine=engines, incarnation=incarnations, prompt=prompts, held=strategies.integers(0, 5))
    def learn(self, engine, incarnation, prompt, held):
        self.picture.learn(engine, incarnation, prompt, held)
        if self.live(engine, incarnation):
            self.held[engine] = self.held[engine] - set(prompt[held:]) | set(prompt[:held])
            self.note_size()

    @rule(engine=engines, incarnation=incarnations, keys=key_sets)
    def stored(self, engine, incarnation, keys):
        self.picture.record_stored(engine, incarnation, sorted(keys))
        if self.live(engine, incarnation):
            self.held[engine] |= {key for key in keys if key % STRIDE == 0}
            self.note_size()

    @rule(engine=engines, incarnation=incarnations, keys=key_sets)
    def evicted(self, engine, incarnation, keys):
        self.picture.record_evicted(engine, incarnation, sorted(keys))
        if self.live(engine, incarnation):
            self.held[engine] -= keys

    @rule(bound=strategies.integers(BOUND - 2, 2 * BOUND))
    def resize(self, bound):
        self.picture.resize(bound)
        self.bound = bound
        self.note_size()

    @invariant()
    def bound_holds(self):
        assert len(self.picture) <= self.bound

    @invariant()
    def reports_only_what_the_present_incarnation_holds(self):
        for prompt in PROMPTS:
            counts = self.picture.held_heads(prompt, ENGINES)
            for engine, count in zip(ENGINES, counts, strict=True):
                expected = self.leading(engine, prompt)
                assert count <= expected
                assert not self.exact or count == expected

    def leading(self, engine, prompt):
        """Return how many leading heads the engine holds by the oracle."""
        for index, head in enumerate(prompt):
            if head not in self.held[engine]:
                return index
        return len(prompt)


class Unbounded(PrefixPicture):
    def _drop_excess(self):
        pass


class KeepsDeadEntries(PrefixPicture):
    def forget_engine(self, engine):
        bit = self._bits.pop(engine, None)
        if bit is not None:
            del self._incarnations[engine]
            self._free.append(bit)


class IgnoresEvictions(PrefixPicture):
    def record_evicted(self, engine, incarnation, keys):
        pass


class LearnsOfAnyIncarnation(PrefixPicture):
    def learn(self, engine, incarnation, heads, held):
        super().learn(engine, self.incarnation(engine), heads, held)


class PrefixPictureTest(unittest.TestCase):
    def setUp(self):
        limit = prefix_index.RETIRED_BITS_BEFORE_SWEEP
        self.addCleanup(setattr, prefix_index, "RETIRED_BITS_BEFORE_SWEEP", limit)
        prefix_index.RETIRED_BITS_BEFORE_SWEEP = 2

    def test_agrees_with_the_oracle(self):
        fuzz_settings.run_machine(PictureMachine, base_examples=60)

    def test_heads_of_the_dead_go_before_those_of_the_living(self):
        picture = PrefixPicture(BOUND, STRIDE)
        for engine in ("e1", "e2"):
            picture.begin_incarnation(engine, "a")
        picture.learn("e1", "a", (4, 8, 12), 3)
        picture.learn("e2", "a", (24, 28), 2)
        picture.forget_engine("e2")
        picture.resize(4)
        self.assertEqual(picture.held_heads((4, 8, 12), ("e1", "e2")), [3, 0])

    def test_wrong_pictures_are_caught(self):
        for variant in (Unbounded, KeepsDeadEntries, IgnoresEvictions, LearnsOfAnyIncarnation):
            with self.subTest(variant.__name__):
                machine = type(variant.__name__, (PictureMachine,), {"make": variant})
                self.assertTrue(fuzz_settings.is_caught(machine))
