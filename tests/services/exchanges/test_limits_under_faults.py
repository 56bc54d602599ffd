"""A rate limit isn't exceeded while nodes, links or the store are disturbed."""

import itertools

from tests.services.exchanges.limits_case import NODES, WINDOW_SECONDS, LimitsCase


class LimitsUnderFaultsTest(LimitsCase):
    """A disturbed fleet never exceeds a limit."""

    LIMIT = 1.5

    def check_while(self, disturb, nodes=NODES, zones=3):
        """Check the bound while a world that keeps a limit is disturbed."""
        world = self.make_world(nodes, zones)

        async def script(world):
            since = await self.announce_limit(world, self.LIMIT)
            await self.load(world, WINDOW_SECONDS)
            await disturb(world)
            await self.load(world, 3 * WINDOW_SECONDS)
            self.check_bound(world, since, self.LIMIT)

        world.run(script)

    def test_nodes_that_do_not_hear_each_other(self):
        async def disturb(world):
            for number in range(NODES):
                world.network.isolate(f"n{number}")

        self.check_while(disturb)

    def test_a_fleet_in_two_halves(self):
        async def disturb(world):
            halves = ({0, 1, 2}, {3, 4, 5})
            for first, second in itertools.permutations(halves):
                world.network.cut |= {(f"n{a}", f"n{b}") for a in first for b in second}

        self.check_while(disturb)

    def test_a_relay_that_is_lost(self):
        async def disturb(world):
            world.network.isolate("n0")

        self.check_while(disturb, nodes=9)

    def test_messages_that_are_lost_repeated_and_late(self):
        async def disturb(world):
            world.network.loss = 0.3
            world.network.repeats = 0.3
            world.network.extra_delay_seconds = 0.3

        self.check_while(disturb)

    def test_a_store_that_is_away(self):
        async def disturb(world):
            for directory in world.directories:
                directory.down = True

        self.check_while(disturb)

    def test_nodes_that_start_anew(self):
        async def disturb(world):
            for number, scope in list(enumerate(world._node_scopes))[:3]:
                scope.cancel()
                name = f"n{number}"
                world.nodes[number] = world.start_node(
                    world.nursery, name, world._zone(number), f"127.0.0.1:{3 + number}"
                )
                world.nodes.pop()
                await self.load(world, 1.0)

        self.check_while(disturb)

    def test_a_fleet_that_shrinks(self):
        async def disturb(world):
            for scope in world._node_scopes[3:]:
                scope.cancel()
                await self.load(world, 1.0, nodes=(0, 1, 2))
            del world.nodes[3:]

        self.check_while(disturb)

    def test_a_fleet_that_grows(self):
        async def disturb(world):
            for number in range(10, 13):
                world.start_node(world.nursery, f"n{number}", "z1")
                await self.load(world, 0.5)

        self.check_while(disturb)
