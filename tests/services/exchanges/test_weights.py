"""Rollout of weights: a single holder, time bounds, lost and late orders."""

import itertools
import unittest

import trio

from emulator.platform.faults import FaultOrder
from hopstep.domain.exchanges.instances import NamedWeights
from hopstep.domain.exchanges.weights import NamedWeightsTable, WeightsBounds
from hopstep.exceptions import ErrorCode, StoreOutcomeUnknownError
from hopstep.ports.serving_directory import InstanceListed
from tests.services.exchanges.exchange_world import BOUNDS, MODEL, ExchangeWorld

BOUND_SECONDS = BOUNDS.weights_ms / 1_000
LEASE_SECONDS = BOUNDS.lease_ms / 1_000


class WeightsBookTest(unittest.TestCase):
    def book(self):
        book = NamedWeightsTable(WeightsBounds(8.0, reserve_seconds=1.5))
        book.put(NamedWeights(MODEL, 2), 100.0)
        return book

    def test_a_version_is_required_from_shortly_before_its_bound(self):
        book = self.book()
        self.assertEqual(book.required(MODEL, 106.0), 0)
        self.assertEqual(book.required(MODEL, 106.6), 2)

    def test_each_version_counts_from_its_own_naming(self):
        book = self.book()
        book.put(NamedWeights(MODEL, 3), 103.0)
        self.assertEqual(book.required(MODEL, 107.0), 2)
        self.assertEqual(book.required(MODEL, 109.6), 3)

    def test_an_older_version_that_is_heard_late_changes_nothing(self):
        book = self.book()
        self.assertFalse(book.put(NamedWeights(MODEL, 1), 101.0))
        self.assertEqual(book.newest(MODEL), 2)

    def test_loading_waits_for_further_versions_as_long_as_the_bound_allows(self):
        book = self.book()
        due = book.due_at(MODEL, 6, 2, 1)
        self.assertGreater(due, 102.0)
        self.assertLessEqual(due + 3 * book.load_seconds, 106.5)

    def test_a_version_of_unknown_age_is_not_overdue_at_once(self):
        book = NamedWeightsTable(WeightsBounds(8.0, reserve_seconds=1.5))
        now = 500.0
        book.put(NamedWeights(MODEL, 2), book.oldest_since(now))
        self.assertEqual(book.required(MODEL, now), 0)
        self.assertEqual(book.required(MODEL, now + 3.0), 2)


