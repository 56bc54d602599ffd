"""A lifted rate limit is detected at an instance that no request needs."""

import itertools

import trio

from tests.services.exchanges.exchange_world import ExchangeWorld
from tests.services.exchanges.limits_case import (
    BUSY_SECONDS,
    INSTANCES,
    REPORTED_SECONDS,
    SLOTS,
    WINDOW_SECONDS,
    LimitsCase,
)


class UnneededInstanceTest(LimitsCase):
    """A limited instance that is never the best choice, since the others answer sooner."""

    OUTDATED_SECONDS = 2.0
    PERMIT_SECONDS = 1.0
    NODES_PER_SECOND = 50.0

    def run_limited(self, limit, nodes, script, asking_nodes=None):
        world = ExchangeWorld(nodes=nodes, zones=3)
        for instance_id in INSTANCES:
            world.add(instance_id, slots=SLOTS)

        async def limited(world):
            server = world.instances.servers["i1"]
            await self.load(world, 1.0, every=0.1)
            server.work_seconds = BUSY_SECONDS
            server.announced_limit = limit
            announced_at = trio.current_time()
            await self.load(world, 2 * WINDOW_SECONDS, asking_nodes, every=0.1)
            self.check_bound(world, announced_at + REPORTED_SECONDS, limit)
            await script(world)

        world.run(limited)

    def detected_within(self, limit, nodes):
        """Return the time within which a lifted limit is detected while requests arrive."""
        outdated = self.OUTDATED_SECONDS + nodes / self.NODES_PER_SECOND
        return outdated + self.PERMIT_SECONDS + 1 / max(limit, 0.25)

    def test_an_instance_stays_unused_after_its_limit_is_lifted(self):
        for limit, nodes in itertools.product((0.0, 2.3, 60.0), (1, 6, 24)):
            for asking_nodes in (None, [nodes - 1]):
                with self.subTest(limit=limit, nodes=nodes, asking_nodes=asking_nodes):

                    async def script(world, limit=limit, nodes=nodes, asking_nodes=asking_nodes):
                        world.instances.servers["i1"].announced_limit = None
                        seconds = self.detected_within(limit, nodes)
                        await self.load(world, seconds, asking_nodes, every=0.1)
                        await trio.sleep(REPORTED_SECONDS)
                        for services in world.nodes:
                            view = services.knowledge.table.get("i1")
                            self.assertFalse(
                                view.announced_state.limit.is_set, services.knowledge.name
                            )

                    self.run_limited(limit, nodes, script, asking_nodes)
