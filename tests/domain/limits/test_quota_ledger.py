"""Quotas over many nodes: usage within the operators' bound, and no refusal below the quota."""

import unittest

from hopstep.domain.limits.fleet_usage import Usage, UsageReport
from hopstep.domain.limits.quota_ledger import (
    MAX_USAGE_AGE_SECONDS,
    FleetUsage,
    QuotaBounds,
    QuotaLedger,
    TenantQuota,
)
from tests.domain.limits.quota_fleet import BOUNDS, QUOTA, REQUEST, TENANT, QuotaFleet

QUOTA_PER_SECOND = QUOTA.per_second / REQUEST
USUAL = QUOTA_PER_SECOND / 1.8
HOT = 7.5 * USUAL
SIZES = (1, 7, 24, 79, 390)


class FleetCase(unittest.TestCase):
    def assert_within_bound(self, fleet):
        self.assertLessEqual(fleet.busiest_window(), fleet.allowed())


class QuotaBoundTest(FleetCase):
    """A tenant that sends 4.2 times its quota, at once, at all nodes or at one."""

    def test_a_tenant_far_above_its_quota_stays_within_the_bound(self):
        for nodes in SIZES:
            for seed in (1, 2, 3):
                with self.subTest(nodes=nodes, seed=seed):
                    fleet = QuotaFleet(nodes, seed=seed)
                    fleet.run(10.0, USUAL)
                    fleet.run(20.0, HOT)
                    self.assert_within_bound(fleet)

    def test_it_gets_most_of_its_quota(self):
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                fleet = QuotaFleet(nodes)
                fleet.run(30.0, HOT)
                admitted = sum(size for at, size in fleet.admitted if at > 10.0)
                self.assertGreater(admitted, 0.85 * 20.0 * QUOTA.per_second)

    def test_one_node_may_have_all_of_it(self):
        fleet = QuotaFleet(79)
        fleet.run(30.0, HOT, fleet.nodes[5:6])
        self.assert_within_bound(fleet)
        admitted = sum(size for at, size in fleet.admitted if at > 10.0)
        self.assertGreater(admitted, 0.95 * 20.0 * QUOTA.per_second)

    def test_demand_that_moves_from_node_to_node_stays_within_the_bound(self):
        fleet = QuotaFleet(79)
        for number in range(20):
            fleet.run(1.5, HOT, fleet.nodes[3 * number : 3 * number + 3])
        self.assert_within_bound(fleet)

    def test_all_nodes_that_start_anew_at_once_stay_within_the_bound(self):
        for down in (0.5, 2.0):
            for hot_nodes in (1, 79):
                with self.subTest(down=down, hot_nodes=hot_nodes):
                    fleet = QuotaFleet(79)
                    fleet.run(12.0, HOT, fleet.nodes[:hot_nodes])
                    fleet.restart(list(fleet.nodes), down)
                    fleet.run(15.0, HOT, fleet.nodes[:hot_nodes])
                    self.assert_within_bound(fleet)

    def test_a_node_that_starts_anew_does_not_forget_for_the_others(self):
        fleet = QuotaFleet(79)
        fleet.run(12.0, HOT, fleet.nodes[5:6])
        fleet.restart(fleet.nodes[5:6], 0.5)
        fleet.run(10.0, HOT, fleet.nodes[5:6])
        self.assert_within_bound(fleet)

    def test_nodes_that_hear_nobody_have_an_even_part_each(self):
        fleet = QuotaFleet(24)
        fleet.run(5.0, USUAL)
        fleet.cut = {node.name for node in fleet.nodes}
        fleet.run(20.0, HOT)
        self.assert_within_bound(fleet)

    def test_some_nodes_that_hear_nobody_stay_within_the_bound(self):
        fleet = QuotaFleet(24)
        fleet.run(10.0, HOT)
        fleet.cut = {node.name for node in fleet.nodes[:8]}
        fleet.run(20.0, HOT)
        self.assert_within_bound(fleet)


class NoNeedlessRefusalTest(FleetCase):
    """Tenants that stay below their quota, as most do most of the time."""

    def test_a_tenant_at_its_usual_rate_is_never_refused(self):
        for nodes in SIZES:
            for hot_nodes in (1, 3, nodes):
                with self.subTest(nodes=nodes, hot_nodes=hot_nodes):
                    fleet = QuotaFleet(nodes)
                    fleet.run(30.0, USUAL, fleet.nodes[:hot_nodes])
                    self.assertEqual(fleet.refused, 0)

    def test_nor_a_small_one_with_few_requests(self):
        quota = TenantQuota(per_second=29_000.0, burst=29_000.0, in_tokens=True)
        fleet = QuotaFleet(79, quota=quota)
        fleet.run(60.0, 29_000.0 / REQUEST / 1.8)
        self.assertEqual(fleet.refused, 0)

    def test_nor_while_a_third_of_the_nodes_starts_anew(self):
        fleet = QuotaFleet(79)
        fleet.run(10.0, USUAL)
        fleet.restart(fleet.nodes[:26], 1.0)
        fleet.run(20.0, USUAL)
        self.assertEqual(fleet.refused, 0)

    def test_a_burst_on_top_of_the_usual_rate_is_let_through(self):
        fleet = QuotaFleet(24)
        fleet.run(10.0, USUAL)
        fleet.run(1.0, 2 * QUOTA_PER_SECOND)
        self.assertEqual(fleet.refused, 0)


