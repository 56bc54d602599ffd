"""Checks of announced limits: each reports a history that breaks its promise."""

import unittest

import msgspec

from emulator.soak.disturbances import INSTANCE_LINKS_CUT, Disturbance
from emulator.soak.instance_records import (
    IncarnationPeriod,
    LimitChange,
    OverwrittenEntry,
    SentNotice,
)
from emulator.soak.limit_checks import (
    limit_periods,
    limits_are_kept,
    limits_are_used,
    refused_only_without_free_capacity,
)
from emulator.soak.link_checks import subject_of
from emulator.soak.promises import Bounds
from emulator.soak.request_records import Arrival
from tests.emulator.soak.test_checks import history, request

BOUNDS = Bounds()
INCARNATION = "i1@1"
FIRST_ANNOUNCED_AT = 100.0
ALLOWED = 14
"""Requests allowed within 4 s at a limit of 1.5 per second."""


class LimitChecksTest(unittest.TestCase):
    def seen(self, count, at=104.0, step=0.01, limit=1.5, node="n0"):
        """Return a history: a limit announced at 100 s and passed on, then requests of one node."""
        announced = request("told", at=FIRST_ANNOUNCED_AT, head_at=FIRST_ANNOUNCED_AT + 0.1)
        announced.node = node
        followers = [request(f"r{number}", at=at + step * number) for number in range(count)]
        for follower in followers:
            follower.node = node
        found = history(announced, *followers)
        found.arrivals = [
            Arrival(r.request_id, r.service, r.sent_at, INCARNATION) for r in followers
        ]
        found.notices = [SentNotice("told", INCARNATION, FIRST_ANNOUNCED_AT, False, 0.0, limit)]
        found.limits = [LimitChange(INCARNATION, FIRST_ANNOUNCED_AT, limit)]
        found.instances = [IncarnationPeriod(INCARNATION, announced.service, 90.0, is_plain=True)]
        return found

    def broken(self, found):
        return len(list(limits_are_kept(found, BOUNDS)))

    def test_one_request_too_many_is_caught(self):
        self.assertEqual(self.broken(self.seen(ALLOWED)), 0)
        self.assertEqual(self.broken(self.seen(ALLOWED + 1)), 1)

    def test_what_a_node_sent_before_it_knew_is_not_counted(self):
        self.assertEqual(self.broken(self.seen(99, at=FIRST_ANNOUNCED_AT + 0.05, step=0.001)), 0)

    def test_nodes_are_counted_together(self):
        found = self.seen(ALLOWED)
        another = request("more", at=104.2)
        another.node = "n1"
        found.requests["more"] = another
        found.arrivals.append(Arrival("more", another.service, 104.2, INCARNATION))
        self.assertEqual(self.broken(found), 0, "n1 hasn't received the limit")
        announced = request("told1", at=FIRST_ANNOUNCED_AT, head_at=FIRST_ANNOUNCED_AT + 0.1)
        announced.node = "n1"
        found.requests["told1"] = announced
        found.notices.append(SentNotice("told1", INCARNATION, FIRST_ANNOUNCED_AT, False, 0.0, 1.5))
        self.assertEqual(self.broken(found), 1)

    def test_reports_and_orders_count(self):
        found = self.seen(ALLOWED)
        found.arrivals.append(Arrival("", "plain", 104.2, INCARNATION))
        self.assertEqual(self.broken(found), 1)

    def test_an_interrupted_node_is_excused_and_a_store_that_is_away_excuses_nobody(self):
        found = self.seen(ALLOWED + 1)
        found.disturbances = [Disturbance("killed", "n0", 102.0, 102.5)]
        self.assertEqual(self.broken(found), 0)
        found.disturbances = [Disturbance("outage", "store", 102.0, 102.5)]
        self.assertEqual(self.broken(found), 1)

    def test_a_lifted_limit_and_a_later_life_bind_nobody(self):
        lifted = self.seen(99)
        lifted.limits.append(LimitChange(INCARNATION, 103.9, None))
        self.assertEqual(self.broken(lifted), 0)
        later = self.seen(99)
        later.arrivals = [msgspec.structs.replace(a, incarnation="i1@2") for a in later.arrivals]
        self.assertEqual(self.broken(later), 0)

    def test_a_changed_limit_allows_what_each_part_of_the_window_takes(self):
        found = self.seen(0)
        found.limits.append(LimitChange(INCARNATION, 102.0, 4.0))
        [period] = limit_periods(found)
        self.assertAlmostEqual(period.capacity(100.0, 104.0), 2 * 1.5 + 2 * 4.0)

    def test_a_limit_that_is_not_used_while_callers_are_refused_is_caught(self):
        def refused(found, count):
            for number in range(count):
                name = f"x{number}"
                found.requests[name] = request(name, at=105.0, status=503, ended_at=105.1)
            return found

        self.assertEqual(len(list(limits_are_used(refused(self.ended(5), 99), BOUNDS))), 1)
        self.assertEqual(list(limits_are_used(refused(self.ended(12), 99), BOUNDS)), [])
        self.assertEqual(list(limits_are_used(self.ended(5), BOUNDS)), [])

    def ended(self, count):
        """Return a history with a limit lifted after 10 s: it allows 10.5 requests from 3 s on."""
        found = self.seen(count, step=0.2)
        found.limits.append(LimitChange(INCARNATION, 110.0, None))
        return found

    def test_a_refusal_beside_a_free_instance_is_caught(self):
        found = self.seen(0)
        found.requests["no"] = request("no", at=105.0, status=503, ended_at=105.0)
        self.assertEqual(list(refused_only_without_free_capacity(found, BOUNDS)), [])
        free = IncarnationPeriod("i2@1", found.requests["no"].service, 90.0, is_plain=True)
        found.instances.append(free)
        self.assertEqual(len(list(refused_only_without_free_capacity(found, BOUNDS))), 1)
        found.disturbances = [Disturbance("link", "i2", 104.0, 105.0)]
        self.assertEqual(list(refused_only_without_free_capacity(found, BOUNDS)), [])

    def test_a_refusal_beside_an_instance_whose_entry_is_overwritten_is_allowed(self):
        # Another writer's entry names no instance to use, and the check counted it as free.
        found = self.seen(0)
        found.requests["no"] = request("no", at=105.0, status=503, ended_at=105.0)
        service = found.requests["no"].service
        found.instances.append(IncarnationPeriod("i2@1", service, 90.0, is_plain=True))
        for name, since, until, expected in (
            ("i2", 104.9, 106.0, 0),
            ("i2", 90.0, 104.9, 0),
            ("i2", 90.0, 100.0, 1),
            ("i2", 105.1, 106.0, 1),
            ("i3", 104.0, 106.0, 1),
        ):
            with self.subTest(name=name, since=since):
                found.overwritten = [OverwrittenEntry(name, since, until)]
                caught = list(refused_only_without_free_capacity(found, BOUNDS))
                self.assertEqual(len(caught), expected)

    def test_a_refusal_while_every_node_has_lost_its_links_is_allowed(self):
        found = self.seen(0)
        found.requests["no"] = request("no", at=105.0, status=503, ended_at=105.0)
        found.requests["other"] = request("other", at=90.0, node="n1")
        service = found.requests["no"].service
        found.instances.append(IncarnationPeriod("i2@1", service, 90.0, is_plain=True))
        cut = Disturbance(INSTANCE_LINKS_CUT, subject_of("n0"), 104.0, 106.0)
        found.disturbances = [cut]
        self.assertEqual(len(list(refused_only_without_free_capacity(found, BOUNDS))), 1)
        other = Disturbance(INSTANCE_LINKS_CUT, subject_of("n1"), 101.5, 102.5)
        found.disturbances = [cut, other]
        self.assertEqual(list(refused_only_without_free_capacity(found, BOUNDS)), [])
