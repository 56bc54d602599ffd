"""A world whose store is away for a moment and comes back from a copy."""

import trio

from emulator.platform.faults import FaultOrder
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import ExchangeWorld, configuration

AWAY_SECONDS = 2.5
LOST_CHANGES = 8


class RestoredWorld(ExchangeWorld):
    """Operators change the configuration before and after a restore.

    Attributes:
        version: Version of the newest configuration.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.version = 1

    def change_configuration(self, times=1):
        """Publish configurations one right after the other."""
        for _ in range(times):
            self.version += 1
            self.publish(ConfigurationPublished(configuration(self.version)))

    def catch_up(self, revision):
        """Change the configuration until the store has come above a revision."""
        self.change_configuration(max(1, revision - self.revision + 1))

    def go_away(self):
        """Take the store away from all nodes."""
        for directory in self.directories:
            directory.down = True
        self.shared.order_faults(FaultOrder(outage=True))

    def come_back(self, copy=None):
        """Give the store back, from a copy if there is one."""
        if copy is not None:
            self.shared.restore(copy)
        for directory in self.directories:
            directory.down = False
        self.shared.order_faults(FaultOrder(outage=False))

    async def lose(self, copy, away_seconds=AWAY_SECONDS):
        """Let the store be away and come back from a copy; return the revision it had before."""
        reached = self.revision
        self.go_away()
        await trio.sleep(away_seconds)
        self.come_back(copy)
        return reached
