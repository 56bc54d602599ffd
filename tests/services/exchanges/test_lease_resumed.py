"""A holder resumes a lease that still exists after a store outage, even after a restart."""

import itertools
import unittest

import trio

from emulator.platform.faults import FaultOrder
from hopstep.exceptions import ErrorCode, StoreOutcomeUnknownError
from hopstep.services.exchanges.directory.records import ROLLOUT_KEY
from tests.services.exchanges.exchange_world import BOUNDS, ExchangeWorld

LEASE_SECONDS = BOUNDS.lease_ms / 1_000
OUTAGE_SECONDS = 5.0
ADDRESS = "127.0.0.8:8"
RESUMED_SECONDS = 1.5
"""Time from the store's return to the first order: a call, the update of weights, the order."""


class LeaseResumedTest(unittest.TestCase):
    def run_world(self, script):
        world = ExchangeWorld(nodes=0)
        for number in range(4):
            world.add(f"e{number}", "llm")
        world.run(script)

    def holder(self, world):
        (holder,) = (node for node in world.nodes if node.lease.fencing_token)
        return holder

    def orders(self, world):
        """Return the orders that engines accepted, with their times; check tokens and holders."""
        orders = sorted(
            (order for server in world.instances.servers.values() for order in server.orders),
            key=lambda order: order[0],
        )
        for (earlier, first), (later, second) in itertools.pairwise(orders):
            self.assertLessEqual(first.fencing_token, second.fencing_token)
            if first.holder != second.holder:
                self.assertGreaterEqual(later - earlier, LEASE_SECONDS)
        return orders

    def stop_store(self, world, *, keep_leases):
        """Make the store unavailable to all nodes."""
        for directory in world.directories:
            directory.down = True
        if keep_leases:
            world.shared.model.extend_leases(OUTAGE_SECONDS)
        world.shared.order_faults(FaultOrder(outage=True))

    def start_store(self, world):
        """Make the store available again, and return the time."""
        for directory in world.directories:
            directory.down = False
        world.shared.order_faults(FaultOrder(outage=False))
        return trio.current_time()

    def test_the_holder_goes_on_at_once_when_its_lease_has_waited(self):
        async def script(world):
            for number in range(3):
                world.start_node(world.nursery, f"n{number}")
            await trio.sleep(2 * LEASE_SECONDS + 1.0)
            holder = self.holder(world)
            token = holder.lease.fencing_token
            self.stop_store(world, keep_leases=True)
            await trio.sleep(OUTAGE_SECONDS)
            self.assertFalse(holder.lease.may_order)
            world.name_weights(2)
            returned_at = self.start_store(world)
            await trio.sleep(2 * LEASE_SECONDS)
            orders = self.orders(world)
            self.assertLess(orders[0][0], returned_at + RESUMED_SECONDS)
            self.assertEqual({order.fencing_token for _, order in orders}, {token})

        self.run_world(script)

    def test_another_holder_waits_when_the_lease_has_lapsed_meanwhile(self):
        async def script(world):
            for number in range(3):
                world.start_node(world.nursery, f"n{number}")
            await trio.sleep(2 * LEASE_SECONDS + 1.0)
            token = self.holder(world).lease.fencing_token
            self.stop_store(world, keep_leases=False)
            await trio.sleep(OUTAGE_SECONDS)
            world.name_weights(2)
            returned_at = self.start_store(world)
            await trio.sleep(2 * LEASE_SECONDS)
            orders = self.orders(world)
            self.assertGreaterEqual(orders[0][0], returned_at + LEASE_SECONDS)
            self.assertGreater(min(order.fencing_token for _, order in orders), token)

        self.run_world(script)

    def test_a_takeover_that_was_not_answered_still_waits_its_time_out(self):
        async def script(world):
            node = world.start_node(world.nursery, "n0")
            store, created = node.lease._store, []
            swap = store.compare_and_swap

            async def lose_answer(*arguments):
                await swap(*arguments)
                if arguments[0] == ROLLOUT_KEY:
                    created.append(trio.current_time())
                    store.cut_off = True
                    raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, "lost")

            store.compare_and_swap = lose_answer
            world.name_weights(2)
            await trio.sleep(1.5)
            store.cut_off = False
            await trio.sleep(2 * LEASE_SECONDS)
            self.assertGreaterEqual(self.orders(world)[0][0], created[0] + LEASE_SECONDS)

        self.run_world(script)

    def test_a_holder_that_was_restarted_goes_on_under_its_lease_after_a_lease_time(self):
        first, order_seconds = self.restart_holder(ADDRESS)
        self.assertEqual(first, 0)
        self.assertGreaterEqual(order_seconds, LEASE_SECONDS)
        self.assertLess(order_seconds, LEASE_SECONDS + RESUMED_SECONDS)

    def test_another_machine_with_the_holders_name_waits_like_any_other(self):
        newer, order_seconds = self.restart_holder("127.0.0.9:9")
        self.assertGreater(newer, 0)
        self.assertGreaterEqual(order_seconds, 2 * LEASE_SECONDS - RESUMED_SECONDS)

    def restart_holder(self, address):
        """Kill the holder during an outage, and start a node with its name at an address.

        Returns:
            The difference between the fencing token of the first order and the previous token, and
            the time from the store's return to that order.
        """
        found = []

        async def script(world):
            async with trio.open_nursery() as first_incarnation:
                world.start_node(first_incarnation, "n0", address=ADDRESS)
                await trio.sleep(2 * LEASE_SECONDS + 1.0)
                token = self.holder(world).lease.fencing_token
                for number in (1, 2):
                    world.start_node(world.nursery, f"n{number}")
                await trio.sleep(1.0)
                self.stop_store(world, keep_leases=True)
                await trio.sleep(1.0)
                first_incarnation.cancel_scope.cancel()
            world.start_node(world.nursery, "n0", address=address)
            world.directories[-1].down = True
            await trio.sleep(OUTAGE_SECONDS - 1.0)
            world.name_weights(2)
            returned_at = self.start_store(world)
            await trio.sleep(3 * LEASE_SECONDS)
            at, order = self.orders(world)[0]
            found.append((order.fencing_token - token, at - returned_at))

        self.run_world(script)
        return found[0]
