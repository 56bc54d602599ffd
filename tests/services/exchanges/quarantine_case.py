"""Worlds with a request under which each instance crashes that runs it."""

import unittest

import trio

from hopstep.domain.quarantine.crash_ledger import TERMINATIONS_TO_REFUSE
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import InstanceRemoved
from tests.services.exchanges.exchange_world import ExchangeWorld

FATAL = b"fatal"
ENGINES = 8
REPORTED_SECONDS = 0.05
"""Seconds until a datagram has reached all nodes through the relays."""

STORED_SECONDS = 2.0
"""Seconds until a node's observations are in the store and all nodes have read them."""


class QuarantinedRequestsCase(unittest.TestCase):
    def run_world(self, script, nodes=3, zones=1, service="llm"):
        world = ExchangeWorld(nodes, zones=zones)
        for number in range(ENGINES):
            world.add(f"i{number}", service)
        world.instances.fatal_bodies.add(FATAL)
        world.run(script)
        return world

    def ended(self, world):
        """Return how many instances have terminated."""
        return sum(server.ended_at is not None for server in world.instances.servers.values())

    def unlist_ended(self, world):
        """Remove the entries of terminated instances, as when their leases expire."""
        for instance_id, server in world.instances.servers.items():
            if server.ended_at is not None:
                world.publish(InstanceRemoved(instance_id))

    async def crash_instances(
        self, world, count=TERMINATIONS_TO_REFUSE, node=0, name="stream", **options
    ):
        """Let a request crash instances, one after the other, through one node."""
        for _ in range(count):
            await world.request(name, node, body=FATAL, **options)
        await trio.sleep(REPORTED_SECONDS)

    async def refused(self, world, node=0, name="stream", **options):
        """Return whether a node refuses the fatal request without sending it on."""
        before = len(world.instances.calls)
        answer = await world.request(name, node, body=FATAL, **options)
        refused = answer.error is not None and answer.error.code is ErrorCode.REQUEST_QUARANTINED
        return refused and len(world.instances.calls) == before
