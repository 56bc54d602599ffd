"""Membership under faults in virtual time: agreement, refutation, healing, byte limits."""

import unittest

from emulator.link_faults import LinkQuality
from hopstep.domain.membership import EntryChanged, MembershipConfig, RevisionReported
from hopstep.domain.peer_message import EntryKind, HotPrefix, LeavingBackEnd, MemberState
from tests.emulator.cluster_samples import SEEDS, make_cluster, names, until_agreement


class JoinTest(unittest.TestCase):
    def test_herds_of_starts_agree(self):
        for count, loss in ((2, 0.0), (3, 0.3), (9, 0.1), (24, 0.05)):
            with self.subTest(count=count, loss=loss):
                cluster = make_cluster(count, LinkQuality(loss=loss, duplication=loss))
                self.assertLess(until_agreement(cluster, 60), 60)

    def test_a_seed_that_is_down_is_no_obstacle_and_is_found_later(self):
        cluster = make_cluster(5, down=SEEDS[0])
        self.assertLess(until_agreement(cluster, 30), 30)
        cluster.restart(SEEDS[0], ())
        self.assertLess(until_agreement(cluster, 30), 30)

    def test_seeds_that_left_are_asked_again_as_they_may_have_started_anew_elsewhere(self):
        cluster = make_cluster(4)
        until_agreement(cluster, 30)
        for seed in SEEDS:
            cluster.leave(seed)
        cluster.run_until(cluster.now + 10)
        for seed in SEEDS:
            cluster.restart(seed, SEEDS)
        self.assertLess(until_agreement(cluster, 30), 30)


class FailureTest(unittest.TestCase):
    def test_a_killed_node_is_declared_dead_and_its_restart_alive(self):
        cluster = make_cluster(9)
        until_agreement(cluster, 30)
        cluster.kill("n4")
        self.assertLess(until_agreement(cluster, 40), 40)
        cluster.restart("n4", SEEDS)
        self.assertLess(until_agreement(cluster, 20), 20)

    def test_a_restart_is_never_held_dead_although_its_death_still_spreads(self):
        cluster = make_cluster(9)
        until_agreement(cluster, 30)
        cluster.kill("n4")
        cluster.run_until(cluster.now + 6)
        cluster.restart("n4", SEEDS)
        incarnation = cluster.nodes["n4"].membership.own.incarnation
        for _ in range(200):
            cluster.run_until(cluster.now + 0.1)
            self.assertNotIn((incarnation, MemberState.DEAD), states_held_of(cluster, "n4"))
        self.assertTrue(cluster.agrees())

    def test_a_clock_that_went_back_over_a_restart_is_outbid(self):
        cluster = make_cluster(5)
        until_agreement(cluster, 30)
        cluster.incarnations = iter((5,))
        cluster.restart("n4", SEEDS)
        self.assertLess(until_agreement(cluster, 30), 30)
        self.assertGreater(cluster.nodes["n4"].membership.own.incarnation, 1_000)

    def test_a_paused_node_suspects_nobody_when_it_wakes(self):
        cluster = make_cluster(9)
        until_agreement(cluster, 30)
        cluster.pause("n4")
        cluster.run_until(cluster.now + 60)
        self.assertNotIn("n4", alive_at(cluster, "n0"))
        cluster.resume("n4")
        for _ in range(100):
            cluster.run_until(cluster.now + 0.2)
            dead = [state for _, state in states_held_by(cluster, "n4")]
            self.assertNotIn(MemberState.DEAD, dead)
        self.assertTrue(cluster.agrees())

    def test_one_way_and_lossy_links_do_not_kill(self):
        cluster = make_cluster(9, LinkQuality(loss=0.05))
        until_agreement(cluster, 30)
        cluster.faults.cut_one_way("n1", "n2")
        cluster.run_until(cluster.now + 120)
        self.assertTrue(cluster.agrees())


class LeaveTest(unittest.TestCase):
    def test_a_planned_stop_is_known_at_once_and_is_no_failure(self):
        cluster = make_cluster(9)
        until_agreement(cluster, 30)
        cluster.leave("n4")
        self.assertLess(until_agreement(cluster, 5), 5)
        cluster.run_until(cluster.now + 5)
        self.assertEqual({state for _, state in states_held_of(cluster, "n4")}, {MemberState.LEFT})

    def test_a_leaving_node_that_drains_takes_no_work_but_stays(self):
        cluster = make_cluster(5)
        until_agreement(cluster, 30)
        node = cluster.nodes["n4"]
        cluster.act(node, node.membership.leave(cluster.now))
        cluster.run_until(cluster.now + 60)
        self.assertEqual(
            {state for _, state in states_held_of(cluster, "n4")}, {MemberState.LEAVING}
        )
        for other in names(4):
            self.assertNotIn("n4", alive_at(cluster, other))


