"""Pure model of the machine list: what it shows lags behind what was set."""

from __future__ import annotations

import msgspec

from emulator.platform.faults import FaultOrder, MachineListFaults
from hopstep.exceptions import ErrorCode, StoreError
from hopstep.ports.machine_list import Machine


class _Edition(msgspec.Struct, frozen=True):
    """The whole list from one moment on."""

    since: float
    machines: tuple[Machine, ...]


class MachineListModel:
    """Editions of the list by time, and the faults in force.

    Args:
        machines: First edition, in force since ever.
    """

    def __init__(self, machines: tuple[Machine, ...] = ()) -> None:
        self.faults = MachineListFaults()
        self._editions = [_Edition(float("-inf"), machines)]
        self._answers = 0

    def replace(self, machines: tuple[Machine, ...], now: float) -> None:
        """Make ``machines`` the true list from ``now`` (seconds) on."""
        self._editions.append(_Edition(now, machines))

    def order_faults(self, order: FaultOrder) -> None:
        """Put the machine list's faults of ``order`` in force."""
        if order.machine_list_outage is not None:
            self.faults.outage = order.machine_list_outage
        if order.machine_list_lag_seconds is not None:
            self.faults.lag_seconds = order.machine_list_lag_seconds
        if order.machine_list_flapping is not None:
            self.faults.flapping = order.machine_list_flapping

    def visible(self, now: float) -> list[Machine]:
        """Return what the list shows at ``now``; raises ``StoreError`` in an outage."""
        if self.faults.outage:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the machine list is down")
        self._answers += 1
        shown_at = now - self.faults.lag_seconds
        edition = next(e for e in reversed(self._editions) if e.since <= shown_at)
        hidden = self.faults.flapping if self._answers % 2 == 0 else ()
        return [machine for machine in edition.machines if machine.address not in hidden]
