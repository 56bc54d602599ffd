"""Pure model of the machine list, whose changes become visible after a lag."""

from __future__ import annotations

import msgspec

from emulator.platform.faults import FaultOrder, MachineListFaults
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.ports.machine_list import Machine


class _Edition(msgspec.Struct, frozen=True):
    """The complete list that is valid from ``since`` (seconds) on."""

    since: float
    machines: tuple[Machine, ...]


class MachineListModel:
    """Editions of the list in order of time, and the active faults.

    Args:
        machines: First edition, valid from the beginning of time.
    """

    def __init__(self, machines: tuple[Machine, ...] = ()) -> None:
        self.faults = MachineListFaults()
        self._editions = [_Edition(float("-inf"), machines)]
        self._answers = 0

    def replace(self, machines: tuple[Machine, ...], now: float) -> None:
        """Replace the list by ``machines`` from ``now`` (seconds) on."""
        self._editions.append(_Edition(now, machines))

    def order_faults(self, order: FaultOrder) -> None:
        """Activate the machine list's faults of ``order``."""
        if order.machine_list_outage is not None:
            self.faults.outage = order.machine_list_outage
        if order.machine_list_lag_seconds is not None:
            self.faults.lag_seconds = order.machine_list_lag_seconds
        if order.machine_list_flapping is not None:
            self.faults.flapping = order.machine_list_flapping

    def visible(self, now: float) -> list[Machine]:
        """Return the machines that the list shows at ``now``.

        Raises:
            StoreError: In an outage.
        """
        if self.faults.outage:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the machine list is down")
        self._answers += 1
        shown_at = now - self.faults.lag_seconds
        edition = next(e for e in reversed(self._editions) if e.since <= shown_at)
        hidden = self.faults.flapping if self._answers % 2 == 0 else ()
        return [machine for machine in edition.machines if machine.address not in hidden]
