"""Faults of the platform's stand-ins, as one typed order that tests and operators give."""

from __future__ import annotations

import msgspec


class FaultOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes to the faults in force; a field that is None leaves its fault as it is.

    Attributes:
        outage: Whether the key-value service refuses every call.
        slow_seconds: Delay of every call, half of it before the effect and half after.
        lost_answers: Number of next writes whose answer is lost after their effect.
        lost_requests: Number of next writes that are lost, with their answer, before any effect.
        stale_reads: Number of next reads answered from a cache. The cache holds what was there
            when the latest outage began, or now if there was none.
        dropped_changes: Number of next changes that watches never show.
        requests_per_second: Rate limit; 0 switches it off.
        lapse_leases: True lets every lease lapse now.
        machine_list_outage: Whether the machine list refuses every call.
        machine_list_lag_seconds: Age of what the machine list shows.
        machine_list_flapping: Addresses that are in every second answer only.
    """

    outage: bool | None = None
    slow_seconds: float | None = None
    lost_answers: int | None = None
    lost_requests: int | None = None
    stale_reads: int | None = None
    dropped_changes: int | None = None
    requests_per_second: float | None = None
    lapse_leases: bool | None = None
    machine_list_outage: bool | None = None
    machine_list_lag_seconds: float | None = None
    machine_list_flapping: tuple[str, ...] | None = None


class StoreFaults(msgspec.Struct):
    """Faults of the key-value service in force; fields as in ``FaultOrder``."""

    outage: bool = False
    slow_seconds: float = 0.0
    lost_answers: int = 0
    lost_requests: int = 0
    stale_reads: int = 0
    dropped_changes: int = 0


class MachineListFaults(msgspec.Struct):
    """Faults of the machine list in force; fields as in ``FaultOrder``."""

    outage: bool = False
    lag_seconds: float = 0.0
    flapping: tuple[str, ...] = ()
