"""Port to the platform's list of machines, which lags behind reality."""

from __future__ import annotations

import abc
import enum

import msgspec


class MachineState(enum.StrEnum):
    """State of a machine when the platform last checked it."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(msgspec.Struct, frozen=True):
    """A machine.

    Attributes:
        address: ``ip:port`` of the process on it.
        state: Live, or about to shut down.
    """

    address: str
    state: MachineState


class MachineListPort(abc.ABC):
    """The platform's list of machines."""

    @abc.abstractmethod
    async def machines(self) -> list[Machine]:
        """Return the list; raises ``StoreError`` when the platform is down."""
