"""Sums of reports, against sums made anew."""

import random
import unittest

from hopstep.domain.exchanges.load_ledger import (
    REPORT_SECONDS,
    InstanceLoad,
    LoadLedger,
    add_loads,
)


class LoadLedgerTest(unittest.TestCase):
    def test_a_report_replaces_the_last_one_of_its_node(self):
        ledger = LoadLedger()
        ledger.report("a", (InstanceLoad("i", 3, 100),), 1.0)
        ledger.report("a", (InstanceLoad("j", 1),), 1.1)
        self.assertEqual(ledger.totals(1.1), {"j": InstanceLoad("j", 1)})

    def test_old_reports_are_forgotten(self):
        ledger = LoadLedger()
        ledger.report("a", (InstanceLoad("i", 3),), 1.0)
        self.assertEqual(ledger.totals(1.0 + REPORT_SECONDS + 0.01), {})

    def test_a_node_is_left_out_of_what_it_is_told(self):
        ledger = LoadLedger()
        ledger.report("a", (InstanceLoad("i", 3, 7, 1),), 1.0)
        ledger.report("b", (InstanceLoad("i", 2),), 1.0)
        self.assertEqual(ledger.totals(1.0, without="a"), {"i": InstanceLoad("i", 2)})
        self.assertEqual(ledger.totals(1.0), {"i": InstanceLoad("i", 5, 7, 1)})

    def test_sums_equal_those_made_anew(self):
        generator = random.Random(3)
        ledger = LoadLedger()
        reports = {}
        now = 0.0
        for _ in range(500):
            now += generator.random() * 0.2
            node = f"n{generator.randrange(6)}"
            loads = tuple(
                InstanceLoad(f"i{number}", generator.randrange(4), generator.randrange(900))
                for number in generator.sample(range(5), generator.randrange(5))
            )
            loads = tuple(load for load in loads if not load.is_empty)
            reports[node] = (now, loads)
            ledger.report(node, loads, now)
            expected = {}
            for at, told in reports.values():
                if now - at <= REPORT_SECONDS:
                    add_loads(expected, told)
            self.assertEqual(ledger.totals(now), expected)
