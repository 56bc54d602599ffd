"""Gives no new work to back ends that are about to shut down, by the machine list and by peers.

The list lags, flaps and has outages, and may be unreachable from this router alone. So the last
reading stays valid while the list is down, and a few readers report to the other routers what they
read. The others read it too, in case no reader can reach them, but in a large cluster rarely.
An engine's own notice comes with its facts (``hopstep.services.engine_watch``).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import trio

from hopstep.domain.leaving_machines import LeavingMachines, ReportedMachines
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import StoreError
from hopstep.log_events.instances import MACHINE_LIST_UNAVAILABLE
from hopstep.logs import emit
from hopstep.ports.machine_list import Machine, MachineListPort, MachineState

ROUND_SECONDS = 1.0
"""Time between two readings of the machine list by one of its readers."""

MAX_NON_READER_READS_PER_SECOND = 20.0
"""Limit on the readings by all routers that aren't readers: the list is long and rate-limited."""

READ_TIMEOUT_SECONDS = 3.0
"""Longest wait for the list."""


def non_reader_interval(routers: int) -> float:
    """Return the seconds between two readings by a router that isn't a reader.

    Args:
        routers: Live routers.
    """
    return max(ROUND_SECONDS, routers / MAX_NON_READER_READS_PER_SECOND)


class LeavingWatch:
    """Follows the machine list and the peers' reports for one router."""

    def __init__(
        self,
        machine_list: MachineListPort | None,
        routing_table: RoutingTable,
        is_reader: Callable[[], bool],
        live_routers: Callable[[], frozenset[str]],
        publish: Callable[[str, bool], None],
        reported: Callable[[], Mapping[str, frozenset[str]]],
    ) -> None:
        """Prepare the watch; ``run`` does the work.

        Args:
            machine_list: Platform's list; None to use the peers' reports alone.
            routing_table: Gives leaving engines no new work.
            is_reader: Whether this router is one of the list's readers now.
            live_routers: Returns the names of the live routers.
            publish: Reports to the others that a machine is leaving, or withdraws the report.
            reported: Returns, by a machine's address, the other routers that report it as leaving.
        """
        self._machine_list = machine_list
        self._table = routing_table
        self._is_reader = is_reader
        self._live_routers = live_routers
        self._read_at = float("-inf")
        self._publish = publish
        self._reported = reported
        self._machines = LeavingMachines()
        self._reported_machines = ReportedMachines()
        self._read: frozenset[str] = frozenset()
        self._listed_live: list[str] = []
        self._published: frozenset[str] = frozenset()
        self._available = True

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._listed_live = []
            if self._machine_list is not None and self._is_due():
                await self._read_list(self._machine_list)
            self._publish_read()
            self.refresh()
            await trio.sleep(ROUND_SECONDS)

    def refresh(self) -> None:
        """Give no new work to machines that this router or a peer has read as leaving."""
        reported = self._reported_machines.update(
            self._reported(), self._live_routers(), self._listed_live
        )
        self._table.update_leaving(self._read | reported)

    def _is_due(self) -> bool:
        """Return whether to read the list in this round; if so, record the time."""
        now = trio.current_time()
        interval = non_reader_interval(len(self._live_routers()))
        if not self._is_reader() and now - self._read_at < interval:
            return False
        self._read_at = now
        return True

    async def _read_list(self, machine_list: MachineListPort) -> None:
        """Read the list; while it is down, the last reading stays valid."""
        try:
            with trio.fail_after(READ_TIMEOUT_SECONDS):
                machines = await machine_list.machines()
        except (StoreError, trio.TooSlowError):
            if self._available:
                emit(MACHINE_LIST_UNAVAILABLE)
            self._available = False
            return
        self._available = True
        leaving = _addresses(machines, MachineState.LEAVING)
        self._listed_live = _addresses(machines, MachineState.LIVE)
        self._read = self._machines.update(leaving, self._listed_live)

    def _publish_read(self) -> None:
        """Report to the other routers what a reader has read, or withdraw it."""
        reported = self._read if self._is_reader() else frozenset()
        for address in sorted(reported - self._published):
            self._publish(address, True)
        for address in sorted(self._published - reported):
            self._publish(address, False)
        self._published = reported


def _addresses(machines: list[Machine], state: MachineState) -> list[str]:
    """Return the addresses of the machines in a state."""
    return [item.address for item in machines if item.state is state]
