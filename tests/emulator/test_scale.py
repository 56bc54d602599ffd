"""Small scale runs: plausible and repeatable measures, the table and the JSON."""

import json
import unittest

from emulator.memory import reachable_bytes
from emulator.scale import run_scale
from emulator.scale_report import render_json, render_table


def small_run():
    return run_scale(nodes=(6,), seed=5, cut_nodes=12, herd_nodes=(6,), cut_seconds=120.0)


class ScaleTest(unittest.TestCase):
    def test_measures_are_sane_and_repeat(self):
        report, again = small_run(), small_run()
        size, herd, cut = report.sizes[0], report.herds[0], report.cut
        for field in ("revision", "leaving", "restart", "failure", "planned_stop"):
            seconds = getattr(size, f"{field}_seconds")
            self.assertGreater(seconds, 0, field)
            self.assertLess(seconds, 60, field)
            self.assertEqual(seconds, getattr(again.sizes[0], f"{field}_seconds"))
        self.assertLess(size.bytes_per_second, 3_000)
        self.assertGreater(size.memory_bytes, 1_000)
        self.assertEqual((herd, cut), (again.herds[0], again.cut))
        self.assertGreaterEqual(herd.all_seconds, herd.most_seconds)
        self.assertEqual((cut.cut_nodes, cut.wrongly_isolated), (2, 0))
        self.assertGreater(cut.isolated_seconds, 0)
        self.assertGreater(cut.heal_seconds, 0)

    def test_reports(self):
        report = small_run()
        table = render_table(report)
        self.assertIn("healed after s", table)
        self.assertIn(str(report.sizes[0].bytes_per_second), table)
        self.assertEqual(json.loads(render_json(report))["sizes"][0]["nodes"], 6)

    def test_memory_counts_shared_parts_once_and_leaves_out_what_it_is_told(self):
        part = b"x" * 10_000
        self.assertLess(reachable_bytes([part, part]), 11_000)
        self.assertLess(reachable_bytes([part], (part,)), 1_000)


if __name__ == "__main__":
    unittest.main()
