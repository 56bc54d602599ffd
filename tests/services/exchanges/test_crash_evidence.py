"""Which ends of instances count against the requests that they had not answered."""

import msgspec
import trio

from emulator.exchange_platform.emulated_instance import Behaviour
from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.ports.serving_directory import InstanceListed, InstanceRemoved
from tests.services.exchanges.quarantine_case import (
    ENGINES,
    FATAL,
    REPORTED_SECONDS,
    STORED_SECONDS,
    QuarantinedRequestsCase,
)


class EvidenceTest(QuarantinedRequestsCase):
    async def disconnect_waiting(self, world, server):
        """Let a request wait at an unresponsive instance until its client disconnects."""
        server.behaviour = Behaviour.UNRESPONSIVE
        others = [other for other in world.instances.servers.values() if other is not server]
        for other in others:
            other.instance = msgspec.structs.replace(other.instance, draining=True)
            world.relist(other.instance)
        await trio.sleep(1.0)
        with trio.move_on_after(0.5):
            await world.request("unsafe", body=FATAL)

    def test_a_silent_instance_whose_entry_lapses_has_ended_under_what_it_left_unanswered(self):
        async def script(world):
            server = world.instances.servers["i0"]
            await self.disconnect_waiting(world, server)
            self.assertTrue(world.nodes[0].quarantine.is_idle)
            world.publish(InstanceRemoved("i0"))
            await trio.sleep(STORED_SECONDS)
            self.assertFalse(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_an_instance_that_starts_again_under_its_id_has_ended(self):
        async def script(world):
            server = world.instances.servers["i0"]
            await self.disconnect_waiting(world, server)
            again = msgspec.structs.replace(server.instance, born_ms=1_700_000_000_000)
            world.publish(InstanceListed(again))
            await trio.sleep(STORED_SECONDS)
            self.assertFalse(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_an_instance_that_said_it_leaves_has_not_ended_under_a_request(self):
        async def script(world):
            server = world.instances.servers["i0"]
            await self.disconnect_waiting(world, server)
            world.relist(msgspec.structs.replace(server.instance, draining=True))
            await trio.sleep(STORED_SECONDS)
            world.publish(InstanceRemoved("i0"))
            await trio.sleep(STORED_SECONDS)
            self.assertTrue(world.nodes[0].quarantine.is_idle)

        self.run_world(script, service="plain")

    def test_ends_of_one_instance_that_starts_again_under_its_id_count_each(self):
        async def script(world):
            for number in range(1, ENGINES):
                world.publish(InstanceRemoved(f"i{number}"))
            await trio.sleep(1.0)
            for incarnation in range(1, TERMINATIONS_TO_REFUSE + 1):
                born = msgspec.structs.replace(world.listed["i0"], born_ms=incarnation)
                world.instances.add(born)
                world.publish(InstanceListed(born))
                await trio.sleep(STORED_SECONDS)
                await world.request("unsafe", body=FATAL)
            await trio.sleep(REPORTED_SECONDS)
            self.assertTrue(await self.refused(world, name="unsafe"))

        self.run_world(script, service="plain")
