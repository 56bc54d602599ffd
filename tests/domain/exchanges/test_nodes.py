"""Which nodes are relays, and which nodes a node asks when some are unresponsive."""

import unittest

import msgspec

from hopstep.domain.exchanges.nodes import (
    FORMAT_VERSION_WITH_STREAMS,
    MAX_UNANSWERED,
    NODES_PER_RELAY,
    PROBE_SECONDS,
    NodeRecord,
    RelayPlan,
)


def fleet(sizes, large=()):
    records = {}
    for zone, size in sizes.items():
        for number in range(size):
            name = f"{zone}-{number}"
            capacity = 2.0 if name in large else 0.5
            records[name] = NodeRecord(f"{name}:1", zone, b"k", capacity)
    return records


def plans(records):
    result = {}
    for name, record in records.items():
        result[name] = RelayPlan(name, record)
        result[name].set_nodes(records)
    return result


def make_unresponsive(plan, name):
    for _ in range(MAX_UNANSWERED):
        plan.note_asked(name)


class RelayPlanTest(unittest.TestCase):
    def test_a_node_that_knows_no_other_reads_the_store_itself(self):
        plan = RelayPlan("a", NodeRecord("a:1", "z"))
        self.assertEqual(
            (plan.relay(), plan.readers_elsewhere(0), plan.digest_targets()), ("", [], [])
        )

    def test_all_nodes_of_a_zone_agree_on_its_relays(self):
        records = fleet({"x": 20, "y": 60})
        relays = {name: plan.relay() for name, plan in plans(records).items()}
        for zone, count in (("x", 1), ("y", -(-60 // NODES_PER_RELAY))):
            own = {name for name, relay in relays.items() if name.startswith(zone) and not relay}
            asked = {relay for name, relay in relays.items() if name.startswith(zone) and relay}
            self.assertEqual(len(own), count)
            self.assertEqual(asked, own)

    def test_larger_nodes_are_relays(self):
        records = fleet({"x": 20}, large={"x-7"})
        self.assertEqual(plans(records)["x-3"].relay(), "x-7")

    def test_nodes_that_drop_software_versions_are_relays_last(self):
        # What they relayed lacked the versions, so that no stream could be resumed.
        records = {
            name: msgspec.structs.replace(record, form=FORMAT_VERSION_WITH_STREAMS)
            for name, record in fleet({"a": 3}).items()
        }
        records["a-old"] = NodeRecord("a-old:1", "a", b"k", 8.0, FORMAT_VERSION_WITH_STREAMS - 1)
        relays = {plan.relay() for plan in plans(records).values()} - {""}
        self.assertEqual(len(relays), 1)
        self.assertNotIn("a-old", relays)

    def test_an_unresponsive_relay_is_replaced_until_it_sends_a_message(self):
        plan = plans(fleet({"x": 20}))["x-3"]
        relay = plan.relay()
        make_unresponsive(plan, relay)
        self.assertNotIn(plan.relay(), ("", relay))
        plan.note_message(relay)
        self.assertEqual(plan.relay(), relay)

    def test_without_any_relay_a_node_reads_the_store_itself(self):
        plan = plans(fleet({"x": 20}))["x-3"]
        left = []
        while plan.relay():
            left.append(plan.relay())
            make_unresponsive(plan, left[-1])
        self.assertLessEqual(len(left), 3)

    def test_an_unresponsive_relay_is_probed_from_time_to_time(self):
        plan = plans(fleet({"x": 20}))["x-3"]
        relay = plan.relay()
        self.assertEqual(plan.probe(10.0), "")
        make_unresponsive(plan, relay)
        self.assertEqual(plan.probe(10.0), relay)
        self.assertEqual(plan.probe(10.1), "")
        self.assertEqual(plan.probe(10.0 + PROBE_SECONDS), relay)

    def test_a_relay_without_the_store_is_replaced_by_one_that_has_it(self):
        plan = plans(fleet({"x": 2 * NODES_PER_RELAY}))["x-3"]
        relay = plan.relay()
        plan.note_store(relay, lost=True)
        self.assertNotIn(plan.relay(), ("", relay))
        self.assertTrue(plan.has_source)
        self.assertEqual(plan.probe(10.0), relay)
        plan.note_store(relay, lost=False)
        self.assertEqual(plan.relay(), relay)

    def test_a_relay_without_the_store_is_asked_for_loads_when_no_other_answers(self):
        plan = plans(fleet({"x": 2}))
        member = next(p for p in plan.values() if p.relay())
        relay = member.relay()
        member.note_store(relay, lost=True)
        self.assertEqual(member.relay(), relay)
        self.assertFalse(member.has_source)

    def test_without_any_relay_that_has_the_store_only_few_nodes_read_it_at_once(self):
        records = fleet({"x": 40})
        relays = {name for name, plan in plans(records).items() if not plan.relay()}
        readers = set()
        for name, plan in plans(records).items():
            for relay in relays:
                plan.note_store(relay, lost=True)
            if plan.is_stand_in and not plan.has_source:
                readers.add(name)
        self.assertEqual(len(readers - relays), 1)

    def test_the_state_of_a_removed_node_is_dropped(self):
        records = fleet({"x": 5})
        plan = plans(records)["x-3"]
        relay = plan.relay()
        plan.note_store(relay, lost=True)
        plan.set_nodes({name: record for name, record in records.items() if name != relay})
        plan.set_nodes(records)
        self.assertEqual(plan.relay(), relay)
        self.assertTrue(plan.has_source)

    def test_other_routes_to_the_store_take_turns_and_never_include_the_node_itself(self):
        records = fleet({"x": 3, "y": 3, "z": 3})
        for name, plan in plans(records).items():
            found = {other for turn in range(20) for other in plan.readers_elsewhere(turn)}
            self.assertNotIn(name, found)
            self.assertEqual({other[0] for other in found} | {name[0]}, {"x", "y", "z"})

    def test_a_relay_of_a_lone_zone_asks_the_nodes_that_read_the_store_in_its_place(self):
        records = fleet({"x": 20})
        known = plans(records)
        relay = next(name for name, plan in known.items() if not plan.relay())
        found = {other for turn in range(20) for other in known[relay].readers_elsewhere(turn)}
        self.assertEqual(found, {n for n, p in known.items() if p.is_stand_in} - {relay})

    def test_digests_go_to_each_zones_relays_and_stand_ins_of_unresponsive_ones(self):
        records = fleet({"x": 5, "y": 5})
        known = plans(records)
        relay = next(n for n, plan in known.items() if n[0] == "x" and not plan.relay())
        plan = known[relay]
        targets = plan.digest_targets()
        self.assertEqual([name[0] for name in targets], ["y"])
        make_unresponsive(plan, targets[0])
        self.assertEqual(len(plan.digest_targets()), 2)

    def test_a_removed_node_is_not_asked(self):
        records = fleet({"x": 5})
        plan = plans(records)["x-3"]
        relay = plan.relay()
        plan.set_nodes({name: record for name, record in records.items() if name != relay})
        self.assertNotEqual(plan.relay(), relay)
