"""Closes connections to instances that are no longer listed and no longer answer anything."""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.ports.instance_calls import InstanceCalls

CHECK_SECONDS = 5.0


class ConnectionReaper:
    """Looks for such connections from time to time."""

    def __init__(self, calls: InstanceCalls, table: InstanceTable) -> None:
        """Use the node's connections and instances.

        Args:
            calls: Holds the connections.
            table: Instances that are listed.
        """
        self._calls = calls
        self._table = table

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            listed = {view.instance.address for view in self._table}
            for address in self._calls.idle_addresses() - listed:
                await self._calls.forget(address)
