"""Closes idle connections to instances that are unlisted or unresponsive.

A connection may stop delivering data for good while new ones work. An unresponsive instance may be
healthy and only its connections dead, so no later request is sent on one of them. Requests that
were already sent aren't sent again for that reason: they may have run.
"""

from __future__ import annotations

import trio

from hopstep.domain.exchanges.instance_table import InstanceTable
from hopstep.log_events.process import CONNECTIONS_DROPPED
from hopstep.logs import emit
from hopstep.ports.instance_calls import InstanceCalls
from hopstep.services.exchanges.pause_watch import PauseWatch

CHECK_SECONDS = 5.0
"""Seconds between two checks for connections to instances that aren't listed."""

UNRESPONSIVE_REASON = "silent"


class ConnectionReaper:
    """Checks for such connections periodically."""

    def __init__(self, calls: InstanceCalls, table: InstanceTable, pauses: PauseWatch) -> None:
        """Create the reaper; ``run`` starts it.

        Args:
            calls: Holds the connections.
            table: Instances that are listed.
            pauses: Detects pauses of the node's own process.
        """
        self._calls = calls
        self._table = table
        self._pauses = pauses
        self._unresponsive: set[str] = set()

    async def run(self) -> None:
        """Check until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_unlisted)
            while True:
                await self._pauses.wait_check()
                await self._drop_unresponsive()

    async def _close_unlisted(self) -> None:
        """Close connections to instances that aren't listed and have no request under way."""
        while True:
            await trio.sleep(CHECK_SECONDS)
            listed = {view.instance.address for view in self._table}
            for address in self._calls.idle_addresses() - listed:
                await self._calls.forget(address)

    async def _drop_unresponsive(self) -> None:
        """Drop idle connections of instances that have become unresponsive, once each time."""
        now = trio.current_time()
        unresponsive = {view.instance.address for view in self._table if view.is_unresponsive(now)}
        for address in unresponsive - self._unresponsive:
            emit(CONNECTIONS_DROPPED, peer=address, reason=UNRESPONSIVE_REASON)
            await self._calls.drop_idle(address)
        self._unresponsive = unresponsive
