"""Incremental sums of reports, compared with sums computed from scratch."""

import random
import unittest

from hopstep.adapters.node_codec import encode_frame
from hopstep.adapters.node_datagrams import MAX_DATAGRAM_BYTES
from hopstep.domain.exchanges.load_ledger import (
    MAX_DETAILED_LOADS,
    REPORT_SECONDS,
    InstanceLoad,
    LoadLedger,
    add_loads,
    reportable,
)
from hopstep.domain.exchanges.segments import SegmentKey
from hopstep.ports.node_exchange import Hints, RelayDigest, SegmentUpdate
from hopstep.services.exchanges.peers.load_sharing import MAX_SEGMENT_UPDATES


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


class ReportableTest(unittest.TestCase):
    """Loads of many instances fit into one message: a longer one would be lost as a whole."""

    def make_loads(self, used, idle=0):
        generator = random.Random(1)

        def load(number, active):
            values = (generator.randrange(limit) for limit in (60_000, 2, 9_000, 9_000, 150_000))
            pending, avoided, read, expected, memory = values
            name = f"engine-{number:05d}@{1760000000000 + generator.randrange(10**7)}"
            if not active:
                return InstanceLoad(name, 0, 0, 0, read, expected + 1)
            return InstanceLoad(name, active, pending, avoided, read, expected, memory)

        loads = [load(number, 1 + generator.randrange(30)) for number in range(used)]
        return loads + [load(used + number, 0) for number in range(idle)]

    def test_few_loads_are_reported_whole(self):
        loads = self.make_loads(used=300, idle=200)
        self.assertEqual(reportable(loads), tuple(loads))

    def test_busy_instances_come_first(self):
        loads = self.make_loads(used=700, idle=900)
        sent = reportable(loads)
        self.assertEqual(len(sent), 700)
        detailed, plain = sent[:MAX_DETAILED_LOADS], sent[MAX_DETAILED_LOADS:]
        self.assertGreaterEqual(
            min(load.active for load in detailed), max(load.active for load in plain)
        )
        self.assertEqual({load.used_tokens for load in plain}, {0})

    def test_speeds_of_idle_instances_fill_the_rest(self):
        loads = self.make_loads(used=100, idle=900)
        sent = reportable(loads)
        self.assertEqual(len(sent), MAX_DETAILED_LOADS)
        kept = min(load.expected_read_ms for load in sent if load.is_idle)
        left_out = set(loads) - set(sent)
        self.assertLessEqual(max(load.expected_read_ms for load in left_out), kept)

    def test_ten_thousand_loads_fit_into_a_datagram_with_segments(self):
        keys = [SegmentKey(number * 7_919_777_777, 900) for number in range(MAX_SEGMENT_UPDATES)]
        updates = tuple(
            SegmentUpdate(f"engine-{n:05d}@17", (key,), 40) for n, key in enumerate(keys)
        )
        hints = Hints(reportable(self.make_loads(used=10_000)), updates)
        frame = encode_frame(RelayDigest(1, hints), "node", b"key")
        self.assertLess(len(frame), MAX_DATAGRAM_BYTES)
