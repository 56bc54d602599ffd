"""Permits: the number given within a window, their distribution, and cases in which none is."""

import random
import unittest

from emulator.sliding_window import most_within
from hopstep.domain.limits.send_permits import (
    MAX_EXTRA_SECONDS,
    MIN_REPORTING_SHARE,
    PERMIT_SECONDS,
    REPORT_SECONDS,
    WINDOW_SECONDS,
    FleetCoverage,
    PermitAllocator,
    PermitStock,
    Wants,
)

ALL = FleetCoverage(10, 10)
MANY = {"a": Wants(waiting=1_000)}
TICK_SECONDS = 0.2


class PermitStockTest(unittest.TestCase):
    def test_permits_are_used_once_and_those_first_that_expire_first(self):
        stock = PermitStock()
        stock.put(2, 5.0)
        stock.put(1, 3.0)
        self.assertEqual(stock.held(0.0), 3)
        self.assertEqual(stock.take_one(0.0), 3.0)
        self.assertEqual(stock.take(9, 0.0), [5.0, 5.0])
        self.assertIsNone(stock.take_one(0.0))

    def test_a_permit_that_was_not_used_expires(self):
        stock = PermitStock()
        stock.put(1, 3.0)
        stock.put(1, 4.0)
        self.assertEqual(stock.held(3.0), 1)
        self.assertEqual(stock.held(4.0), 0)


class PermitAllocatorTest(unittest.TestCase):
    def sent(self, limit, coverage=ALL, seconds=30.0, allocator=None, used_after=lambda: 0.0):
        """Return the send times of nodes that want as many permits as they can get.

        Args:
            limit: Limit of the instance in requests per second.
            coverage: Fraction of the fleet that reports.
            seconds: Duration.
            allocator: Gives the permits; None for one that has run for long.
            used_after: Returns the time from giving a permit to its use.
        """
        allocator = allocator or PermitAllocator(-100.0)
        sent, now = [], 0.0
        while now < seconds:
            reported = (now - WINDOW_SECONDS, now - REPORT_SECONDS)
            counted = sum(reported[0] < at <= reported[1] for at in sent)
            shares = allocator.allocate(limit, counted, coverage, MANY, now)
            sent += [now + used_after() for _permit in range(shares.get("a", 0))]
            now += TICK_SECONDS
        return sent

    def test_what_is_sent_within_a_window_stays_below_the_bound_whenever_permits_are_used(self):
        generator = random.Random(1)
        uses = {
            "at once": lambda: 0.0,
            "at last": lambda: PERMIT_SECONDS,
            "at any time": lambda: PERMIT_SECONDS * generator.random(),
            "at once or at last": lambda: PERMIT_SECONDS * generator.randrange(2),
        }
        for limit in (0.0, 0.1, 0.3, 1.0, 1.5, 8.0, 60.0, 1_000.0):
            for name, used_after in uses.items():
                with self.subTest(name, limit=limit):
                    sent = self.sent(limit, used_after=used_after)
                    bound = 1.5 * limit * WINDOW_SECONDS + 5
                    self.assertLessEqual(most_within(sent, WINDOW_SECONDS), bound)

    def test_the_limit_is_given_where_all_is_used(self):
        for limit in (1.5, 8.0, 60.0):
            with self.subTest(limit=limit):
                self.assertGreaterEqual(len(self.sent(limit)) / (30.0 * limit), 0.9)

    def test_a_group_that_hears_a_part_gives_that_part(self):
        half = len(self.sent(8.0, FleetCoverage(5, 10)))
        self.assertAlmostEqual(half / len(self.sent(8.0)), 0.5, delta=0.1)

    def test_a_group_that_hears_too_few_gives_nothing(self):
        reporting = int(10 * MIN_REPORTING_SHARE)
        self.assertEqual(self.sent(8.0, FleetCoverage(reporting, 10 + reporting * 4)), [])

    def test_nodes_that_are_not_registered_yet_add_nothing(self):
        self.assertEqual(FleetCoverage(12, 10).share, 1.0)

    def test_a_relay_that_has_just_started_counts_the_limit_as_used(self):
        allocator = PermitAllocator(0.0)
        early = [at for at in self.sent(8.0, allocator=allocator) if at < 1.0]
        self.assertLessEqual(len(early), 8 * (1.0 + MAX_EXTRA_SECONDS))

    def test_requests_that_wait_go_before_those_that_are_expected(self):
        allocator = PermitAllocator(-100.0)
        wants = {"a": Wants(ahead=100), "b": Wants(waiting=3)}
        shares = allocator.allocate(1.5, 0, ALL, wants, 0.0)
        self.assertEqual(shares["b"], 3)

    def test_relays_are_served_in_turn(self):
        wants = {name: Wants(waiting=100) for name in "abc"}
        shares = PermitAllocator(-100.0).allocate(8.0, 0, ALL, wants, 0.0)
        self.assertLessEqual(max(shares.values()) - min(shares.values()), 1)

    def test_a_permit_that_may_be_used_still_counts(self):
        allocator = PermitAllocator(-100.0)
        given = allocator.allocate(8.0, 0, ALL, MANY, 0.0)["a"]
        self.assertEqual(allocator.given_to("a", -1.0), given)
        given += allocator.allocate(8.0, 0, ALL, MANY, PERMIT_SECONDS).get("a", 0)
        self.assertLessEqual(given, 8.0 * (WINDOW_SECONDS + MAX_EXTRA_SECONDS))
