"""Keeps leaving back ends without new work: by the machine list and by what peers have read.

The list lags, flaps and has outages, and may be out of this router's reach alone. So its last
word stands while it is down, and the owners of an engine tell the other routers what they read.
What an engine says of itself comes with its facts (``hopstep.services.engine_watch``).
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from hopstep import log_events
from hopstep.domain.leaving_machines import LeavingMachines
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import StoreError
from hopstep.logs import emit
from hopstep.ports.machine_list import Machine, MachineListPort, MachineState

ROUND_SECONDS = 1.0
"""Time between two readings of the machine list."""

READ_TIMEOUT_SECONDS = 3.0
"""Longest wait for the list."""


class LeavingWatch:
    """Follows the machine list and peers for one router."""

    def __init__(
        self,
        machine_list: MachineListPort | None,
        routing_table: RoutingTable,
        owns: Callable[[str], bool],
        publish: Callable[[str, bool], None],
        heard: Callable[[], frozenset[str]],
    ) -> None:
        """Prepare; ``run`` does the work.

        Args:
            machine_list: Platform's list; None to go by peers alone.
            routing_table: Gives leaving engines no new work.
            owns: Whether this router tells the others of the machine at an address.
            publish: Tells them that a machine is leaving, or takes that back.
            heard: Returns the addresses that other routers have told of.
        """
        self._machine_list = machine_list
        self._table = routing_table
        self._owns = owns
        self._publish = publish
        self._heard = heard
        self._machines = LeavingMachines()
        self._read: frozenset[str] = frozenset()
        self._published: frozenset[str] = frozenset()
        self._available = True

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self._machine_list is not None:
                await self._read_list(self._machine_list)
            self._publish_owned()
            self.refresh()
            await trio.sleep(ROUND_SECONDS)

    def refresh(self) -> None:
        """Give no new work to what this router or a peer has read as leaving."""
        self._table.update_leaving(self._read | self._heard())

    async def _read_list(self, machine_list: MachineListPort) -> None:
        """Read the list; while it is down, its last word stands."""
        try:
            with trio.fail_after(READ_TIMEOUT_SECONDS):
                machines = await machine_list.machines()
        except (StoreError, trio.TooSlowError):
            if self._available:
                emit(log_events.MACHINE_LIST_UNAVAILABLE)
            self._available = False
            return
        self._available = True
        leaving = _addresses(machines, MachineState.LEAVING)
        live = _addresses(machines, MachineState.LIVE)
        self._read = self._machines.update(leaving, live)

    def _publish_owned(self) -> None:
        """Tell the other routers of owned machines whose state has changed."""
        owned = frozenset(address for address in self._read if self._owns(address))
        for address in sorted(owned - self._published):
            self._publish(address, True)
        for address in sorted(self._published - owned):
            self._publish(address, False)
        self._published = owned


def _addresses(machines: list[Machine], state: MachineState) -> list[str]:
    """Return the addresses of the machines in a state."""
    return [item.address for item in machines if item.state is state]
