"""Incremental sums of reports, compared with sums computed from scratch."""

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

    def test_old_reports_are_dropped(self):
        ledger = LoadLedger()
        ledger.report("a", (InstanceLoad("i", 3),), 1.0)
        self.assertEqual(ledger.totals(1.0 + REPORT_SECONDS + 0.01), {})

    def test_the_sums_for_a_node_leave_out_its_own_report(self):
        ledger = LoadLedger()
        ledger.report("a", (InstanceLoad("i", 3, 7, 1),), 1.0)
        ledger.report("b", (InstanceLoad("i", 2),), 1.0)
        self.assertEqual(ledger.totals(1.0, without="a"), {"i": InstanceLoad("i", 2)})
        self.assertEqual(ledger.totals(1.0), {"i": InstanceLoad("i", 5, 7, 1)})

    def test_sums_equal_those_computed_from_scratch(self):
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
            for at, reported in reports.values():
                if now - at <= REPORT_SECONDS:
                    add_loads(expected, reported)
            self.assertEqual(ledger.totals(now), expected)
