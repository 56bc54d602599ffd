"""Instances whose entries expired during a store outage are kept for a while."""

import unittest

import trio

from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.exchange_world import ExchangeWorld

OUTAGE_SECONDS = 4.0
RELISTED_SECONDS = 1.8
"""Time from the store's return until entries are back; operators promise about two seconds."""

NOTICED_SECONDS = 1.0
"""Time until all nodes notice the store's return; keys may be unconfirmed until then."""


class LapsedEntriesTest(unittest.TestCase):
    def run_world(self, script, nodes=1):
        world = ExchangeWorld(nodes)
        world.add("p0")
        world.run(script)

    async def expire_in_outage(self, world, fault, seconds=OUTAGE_SECONDS):
        """Cause a store outage at all nodes in which the entry expires; return the entry."""
        entry = world.listed["p0"]
        for directory in world.directories:
            setattr(directory, fault, True)
        await trio.sleep(seconds / 2)
        world.publish(InstanceRemoved("p0"))
        await trio.sleep(seconds / 2)
        for directory in world.directories:
            setattr(directory, fault, False)
        return entry

    async def statuses(self, world, seconds, nodes=1):
        """Send requests periodically, and return their statuses; None for refusals."""
        found = []
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for number in range(nodes):
                found.append((await world.request("safe", node=number)).status)
            await trio.sleep(0.1)
        return found

    def test_an_instance_is_used_until_its_entry_is_back(self):
        for fault in ("down", "unresponsive"):
            for nodes in (1, 3):
                with self.subTest(fault=fault, nodes=nodes):

                    async def script(world, fault=fault, nodes=nodes):
                        entry = await self.expire_in_outage(world, fault)
                        await trio.sleep(NOTICED_SECONDS)
                        statuses = await self.statuses(
                            world, RELISTED_SECONDS - NOTICED_SECONDS, nodes
                        )
                        world.publish(InstanceListed(entry))
                        statuses += await self.statuses(world, 2.0, nodes)
                        self.assertEqual(set(statuses), {200})

                    self.run_world(script, nodes)

    def test_the_return_of_a_silent_store_is_noticed_soon_whenever_it_comes(self):
        # A call that was sent to the silent store was waited for until two seconds were over.
        for fault in ("down", "unresponsive"):
            for nodes in (1, 3):
                for seconds in (4.0, 4.25, 4.5, 4.75, 5.0, 5.25, 5.5, 5.75):
                    with self.subTest(fault=fault, nodes=nodes, seconds=seconds):
                        self.assertLess(self.noticed_after(fault, nodes, seconds), 1.3)

    def noticed_after(self, fault, nodes, seconds):
        """Return the time from the store's return until all nodes had an answer of it."""
        found = []

        async def script(world):
            await self.expire_in_outage(world, fault, seconds)
            returned_at = trio.current_time()
            for _ in range(300):
                answered = [node.knowledge.contact.last_answer_at for node in world.nodes]
                if min(answered) >= returned_at:
                    break
                await trio.sleep(0.01)
            found.append(trio.current_time() - returned_at)

        self.run_world(script, nodes)
        return found[0]

    def test_an_instance_whose_entry_stays_away_is_left(self):
        async def script(world):
            await self.expire_in_outage(world, "down")
            await trio.sleep(3.5)
            server = world.instances.servers["p0"]
            arrivals = server.arrivals
            self.assertEqual(set(await self.statuses(world, 0.5)), {None})
            self.assertEqual(server.arrivals, arrivals)

        self.run_world(script)

    def test_an_instance_that_said_that_it_leaves_is_not_expected_back(self):
        async def script(world):
            entry = world.listed["p0"]
            world.publish(InstanceListed(type(entry)(**{**_fields(entry), "draining": True})))
            await trio.sleep(0.5)
            await self.expire_in_outage(world, "down")
            await trio.sleep(0.2)
            self.assertEqual(set(await self.statuses(world, 0.5)), {None})

        self.run_world(script)

    def test_an_entry_that_goes_while_the_store_answers_means_gone(self):
        async def script(world):
            await trio.sleep(2.0)
            world.publish(InstanceRemoved("p0"))
            await trio.sleep(0.5)
            server = world.instances.servers["p0"]
            arrivals = server.arrivals
            self.assertEqual(set(await self.statuses(world, 0.5)), {None})
            self.assertEqual(server.arrivals, arrivals)

        self.run_world(script)


def _fields(entry):
    """Return an entry's fields."""
    return {field: getattr(entry, field) for field in entry.__struct_fields__}
