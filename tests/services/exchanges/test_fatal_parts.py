"""All nodes refuse requests with a part of a prompt that crashes instances, and no others.

The failure guarded against: crashes were counted for the whole request only, so requests that
differ, and share the part that crashes, crashed one instance after the other.
"""

from tests.services.exchanges.fatal_part_traffic import (
    BOUND_SECONDS,
    COUNTED_CRASHES,
    MAX_LATE_ARRIVALS,
    FatalPartCase,
)

LARGEST_LOSS = 0.03
"""Share of sound requests that may not begin, of those that began before."""


class FatalPartTest(FatalPartCase):
    def check_bounds(self, **options):
        world = self.run_traffic(**options)
        self.assertLessEqual(len(self.late_arrivals(world)), MAX_LATE_ARRIVALS)
        return world

    def test_three_nodes_stop_sending_requests_with_a_part_under_which_instances_end(self):
        self.check_bounds()

    def test_seven_nodes_in_three_zones_stop_sending_them(self):
        self.check_bounds(nodes=7, zones=3)

    def test_sound_requests_with_the_other_parts_are_served_as_before(self):
        world = self.run_traffic()
        since = self.crashes(world)[:COUNTED_CRASHES][-1] + 2 * BOUND_SECONDS
        before = self.begun_share(world, world.fatal_from - 3.0, world.fatal_from)
        after = self.begun_share(world, since, world.ended_at - 1.0)
        self.assertGreaterEqual(after, before * (1.0 - LARGEST_LOSS))
