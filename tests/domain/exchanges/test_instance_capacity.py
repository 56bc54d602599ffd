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
from hopstep.domain.exchanges.load_ledger import InstanceLoad
from hopstep.domain.exchanges.request import Prompt
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


class MemoryTest(unittest.TestCase):
    """An engine preempts requests when its memory is short, although it has free slots."""

    def preempted(self, cache_tokens):
        """Return how often more is held than fits, and how many requests were sent."""
        view = InstanceView(Instance("e", "llm", "10.0.0.1:1", "z", 32), cache_tokens)
        memory, held, preempted, sent = 150_000, [], 0, 0
        for step in range(200):
            now = 1.0 + step / 100
            for _end, request, used in (each for each in held if each[0] <= now):
                view.end(request, used, used)
            held = [each for each in held if each[0] > now]
            tokens = 17_000 if step % 3 else 400
            if not view.has_room(CapacityNeed(tokens), now):
                continue
            sent += 1
            view.begin(str(step), tokens, now, used_tokens=tokens)
            held.append((now + 0.3, str(step), tokens))
            preempted += sum(used for _end, _request, used in held) > memory
        return preempted, sent

    def test_requests_that_do_not_fit_are_not_sent(self):
        before, _sent = self.preempted(0)
        after, sent = self.preempted(150_000)
        self.assertGreater(before, 50)
        self.assertEqual(after, 0)
        self.assertGreater(sent, 50)

    def test_the_memory_of_all_nodes_counts_until_their_requests_end(self):
        view = InstanceView(Instance("e", "llm", "10.0.0.1:1", "z", 32), 10_000)
        view.set_load_of_others(InstanceLoad("e", 1, used_tokens=7_000), 1.0)
        self.assertFalse(view.has_room(CapacityNeed(3_001), 1.0))
        self.assertTrue(view.has_room(CapacityNeed(3_000), 1.0))
        view.begin("r", 3_000, 1.0, used_tokens=3_000)
        view.first_byte("r", 3_000, 1.1)
        self.assertFalse(view.has_room(CapacityNeed(1), 1.1))
        view.end("r", 3_000, 3_000)
        self.assertTrue(view.has_room(CapacityNeed(1), 1.1))

    def test_a_request_larger_than_the_memory_is_sent_to_an_empty_engine(self):
        """Otherwise it would wait until its deadline without ever having a chance."""
        view = InstanceView(Instance("e", "llm", "10.0.0.1:1", "z", 32), 10_000)
        self.assertTrue(view.has_room(CapacityNeed(20_000), 1.0))

    def test_the_expected_length_of_an_answer_counts_if_it_is_given(self):
        self.assertEqual(Prompt("m", (), 4_000, 500).used_tokens(1_000), 1_500)
        self.assertEqual(Prompt("m", (), 4_000, 500, 20).used_tokens(1_000), 1_020)
