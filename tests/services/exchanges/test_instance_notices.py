"""Nodes follow the notices in instances' responses: about to shut down, and back off.

The failures guarded against: an instance announces its shutdown in every response while the store
can't be written, so its entry says ``ready`` for twelve more seconds. A node that goes by the entry
alone sends it requests 2.1 to 5.9 s after relaying such a response, and the instance terminates
under one. An overloaded instance refuses requests and asks for a backoff of three seconds. A node
that ignores it sends five more requests within a second, all refused, while two other instances are
free. The logs show the first as an ordinary request (``exchange_ended``, ``outcome: 200``), the
second as a refusal without its wait (``not run, status 503``).
"""

import unittest

import msgspec
import trio

from hopstep.domain.announced_state import OPENING_STEP_SECONDS
from hopstep.domain.exchanges.retry_after import RetryReason
from hopstep.domain.instance_admission import Purpose
from hopstep.domain.instance_notices import InstanceNotice
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.exchange_world import BOUNDS, ExchangeWorld

INSTANCES = ("i1", "i2", "i3")
REQUEST_SECONDS = 0.03
"""Seconds between two requests: 33 a second, as at the busiest node of the incident."""

DRAIN_SECONDS = BOUNDS.drain_ms / 1_000
BACKOFF_SECONDS = 3.0
IN_FLIGHT_SECONDS = 0.5
"""Seconds for which requests that were sent before a refusal was read may still arrive."""

MAX_WITHIN_BACKOFF = 2
BUSY_SECONDS = 0.5
"""Seconds that a request takes at a busy instance: some twenty times as long as at an idle one."""


class RecordedRefusals:
    """Records when an instance sends notices, by wrapping its source of them."""

    def __init__(self, server):
        self.at = []
        self._notice = server.notice
        server.notice = self

    def __call__(self) -> InstanceNotice:
        self.at.append(trio.current_time())
        return self._notice()


class NoticesCase(unittest.TestCase):
    def make_world(self, **options):
        world = ExchangeWorld(**options)
        for instance_id in INSTANCES:
            world.add(instance_id)
        return world

    def make_busy(self, world):
        """Make the other instances as slow as in a burst, so that the idle one is preferred."""
        for instance_id in INSTANCES[1:]:
            world.instances.servers[instance_id].work_seconds = BUSY_SECONDS

    async def load(self, world, seconds, names=("safe", "unsafe"), node=0):
        """Send requests to a node for a time, and return the answers."""
        answers = []

        async def send(name):
            answers.append(await world.request(name, node=node))

        async with trio.open_nursery() as nursery:
            for number in range(round(seconds / REQUEST_SECONDS)):
                nursery.start_soon(send, names[number % len(names)])
                await trio.sleep(REQUEST_SECONDS)
        return answers


