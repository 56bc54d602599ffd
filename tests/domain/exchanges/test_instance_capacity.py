"""Rejections of a full instance aren't repeated request by request."""

import random
import unittest
from unittest import mock

from hopstep.domain.exchanges.instance_capacity import (
    FIRST_FULL_SECONDS,
    MAX_FULL_SECONDS,
    CapacityNeed,
    FullMark,
)
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.selection import choose_server

NEED = CapacityNeed()


def make_view(name="i", slots=4):
    return InstanceView(Instance(name, "s", "10.0.0.1:1", "z", slots))


class FullMarkTest(unittest.TestCase):
    def test_each_further_rejection_doubles_the_time_up_to_a_bound(self):
        mark, now, lengths = FullMark(), 5.0, []
        for _ in range(5):
            mark.note_rejected(now)
            end = next(t for t in range(1, 2000) if not mark.is_set(now + t / 1_000))
            lengths.append(end / 1_000)
            now += end / 1_000 + 0.001
        expected = [min(MAX_FULL_SECONDS, FIRST_FULL_SECONDS * 2**n) for n in range(5)]
        for length, wanted in zip(lengths, expected, strict=True):
            self.assertAlmostEqual(length, wanted, delta=0.002)

    def test_rejections_of_requests_sent_together_count_once(self):
        """Otherwise one burst would keep an instance empty for the longest time."""
        mark = FullMark()
        self.assertTrue(mark.note_rejected(1.0))
        self.assertFalse(any(mark.note_rejected(1.0 + n / 1_000) for n in range(50)))
        self.assertFalse(mark.is_set(1.0 + FIRST_FULL_SECONDS))

    def test_a_first_byte_ends_it(self):
        view = make_view()
        view.begin("r", 0, 1.0)
        view.rejected_as_full(1.0)
        self.assertFalse(view.has_room(NEED, 1.1))
        self.assertTrue(view.is_avoided(1.1))
        view.first_byte("r", 0, 1.1)
        self.assertTrue(view.has_room(NEED, 1.1))


class FullInstanceTest(unittest.TestCase):
    """Four instances that other nodes fill get twice the requests that they can take."""

    def send(self):
        """Return how many requests were rejected, and how many were answered."""
        generator = random.Random(1)
        views = [make_view(f"i{number}") for number in range(4)]
        free_at = dict.fromkeys(views, 0.0)
        rejected = answered = 0
        for step in range(400):
            now = 10.0 + step / 100
            with_room = [view for view in views if view.has_room(NEED, now)]
            if not with_room:
                continue
            view = choose_server(with_room, now, generator).view
            view.begin("r", 0, now)
            if now < free_at[view]:
                rejected += 1
                view.failed(now, unreachable=False)
                view.rejected_as_full(now)
            else:
                answered += 1
                view.first_byte("r", 0, now)
                view.succeeded(0.05)
                free_at[view] = now + generator.uniform(0.04, 0.12)
            view.end("r", 0)
        return rejected, answered

    def test_they_reject_fewer_requests_and_answer_about_as_many(self):
        """A rejection raised a failure rate only, and the next request was rejected as well."""
        with mock.patch.object(FullMark, "is_set", lambda _mark, _now: False):
            rejected_before, answered_before = self.send()
        rejected, answered = self.send()
        self.assertLess(rejected, rejected_before / 2)
        self.assertGreater(answered, 0.8 * answered_before)


class PlacesTest(unittest.TestCase):
    def test_less_urgent_requests_never_fill_the_places_of_urgent_ones(self):
        view = make_view(slots=4)
        view.active = 8
        self.assertFalse(view.has_room(CapacityNeed(), 1.0))
        self.assertTrue(view.has_room(CapacityNeed(urgent=True), 1.0))
        view.active = 12
        self.assertFalse(view.has_room(CapacityNeed(urgent=True), 1.0))