class DecisionTest(unittest.TestCase):
    def setUp(self):
        self.ledger = QuotaLedger(BOUNDS, -100.0)

    def report_usage(self, admitted, offered, nodes=10, asked_at=0.0):
        report = UsageReport((Usage(TENANT, admitted, offered),), nodes)
        self.ledger.update_fleet_usage(FleetUsage(report, asked_at))

    def admit(self, now, cost=REQUEST, nodes=10, draw=1.0):
        return self.ledger.admit(TENANT, QUOTA, cost, now, nodes, draw)

    def test_what_was_admitted_since_the_telling_counts_until_the_next(self):
        quota = TenantQuota(10.0)
        ledger = QuotaLedger(QuotaBounds(10.0), -100.0)
        ledger.update_fleet_usage(FleetUsage(UsageReport((Usage("t", 97, 0),), 1), 0.5))
        decisions = [ledger.admit("t", quota, 1, 0.6, 1, 1.0).wait_seconds for _ in range(4)]
        self.assertEqual([wait == 0 for wait in decisions], [True, True, True, False])

    def test_a_refusal_tells_when_the_rate_has_made_room(self):
        self.report_usage(admitted=2_700_000, offered=REQUEST)
        decision = self.admit(0.2, cost=100_000)
        self.assertGreater(decision.wait_seconds, 0.0)
        self.assertLess(decision.wait_seconds, 1.0)
        self.report_usage(admitted=5_000_000, offered=REQUEST, asked_at=0.4)
        self.assertGreater(self.admit(0.5).wait_seconds, 4.0)

    def test_a_share_of_less_than_a_request_admits_one_by_chance(self):
        self.report_usage(admitted=2_690_000, offered=40 * REQUEST)
        free_units = self.admit(0.2, draw=1.0).free_units
        self.assertTrue(0 < free_units < REQUEST)
        self.report_usage(admitted=2_690_000, offered=40 * REQUEST, asked_at=1.3)
        self.assertEqual(self.admit(1.5, draw=0.01).wait_seconds, 0.0)
        self.assertGreater(self.admit(1.5, draw=0.01).wait_seconds, 0.0)

    def test_a_draw_counts_until_all_nodes_know_what_was_admitted_by_it(self):
        self.report_usage(admitted=2_690_000, offered=40 * REQUEST)
        for moment in range(4):
            self.report_usage(admitted=2_690_000, offered=40 * REQUEST, asked_at=0.2 * moment)
            draw = 0.01 if moment else 1.0
            self.assertGreater(self.admit(0.2 * moment + 0.1, draw=draw).wait_seconds, 0.0)

    def test_a_node_that_was_told_nothing_for_long_counts_for_one(self):
        self.report_usage(admitted=0, offered=0)
        self.assertEqual(self.admit(0.1).nodes, 10)
        decision = self.admit(MAX_USAGE_AGE_SECONDS + 0.1)
        self.assertEqual(decision.nodes, 1)
        self.assertLess(decision.free_units, 0.12 * QUOTA.per_second * 9)

    def test_what_fewer_nodes_tell_does_not_replace_what_more_have_just_told(self):
        self.report_usage(admitted=0, offered=0, nodes=10, asked_at=0.0)
        self.report_usage(admitted=0, offered=0, nodes=2, asked_at=0.2)
        self.assertEqual(self.admit(0.3).nodes, 10)
        self.report_usage(admitted=0, offered=0, nodes=2, asked_at=1.2)
        self.assertEqual(self.admit(1.3).nodes, 2)

    def test_what_has_not_run_is_given_back(self):
        self.admit(0.0)
        self.ledger.refund(TENANT, REQUEST, 0.1)
        [usage] = self.ledger.own_report({TENANT: QUOTA}, 0.2, 10).usage
        self.assertEqual(usage.admitted, 0)

    def test_a_request_counts_its_tokens_or_what_the_operators_say(self):
        self.assertEqual(QUOTA.cost(9_000), 9_000)
        plain = TenantQuota(1.0, in_tokens=True, plain_tokens=200)
        self.assertEqual((plain.cost(None), plain.cost(0)), (200, 0))
        self.assertEqual(TenantQuota(1.0).cost(9_000), 1)


if __name__ == "__main__":
    unittest.main()