class RolloutTest(unittest.TestCase):
    def run_world(self, script, nodes=3, engines=6):
        world = ExchangeWorld(nodes)
        for number in range(engines):
            world.add(f"e{number}", "llm")
        world.run(script)
        return world

    def servers(self, world):
        return list(world.instances.servers.values())

    def check_orders(self, world):
        """Check that fencing tokens never decrease, and the holder never changes within a lease."""
        orders = sorted(
            (order for server in self.servers(world) for order in server.orders),
            key=lambda order: order[0],
        )
        for (earlier, first), (later, second) in itertools.pairwise(orders):
            self.assertLessEqual(first.fencing_token, second.fencing_token)
            if first.holder != second.holder:
                self.assertGreaterEqual(later - earlier, LEASE_SECONDS)
        return orders

    def versions(self, world):
        return {server.versions[MODEL] for server in self.servers(world)}

    def test_named_weights_are_at_every_engine_in_time(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual(self.versions(world), {2})
            self.assertEqual(len({o[1].holder for o in self.check_orders(world)}), 1)

        self.run_world(script)

    def test_versions_that_follow_closely_are_loaded_by_halves_in_turn(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            await trio.sleep(3.0)
            self.assertEqual(
                sorted(s.versions[MODEL] for s in self.servers(world)), [1, 1, 1, 2, 2, 2]
            )
            world.name_weights(3)
            await trio.sleep(2.0)
            self.assertEqual(
                sorted(s.versions[MODEL] for s in self.servers(world)), [2, 2, 2, 3, 3, 3]
            )
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual(self.versions(world), {3})
            self.assertEqual(len(self.check_orders(world)), 9)

        self.run_world(script)

    def test_half_of_the_engines_have_a_named_version_within_two_loads(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            await trio.sleep(2.2)
            newest = [s for s in self.servers(world) if s.versions[MODEL] == 2]
            self.assertEqual(len(newest), 3)
            for node in range(len(world.nodes)):
                await world.request("stream", node=node)
            self.assertEqual(sum(len(s.runs) for s in newest), len(world.nodes))

        self.run_world(script)

    def test_nothing_is_sent_to_an_engine_from_shortly_before_its_order(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            refused = 0
            with trio.move_on_after(BOUND_SECONDS):
                while True:
                    for node in range(len(world.nodes)):
                        answer = await world.request("stream", node=node)
                        refused += answer.error is not None
                    await trio.sleep(0.05)
            self.assertEqual(refused, 0)

        self.run_world(script)

    def test_a_fenced_holder_orders_no_more_under_its_token(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            holder = next(n for n in world.nodes if n.lease.fencing_token)
            token = holder.lease.fencing_token
            for server in self.servers(world):
                server.highest_fence = token + 1
            world.name_weights(2)
            await trio.sleep(1.0)
            self.assertFalse(holder.lease.may_order)
            sent = [
                o
                for s in self.servers(world)
                for _, o in s.received_orders
                if o.fencing_token == token
            ]
            await trio.sleep(2 * LEASE_SECONDS)
            later = [
                o
                for s in self.servers(world)
                for _, o in s.received_orders
                if o.fencing_token == token
            ]
            self.assertLessEqual(len(sent), 3)
            self.assertEqual(later, sent)

        self.run_world(script)

    def test_no_more_than_a_third_load_at_once(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            most = 0
            with trio.move_on_after(BOUND_SECONDS):
                while True:
                    most = max(most, sum(s.busy for s in self.servers(world)))
                    await trio.sleep(0.05)
            self.assertEqual(most, 3)

        self.run_world(script, engines=9)

    def test_lost_and_late_orders_load_each_engine_once(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            servers = self.servers(world)
            servers[0].lost_order_answers = 1
            servers[1].order_delay_seconds = 3.0
            world.name_weights(2)
            await trio.sleep(BOUND_SECONDS)
            servers[1].order_delay_seconds = 0.0
            await trio.sleep(6.0)
            self.assertEqual(self.versions(world), {2})
            self.assertEqual([len(s.orders) for s in servers], [1] * 6)

        self.run_world(script)

    def test_an_engine_that_comes_back_with_old_weights_is_loaded(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            await trio.sleep(BOUND_SECONDS)
            world.add("late", "llm")
            await trio.sleep(3.0)
            self.assertEqual(self.versions(world), {2})

        self.run_world(script)

    def test_another_node_takes_over_after_the_holder_is_gone(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            holder = next(n for n in world.nodes if n.lease.fencing_token)
            holder.lease._store.cut_off = True
            world.name_weights(2)
            await trio.sleep(2 * BOUND_SECONDS)
            self.assertEqual(self.versions(world), {2})
            self.check_orders(world)
            self.assertFalse(holder.lease.may_order)

        self.run_world(script)

    def test_lapsing_leases_never_give_two_holders_at_once(self):
        async def script(world):
            for version in range(2, 8):
                world.name_weights(version)
                await trio.sleep(2.5)
                world.shared.order_faults(FaultOrder(lapse_leases=True))
            await trio.sleep(3 * BOUND_SECONDS)
            self.assertEqual(self.versions(world), {7})
            self.check_orders(world)

        self.run_world(script)

    def test_a_holder_keeps_its_lease_while_answers_are_lost(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            tokens = {node.lease.fencing_token for node in world.nodes}
            for _ in range(10):
                world.shared.order_faults(FaultOrder(lost_answers=2))
                await trio.sleep(1.0)
            self.assertEqual({node.lease.fencing_token for node in world.nodes}, tokens)

        self.run_world(script)

    def test_a_lease_whose_creation_was_not_answered_is_read_back(self):
        async def script(world):
            store = world.nodes[0].lease._store
            swap = store.compare_and_swap

            async def lose_answer(*arguments):
                await swap(*arguments)
                raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, "lost")

            store.compare_and_swap = lose_answer
            await trio.sleep(1.0)
            world.shared.order_faults(FaultOrder(lapse_leases=True))
            await trio.sleep(1.5)
            self.assertTrue(world.nodes[0].lease.fencing_token)

        self.run_world(script, nodes=1)

    def test_a_released_lease_is_taken_by_another_node(self):
        async def script(world):
            await trio.sleep(LEASE_SECONDS + 1.0)
            holder = next(n for n in world.nodes if n.lease.fencing_token)
            await holder.lease.release()
            self.assertFalse(holder.lease.may_order)
            world.name_weights(2)
            await trio.sleep(2 * BOUND_SECONDS)
            self.assertEqual(self.versions(world), {2})
            self.check_orders(world)

        self.run_world(script)

    def test_no_request_starts_on_older_weights_beyond_the_bound(self):
        async def script(world):
            for server in self.servers(world):
                server.load_seconds = 30.0
            await trio.sleep(LEASE_SECONDS + 1.0)
            world.name_weights(2)
            named_at = trio.current_time()
            while trio.current_time() < named_at + BOUND_SECONDS + 4.0:
                answer = await world.request("stream")
                if answer.error is not None:
                    self.assertTrue(answer.promised_not_run)
                await trio.sleep(0.1)
            runs = [run for server in self.servers(world) for run in server.runs]
            late = [r for r in runs if r.version < 2 and r.at > named_at + BOUND_SECONDS]
            self.assertEqual(late, [])
            self.assertTrue(runs)

        self.run_world(script)

    def test_versions_of_a_listed_incarnation_never_go_down(self):
        async def script(world):
            view = world.nodes[0].knowledge.table.get("e0")
            view.learn_version(MODEL, 3)
            world.publish(InstanceListed(world.listed["e0"]))
            await trio.sleep(0.1)
            self.assertEqual(view.versions[MODEL], 3)

        self.run_world(script)
