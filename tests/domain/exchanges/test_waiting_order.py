"""The order of waiting requests: urgency, objectives, tenants' shares and bounded waits."""

import unittest

from hopstep.domain.exchanges.waiting_order import STARTED_RANK, Place, WaitingOrder, WaitingRequest
from hopstep.domain.fair_queue import MAX_PASSED_OVER


def waiting(name, tenant="t", rank=0, tokens=100, late_from=100.0):
    return WaitingRequest(name, tenant, rank, tokens, late_from)


def make_order(*requests, now=0.0):
    order = WaitingOrder()
    for request in requests:
        order.add(request, now)
    return order


def drain(order):
    served = []
    while (name := order.pop(lambda _name: True)) is not None:
        served.append(name)
    return served


class WaitingOrderTest(unittest.TestCase):
    def test_urgent_first_then_in_time_then_age(self):
        order = make_order(
            waiting("less urgent", rank=2),
            waiting("begun", rank=STARTED_RANK),
            waiting("late", late_from=-1.0),
            waiting("older"),
            waiting("newer"),
        )
        self.assertEqual(drain(order), ["begun", "older", "newer", "late", "less urgent"])

    def test_a_request_that_becomes_late_goes_behind_those_in_time(self):
        order = make_order(waiting("first", late_from=1.0), waiting("second", late_from=9.0))
        order.sort_late(2.0)
        self.assertEqual(drain(order), ["second", "first"])

    def test_a_tenants_flood_does_not_delay_others_as_order_of_arrival_would(self):
        flood = [waiting(f"flood {n}", "big") for n in range(20)]
        others = [waiting(f"other {n}", f"small {n}") for n in range(4)]
        by_arrival = [r.entry_id for r in (*flood, *others)]
        served = drain(make_order(*flood, *others))
        last_other = max(served.index(r.entry_id) for r in others)
        self.assertLessEqual(last_other, 4)
        self.assertEqual(max(by_arrival.index(r.entry_id) for r in others), 23)

    def test_a_tenant_of_long_prompts_shares_by_tokens(self):
        long = [waiting(f"long {n}", "long", tokens=17_000) for n in range(3)]
        short = [waiting(f"short {n}", "short", tokens=400) for n in range(30)]
        served = drain(make_order(*long, *short))
        self.assertGreater(served.index("long 1"), 25)

    def test_no_rank_starves_behind_urgent_ones(self):
        urgent = [waiting(f"u{n}", rank=0) for n in range(40)]
        served = drain(make_order(waiting("low", rank=2), *urgent))
        self.assertEqual(served.index("low"), MAX_PASSED_OVER)

    def test_requests_that_no_instance_can_take_hold_up_nobody(self):
        order = make_order(waiting("blocked"), waiting("free"))
        self.assertEqual(order.pop(lambda name: name != "blocked"), "free")

    def test_ahead_and_last_follow_the_order(self):
        order = make_order(waiting("a"), waiting("b", tenant="u"), waiting("low", rank=2))
        self.assertEqual(order.place_of(waiting("new"), 0.0), Place(2, 2, 0))
        self.assertEqual(order.place_of(waiting("new"), 0.0, late=True), Place(2, 0, 1))
        self.assertEqual(order.place_of(waiting("new", rank=2), 0.0), Place(3, 1, 4))
        self.assertEqual(order.place("low"), Place(2, 0, 4))
        self.assertEqual(sorted(order.classes()), [0, 4])
        self.assertEqual(order.last().entry_id, "low")
        self.assertTrue(order.has_less_urgent(0))
        self.assertFalse(order.has_less_urgent(2))
        order.discard("low")
        self.assertFalse(order.has_less_urgent(0))
        self.assertEqual(drain(order), ["a", "b"])
        self.assertIsNone(order.last())