class PartitionTest(unittest.TestCase):
    def test_an_hour_long_cut_heals_and_only_the_minority_is_isolated(self):
        cluster = make_cluster(5)
        until_agreement(cluster, 30)
        minority, majority = names(5)[:2], names(5)[2:]
        cluster.faults.partition(minority)
        cluster.run_until(cluster.now + 15)
        for _ in range(20):
            cluster.run_until(cluster.now + 180)
            isolated = [
                name
                for name in names(5)
                if cluster.nodes[name].membership.is_partitioned(cluster.now)
            ]
            self.assertEqual(isolated, minority)
        self.assertEqual(alive_at(cluster, majority[0]), sorted(majority))
        cluster.faults.heal()
        self.assertLess(until_agreement(cluster, 30), 30)
        cluster.run_until(cluster.now + 2)
        for name in names(5):
            self.assertFalse(cluster.nodes[name].membership.is_partitioned(cluster.now))

    def test_isolation_shows_within_seconds_in_a_large_cluster(self):
        cluster = make_cluster(40)
        until_agreement(cluster, 60)
        cluster.faults.partition(names(40)[:12])
        cluster.run_until(cluster.now + 15)
        isolated = {
            name for name in names(40) if cluster.nodes[name].membership.is_partitioned(cluster.now)
        }
        self.assertEqual(isolated, set(names(40)[:12]))


class SharingTest(unittest.TestCase):
    def test_entries_reach_everyone_over_lossy_links_and_vanish_with_their_owner(self):
        cluster = make_cluster(9, LinkQuality(loss=0.3))
        until_agreement(cluster, 60)
        node = cluster.nodes["n4"]
        for number in range(40):
            value = LeavingBackEnd(f"engine-{number}")
            kind = EntryKind.LEAVING_BACK_END
            actions = node.membership.publish(kind, value.back_end, value, cluster.now)
            cluster.act(node, actions)
        cluster.run_until(cluster.now + 60)
        for name in names(9):
            held = cluster.nodes[name].membership.entries(EntryKind.LEAVING_BACK_END)
            self.assertEqual(len(held), 40, name)
        cluster.kill("n4")
        cluster.run_until(cluster.now + 60)
        held = cluster.nodes["n0"].membership.entries(EntryKind.LEAVING_BACK_END)
        self.assertEqual(held, [])

    def test_restricted_entries_are_never_sent_outside_their_audience(self):
        seen = []
        cluster = make_cluster(9, observe=lambda *observation: seen.append(observation))
        until_agreement(cluster, 30)
        node = cluster.nodes["n4"]
        digests = {name: cluster.nodes[name].membership.own.labels_digest for name in names(9)}
        audience = (digests["n4"], digests["n5"])
        value = HotPrefix(2**63, "zone-1")
        cluster.act(
            node,
            node.membership.publish(EntryKind.HOT_PREFIX, "0", value, cluster.now, audience),
        )
        cluster.run_until(cluster.now + 60)
        holders = {
            observer.name for observer, observed, _ in seen if isinstance(observed, EntryChanged)
        }
        self.assertEqual(holders, {"n4", "n5"})
        carriers = {target for target, body in cluster.sent if body.gossip.entries}
        self.assertLessEqual(carriers, {"n4", "n5"})

    def test_a_revision_is_heard_of_by_everyone(self):
        informed = set()

        def observe(node, action, now):
            if isinstance(action, RevisionReported) and action.revision == 3:
                informed.add(node.name)
                cluster.act(node, node.membership.set_revision(3, now))

        cluster = make_cluster(20, observe=observe)
        until_agreement(cluster, 30)
        node = cluster.nodes["n4"]
        cluster.act(node, node.membership.set_revision(3, cluster.now))
        cluster.run_until(cluster.now + 5)
        self.assertEqual(informed | {"n4"}, set(names(20)))


class BudgetTest(unittest.TestCase):
    def test_bytes_are_bounded_whatever_happens(self):
        rate, burst, seconds = 300, 2, 60
        config = MembershipConfig(bytes_per_second=rate, burst_seconds=burst)
        cluster = make_cluster(12, LinkQuality(loss=0.2, duplication=0.3), config=config)
        for node in cluster.nodes.values():
            for number in range(10):
                value = LeavingBackEnd(f"{node.name}-{number}")
                actions = node.membership.publish(
                    EntryKind.LEAVING_BACK_END, value.back_end, value, cluster.now
                )
                cluster.act(node, actions)
        cluster.run_until(seconds)
        for node in cluster.nodes.values():
            self.assertLessEqual(node.sent_bytes, rate * (seconds + 2 * burst))
            self.assertGreater(node.membership.withheld, 0)


def states_held_of(cluster, name):
    return [
        (record.incarnation, record.state)
        for node in cluster.running()
        for record in node.membership.members()
        if record.name == name and node.name != name
    ]


def states_held_by(cluster, name):
    records = cluster.nodes[name].membership.members()
    return [(record.name, record.state) for record in records]


def alive_at(cluster, name):
    return [record.name for record in cluster.nodes[name].membership.alive()]


if __name__ == "__main__":
    unittest.main()
