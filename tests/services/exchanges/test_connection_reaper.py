import unittest

import trio

from emulator.exchange_platform.instances import EmulatedInstances
from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.domain.exchanges.instances import Instance
from hopstep.services.exchanges.instances.connection_reaper import CHECK_SECONDS, ConnectionReaper
from hopstep.services.exchanges.pause_watch import PauseWatch


class Calls(EmulatedInstances):
    """Connections to three addresses, one of which is busy."""

    def __init__(self):
        super().__init__()
        self.idle = {"10.0.0.1:1", "10.0.0.1:2"}
        self.forgotten = []

    def idle_addresses(self):
        return set(self.idle)

    async def forget(self, address):
        await trio.lowlevel.checkpoint()
        self.forgotten.append(address)


class ConnectionReaperTest(unittest.TestCase):
    def test_idle_connections_to_unlisted_instances_are_closed(self):
        table = InstanceTable()
        table.put(Instance("i1", "s", "10.0.0.1:1", "z", 1))
        calls = Calls()

        async def main():
            with trio.move_on_after(1.5 * CHECK_SECONDS):
                await ConnectionReaper(calls, table, PauseWatch()).run()

        run_in_virtual_time(main)
        self.assertEqual(calls.forgotten, ["10.0.0.1:2"])
