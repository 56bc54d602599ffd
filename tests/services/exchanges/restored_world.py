"""A test world whose store has an outage and is restored from a backup."""

import trio

from emulator.platform.faults import FaultOrder
from hopstep.ports.serving_directory import ConfigurationPublished
from tests.services.exchanges.exchange_world import ExchangeWorld, configuration

OUTAGE_SECONDS = 2.5
LOST_CHANGES = 8


class RestoredWorld(ExchangeWorld):
    """A world in which operators change the configuration before and after a restore.

    Attributes:
        version: Version of the newest configuration.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.version = 1

    def change_configuration(self, times=1):
        """Publish a number of configurations without a pause."""
        for _ in range(times):
            self.version += 1
            self.publish(ConfigurationPublished(configuration(self.version)))

    def advance_revision(self, revision):
        """Change the configuration until the store's revision is above a given one."""
        self.change_configuration(max(1, revision - self.revision + 1))

    def stop_store(self):
        """Make the store unavailable to all nodes."""
        for directory in self.directories:
            directory.down = True
        self.shared.order_faults(FaultOrder(outage=True))

    def start_store(self, backup=None):
        """Make the store available again, restored from a backup if one is given."""
        if backup is not None:
            self.shared.restore(backup)
        for directory in self.directories:
            directory.down = False
        self.shared.order_faults(FaultOrder(outage=False))

    async def restore_after_outage(self, backup, outage_seconds=OUTAGE_SECONDS):
        """Restore the store from a backup after an outage; return its revision before it."""
        reached = self.revision
        self.stop_store()
        await trio.sleep(outage_seconds)
        self.start_store(backup)
        return reached
