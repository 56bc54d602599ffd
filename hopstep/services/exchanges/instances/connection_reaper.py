"""Closes connections to instances that say nothing: those that aren't listed, and silent ones.

A connection may fall silent for good while new ones work. An instance from which nothing comes
while requests wait may be well and its connections dead, so no later request is sent on one of
them. What was sent already isn't sent again because of that: it may have run.
"""

from __future__ import annotations

import trio

from hopstep import log_events
from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.logs import emit
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.services.exchanges.pause_watch import PauseWatch

CHECK_SECONDS = 5.0
"""Between two looks for connections to instances that aren't listed."""

SILENT = "silent"


class ConnectionReaper:
    """Looks for such connections from time to time."""

    def __init__(self, calls: InstanceCalls, table: InstanceTable, pauses: PauseWatch) -> None:
        """Use the node's connections and instances.

        Args:
            calls: Holds the connections.
            table: Instances that are listed.
            pauses: Notices pauses of the node itself.
        """
        self._calls = calls
        self._table = table
        self._pauses = pauses
        self._silent: set[str] = set()

    async def run(self) -> None:
        """Check until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forget_unlisted)
            while True:
                await self._pauses.wait_look()
                await self._leave_silent()

    async def _forget_unlisted(self) -> None:
        """Close connections to instances that aren't listed and have no request under way."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            listed = {view.instance.address for view in self._table}
            for address in self._calls.idle_addresses() - listed:
                await self._calls.forget(address)

    async def _leave_silent(self) -> None:
        """Drop the idle connections of instances that have fallen silent, once each time."""
        now = trio.current_time()
        silent = {view.instance.address for view in self._table if view.is_unresponsive(now)}
        for address in silent - self._silent:
            emit(log_events.CONNECTIONS_DROPPED, peer=address, reason=SILENT)
            await self._calls.drop_idle(address)
        self._silent = silent
