"""Keeps leaving back ends without new work: by the machine list and by what peers have read.

The list lags, flaps and has outages, and may be out of this router's reach alone. So its last
word stands while it is down, and a few readers tell the other routers what they read. The others
read it too, in case no reader can reach them, but in a large cluster seldom.
What an engine says of itself comes with its facts (``hopstep.services.engine_watch``).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import trio

from hopstep import log_events
from hopstep.domain.leaving_machines import LeavingMachines, ReportedMachines
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import StoreError
from hopstep.logs import emit
from hopstep.ports.machine_list import Machine, MachineListPort, MachineState

ROUND_SECONDS = 1.0
"""Time between two readings of the machine list by one of its readers."""

MAX_OTHER_READS_PER_SECOND = 20.0
"""Readings by all routers that aren't readers together: the list is long and rate-limited."""

READ_TIMEOUT_SECONDS = 3.0
"""Longest wait for the list."""


def other_read_interval(routers: int) -> float:
    """Return the seconds between two readings by a router that isn't a reader.

    Args:
        routers: Live routers.
    """
    return max(ROUND_SECONDS, routers / MAX_OTHER_READS_PER_SECOND)


class LeavingWatch:
    """Follows the machine list and peers for one router."""

    def __init__(
        self,
        machine_list: MachineListPort | None,
        routing_table: RoutingTable,
        is_reader: Callable[[], bool],
        live_routers: Callable[[], frozenset[str]],
        publish: Callable[[str, bool], None],
        told: Callable[[], Mapping[str, frozenset[str]]],
    ) -> None:
        """Prepare; ``run`` does the work.

        Args:
            machine_list: Platform's list; None to go by peers alone.
            routing_table: Gives leaving engines no new work.
            is_reader: Whether this router is one of the list's readers now.
            live_routers: Returns the names of the live routers.
            publish: Tells the others that a machine is leaving, or takes that back.
            told: Returns the names of the other routers that tell of a machine, by its address.
        """
        self._machine_list = machine_list
        self._table = routing_table
        self._is_reader = is_reader
        self._live_routers = live_routers
        self._read_at = float("-inf")
        self._publish = publish
        self._told = told
        self._machines = LeavingMachines()
        self._told_machines = ReportedMachines()
        self._read: frozenset[str] = frozenset()
        self._shown_live: list[str] = []
        self._published: frozenset[str] = frozenset()
        self._available = True

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._shown_live = []
            if self._machine_list is not None and self._is_due():
                await self._read_list(self._machine_list)
            self._publish_read()
            self.refresh()
            await trio.sleep(ROUND_SECONDS)

    def refresh(self) -> None:
        """Give no new work to what this router or a peer has read as leaving."""
        told = self._told_machines.update(self._told(), self._live_routers(), self._shown_live)
        self._table.update_leaving(self._read | told)

    def _is_due(self) -> bool:
        """Return whether to read the list in this round, and note that it is read."""
        now = trio.current_time()
        interval = other_read_interval(len(self._live_routers()))
        if not self._is_reader() and now - self._read_at < interval:
            return False
        self._read_at = now
        return True

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
        self._shown_live = _addresses(machines, MachineState.LIVE)
        self._read = self._machines.update(leaving, self._shown_live)

    def _publish_read(self) -> None:
        """Tell the other routers what a reader has read, or take it back."""
        told = self._read if self._is_reader() else frozenset()
        for address in sorted(told - self._published):
            self._publish(address, True)
        for address in sorted(self._published - told):
            self._publish(address, False)
        self._published = told


def _addresses(machines: list[Machine], state: MachineState) -> list[str]:
    """Return the addresses of the machines in a state."""
    return [item.address for item in machines if item.state is state]
