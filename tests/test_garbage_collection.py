"""Tests of the garbage collector's settings."""

from __future__ import annotations

import gc
import unittest
import weakref

from hopstep.garbage_collection import YOUNG_OBJECTS, configure_garbage_collection


class _Node:
    """An object that can be part of a cycle."""

    def __init__(self) -> None:
        self.itself = self


class GarbageCollectionTest(unittest.TestCase):
    """Imported objects are excluded; cycles created later are still collected."""

    def setUp(self) -> None:
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *gc.get_threshold())

    def test_existing_objects_are_left_out(self) -> None:
        configure_garbage_collection()
        tracked = {id(each) for each in gc.get_objects()}
        self.assertGreater(gc.get_freeze_count(), 1_000)
        self.assertNotIn(id(unittest.__dict__), tracked)

    def test_later_cycles_are_collected_on_their_own(self) -> None:
        configure_garbage_collection()
        lost = weakref.ref(_Node())
        self.assertIsNotNone(lost())
        kept = [[] for _ in range(2 * YOUNG_OBJECTS)]  # type: ignore[var-annotated]
        self.assertIsNone(lost())
        self.assertEqual(len(kept), 2 * YOUNG_OBJECTS)
