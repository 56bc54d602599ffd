"""Refusals that also report other weights or another incarnation of the instance."""

import unittest

import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.exchanges.cache_groups import CacheGroups
from tests.services.exchanges.exchange_world import MODEL, ExchangeWorld

COMPLETE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(5))


class StaleVersionsTest(unittest.TestCase):
    def run_world(self, script, engines=1):
        world = ExchangeWorld()
        for number in range(engines):
            world.add(f"e{number}", "llm")
        world.run(script)

    def load_unnoticed(self, world, version):
        """Give all engines a version that their entries don't show."""
        for server in world.instances.servers.values():
            server.versions[MODEL] = version

    def test_a_request_that_runs_once_is_served_after_an_unnoticed_load(self):
        async def script(world):
            world.name_weights(2)
            await trio.sleep(0.3)
            self.load_unnoticed(world, 2)
            answer = await world.request("stream", request_id="r")
            self.assertEqual((answer.status, answer.body), (200, COMPLETE_STREAM))
            calls = world.instances.calls
            self.assertEqual([call.expected_version for call in calls], [1, 2])
            common = CacheGroups({"t1"}).common
            salts = [f"{common}.1", f"{common}.2"]
            self.assertEqual([call.cache_salt for call in calls], salts)
            self.assertEqual(len(world.instances.runs("r")), 1)
            await world.request("stream")
            self.assertEqual(world.instances.calls[-1].expected_version, 2)
            self.assertEqual(len(world.instances.calls), 3)

        self.run_world(script)

    def test_it_goes_to_no_second_instance(self):
        async def script(world):
            world.name_weights(2)
            await trio.sleep(0.3)
            self.load_unnoticed(world, 2)
            await world.request("stream", request_id="r")
            sent_to = {call.instance.instance_id for call in world.instances.calls}
            self.assertEqual(len(sent_to), 1)

        self.run_world(script, engines=3)

    def test_a_version_that_was_never_named_is_refused_once_more_and_no_belief_stays(self):
        async def script(world):
            world.name_weights(3)
            await trio.sleep(0.3)
            self.load_unnoticed(world, 2)
            answer = await world.request("stream", request_id="r")
            self.assertTrue(answer.promised_not_run)
            versions = [call.expected_version for call in world.instances.calls]
            self.assertEqual(versions, [1, 3])
            view = world.nodes[0].knowledge.table.get("e0")
            self.assertEqual(view.versions[MODEL], 1)
            self.assertEqual(view.serving_version(MODEL), 1)

        self.run_world(script)

    def test_without_newer_weights_nothing_is_sent_again(self):
        async def script(world):
            self.load_unnoticed(world, 2)
            answer = await world.request("stream")
            self.assertTrue(answer.promised_not_run)
            self.assertEqual(len(world.instances.calls), 1)

        self.run_world(script)


class ReplacedInstanceTest(unittest.TestCase):
    """An instance has crashed, its entry still exists, and another one answers at its address."""

    def run_world(self, script, names=("p0", "p1")):
        world = ExchangeWorld()
        for name in names:
            world.add(name)
        world.run(script)

    def test_a_request_that_runs_once_goes_on_to_another_instance(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.REPLACED
            for number in range(12):
                answer = await world.request("unsafe", request_id=f"r{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(len(world.instances.runs(f"r{number}")), 1)
            self.assertLessEqual(world.instances.servers["p0"].arrivals, 1)

        self.run_world(script)

    def test_it_is_refused_as_not_run_when_there_is_no_other(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.REPLACED
            answer = await world.request("unsafe")
            self.assertTrue(answer.promised_not_run)

        self.run_world(script, ("p0",))

    def test_the_next_incarnation_is_used_once_it_is_listed(self):
        async def script(world):
            world.instances.servers["p0"].behaviour = Behaviour.REPLACED
            self.assertTrue((await world.request("unsafe")).promised_not_run)
            world.add("p9")
            await trio.sleep(0.5)
            self.assertEqual((await world.request("unsafe")).status, 200)

        self.run_world(script, ("p0",))