class InstanceNoticesTest(NoticesCase):
    def test_an_instance_that_says_it_leaves_gets_nothing_after_the_bound(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            await self.load(world, 1.0)
            self.assertTrue(server.arrived_at)
            world.directories[0].down = True
            server.announces_leaving = True
            recorded_refusals = RecordedRefusals(server)
            await self.load(world, 3 * DRAIN_SECONDS)
            late = [at for at in server.arrived_at if at > recorded_refusals.at[0] + DRAIN_SECONDS]
            self.assertEqual(late, [])

        world.run(script)

    def test_an_instance_that_asks_for_rest_gets_at_most_two_requests_meanwhile(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            self.make_busy(world)
            await self.load(world, 1.0)
            server.requested_backoff_seconds = BACKOFF_SECONDS
            refusals = RecordedRefusals(server)
            await self.load(world, 3 * BACKOFF_SECONDS)
            self.assertTrue(refusals.at)
            for refused_at in refusals.at:
                first = refused_at + IN_FLIGHT_SECONDS
                last = refused_at + BACKOFF_SECONDS
                within = [at for at in server.arrived_at if first < at < last]
                self.assertLessEqual(len(within), MAX_WITHIN_BACKOFF)

        world.run(script)

    def test_no_client_is_refused_while_another_instance_takes_requests(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            self.make_busy(world)
            await self.load(world, 1.0)
            server.requested_backoff_seconds = BACKOFF_SECONDS
            refusals = RecordedRefusals(server)
            await self.load(world, 0.5)
            self.assertTrue(refusals.at)
            answers = await self.load(world, BACKOFF_SECONDS - 1.0)
            refused = [answer for answer in answers if answer.error is not None]
            self.assertEqual(refused, [])

        world.run(script)


class LeavingTest(NoticesCase):
    """Further rules for an instance that has announced its shutdown."""

    def announce_leaving(self, world, instance_id="i1", node=0):
        """Let a node receive the notice that an instance is shutting down."""
        services = world.nodes[node]
        view = services.knowledge.table.get(instance_id)
        services.notices.listener(view)(InstanceNotice(leaving=True))

    def test_an_entry_that_says_ready_takes_nothing_back(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            self.announce_leaving(world)
            ready = world.listed["i1"]
            world.publish(InstanceListed(msgspec.structs.replace(ready, slots=9)))
            await self.load(world, 1.0)
            self.assertEqual(server.arrived_at, [])
            world.publish(InstanceRemoved("i1"))
            await trio.sleep(1.0)
            world.publish(InstanceListed(ready))
            await self.load(world, 1.0)
            self.assertEqual(server.arrived_at, [])

        world.run(script)

    def test_a_later_life_does_not_leave(self):
        world = self.make_world()

        async def script(world):
            self.announce_leaving(world)
            for instance_id in INSTANCES[1:]:
                world.publish(InstanceRemoved(instance_id))
            server = world.restart("i1", born_ms=2)
            await trio.sleep(3.0)
            answers = await self.load(world, 1.0)
            self.assertTrue(server.arrived_at)
            self.assertTrue(all(answer.status == 200 for answer in answers))

        world.run(script)

    def test_the_word_of_an_earlier_life_marks_no_later_one(self):
        world = self.make_world()

        async def script(world):
            earlier = world.nodes[0].knowledge.table.get("i1")
            world.restart("i1", born_ms=2)
            await trio.sleep(1.0)
            world.nodes[0].notices.listener(earlier)(
                InstanceNotice(leaving=True, backoff_seconds=9.0)
            )
            later = world.nodes[0].knowledge.table.get("i1")
            self.assertIsNot(earlier, later)
            self.assertTrue(later.takes(Purpose.REQUEST, trio.current_time()))

        world.run(script)

    def test_what_waits_for_a_connection_is_sent_to_another(self):
        world = self.make_world()

        async def script(world):
            server = world.instances.servers["i1"]
            self.make_busy(world)
            server.connect_seconds = 0.3
            answers = []

            async def send():
                answers.append(await world.request("unsafe"))

            async with trio.open_nursery() as nursery:
                for _request in range(6):
                    nursery.start_soon(send)
                await trio.sleep(0.1)
                waiting = world.nodes[0].knowledge.table.get("i1").active
                self.assertGreater(waiting, 0)
                self.announce_leaving(world)
            self.assertEqual(server.arrived_at, [])
            self.assertEqual([answer.status for answer in answers], [200] * 6)

        world.run(script)

    def test_where_all_leave_requests_go_on_until_half_of_the_bound(self):
        world = self.make_world()

        async def script(world):
            for instance_id in INSTANCES:
                self.announce_leaving(world, instance_id)
            announced_at = trio.current_time()
            answers = await self.load(world, DRAIN_SECONDS)
            arrived = [
                at for server in world.instances.servers.values() for at in server.arrived_at
            ]
            self.assertTrue(arrived)
            self.assertLess(max(arrived), announced_at + DRAIN_SECONDS)
            refused = [answer for answer in answers if answer.error is not None]
            self.assertTrue(refused)
            self.assertTrue(all(answer.promised_not_run for answer in refused))

        world.run(script)

    def test_the_end_of_its_entry_counts_against_no_request(self):
        world = self.make_world()

        async def script(world):
            ended = []
            world.nodes[0].knowledge.instances.subscribe_terminations(
                lambda incarnation, _evidence: ended.append(incarnation)
            )
            self.announce_leaving(world)
            for instance_id in INSTANCES[:2]:
                world.publish(InstanceRemoved(instance_id))
            await trio.sleep(3.0)
            self.assertEqual([incarnation.instance_id for incarnation in ended], ["i2"])

        world.run(script)

    def test_other_nodes_hear_of_it_without_the_store_and_so_does_one_that_starts(self):
        world = self.make_world(nodes=4, zones=2)

        async def script(world):
            await trio.sleep(1.0)
            for directory in world.directories:
                directory.down = True
            self.announce_leaving(world)
            await trio.sleep(1.5)
            for services in world.nodes:
                view = services.knowledge.table.get("i1")
                self.assertTrue(view.announced_state.has_announced_leaving, services.knowledge.name)
            for directory in world.directories:
                directory.down = False
            started = world.start_node(world.nursery, "n9")
            await trio.sleep(2.0)
            self.assertTrue(started.knowledge.table.get("i1").announced_state.has_announced_leaving)

        world.run(script)

    def test_nothing_is_told_once_the_directory_says_so_itself(self):
        world = self.make_world()

        async def script(world):
            self.announce_leaving(world)
            self.assertEqual(len(world.nodes[0].sharing.own_hints().leaving), 1)
            leaving = msgspec.structs.replace(world.listed["i1"], draining=True)
            world.publish(InstanceListed(leaving))
            await trio.sleep(1.0)
            self.assertEqual(world.nodes[0].sharing.own_hints().leaving, ())

        world.run(script)


class RestingTest(NoticesCase):
    """Further rules for an instance that has asked for a backoff."""

    def ask_for_backoff(self, world, seconds, instance_id="i1", node=0):
        """Let a node receive the notice that an instance asks for a backoff."""
        services = world.nodes[node]
        view = services.knowledge.table.get(instance_id)
        services.notices.listener(view)(InstanceNotice(backoff_seconds=seconds))

    def test_a_later_rest_does_not_shorten_an_earlier_one(self):
        world = self.make_world()

        async def script(world):
            self.make_busy(world)
            self.ask_for_backoff(world, 5.0)
            self.ask_for_backoff(world, 0.5)
            started_at = trio.current_time()
            await self.load(world, 6.0)
            arrived = world.instances.servers["i1"].arrived_at
            self.assertTrue(arrived)
            self.assertGreaterEqual(min(arrived), started_at + 5.0)

        world.run(script)

    def test_a_node_that_was_not_asked_goes_on(self):
        world = self.make_world(nodes=2)

        async def script(world):
            self.make_busy(world)
            self.ask_for_backoff(world, 3.0)
            await self.load(world, 1.0, node=1)
            self.assertTrue(world.instances.servers["i1"].arrived_at)

        world.run(script)

    def test_a_new_life_has_no_rest(self):
        world = self.make_world()

        async def script(world):
            self.ask_for_backoff(world, 60.0)
            server = world.restart("i1", born_ms=2)
            await trio.sleep(1.0)
            await self.load(world, 1.0)
            self.assertTrue(server.arrived_at)

        world.run(script)

    def test_where_all_rest_clients_are_refused_at_once_until_the_earliest_end(self):
        world = self.make_world()

        async def script(world):
            for number, instance_id in enumerate(INSTANCES):
                self.ask_for_backoff(world, 2.0 + number, instance_id)
            asked_at = trio.current_time()
            answer = await world.request("unsafe")
            self.assertEqual(trio.current_time(), asked_at)
            self.assertTrue(answer.promised_not_run)
            self.assertEqual(answer.error.code, ErrorCode.OVERLOADED)
            self.assertGreaterEqual(answer.error.retry_after_seconds, 2.0)
            self.assertLessEqual(answer.error.retry_after_seconds, 2.0 * 1.3)
            advisor = world.nodes[0].exchanges._advisor
            advice = advisor.advise(ErrorCode.OVERLOADED, "plain")
            self.assertIs(advice.reason, RetryReason.BACKING_OFF)

        world.run(script)

    def test_a_request_waits_for_a_rest_that_ends_early_enough_for_its_objective(self):
        world = self.make_world()

        async def script(world):
            for instance_id in INSTANCES:
                self.ask_for_backoff(world, 0.3, instance_id)
            asked_at = trio.current_time()
            answer = await world.request("unsafe")
            self.assertEqual(answer.status, 200)
            [arrived_at] = [at for s in world.instances.servers.values() for at in s.arrived_at]
            self.assertAlmostEqual(arrived_at, asked_at + 0.3, places=3)

        world.run(script)

    def test_at_the_end_of_a_rest_not_all_come_at_once(self):
        world = self.make_world()

        async def script(world):
            for instance_id in INSTANCES:
                self.ask_for_backoff(world, 1.0, instance_id)
            for server in world.instances.servers.values():
                server.work_seconds = BUSY_SECONDS
            ended_at = trio.current_time() + 1.0
            await trio.sleep(1.0)
            answers = []

            async def send():
                answers.append(await world.request("unsafe"))

            async with trio.open_nursery() as nursery:
                for _request in range(30):
                    nursery.start_soon(send)
            for server in world.instances.servers.values():
                arrived = server.arrived_at
                for step in range(3):
                    began, ended = (ended_at + n * OPENING_STEP_SECONDS for n in (step, step + 1))
                    self.assertLessEqual(sum(began <= at < ended for at in arrived), 2**step)
            refused = [answer for answer in answers if answer.error is not None]
            self.assertTrue(all(answer.promised_not_run for answer in refused))
            self.assertTrue(all(a.error.retry_after_seconds <= 1.0 for a in refused))

        world.run(script)

    def test_an_engine_that_rests_gets_neither_reports_nor_orders(self):
        world = ExchangeWorld()
        world.add("e0", "llm")

        async def script(world):
            await trio.sleep(5.0)
            server = world.instances.servers["e0"]
            self.ask_for_backoff(world, 3.0, "e0")
            asked_at = trio.current_time()
            before = len(server.arrived_at)
            world.name_weights(2)
            await trio.sleep(2.9)
            self.assertEqual(server.arrived_at[before:], [])
            await trio.sleep(4.0)
            self.assertEqual(server.versions, {"m": 2})
            self.assertGreater(server.arrived_at[before], asked_at + 3.0)

        world.run(script)
