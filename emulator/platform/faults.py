"""Faults of the platform's stand-ins, set by tests and operators through one typed message."""

from __future__ import annotations

import msgspec


class FaultOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes to the active faults; a field that is None leaves its fault unchanged.

    Attributes:
        outage: Whether the key-value service refuses every call.
        slow_seconds: Delay of every call, half of it before the effect and half after.
        lost_answers: Number of next writes that take effect but whose answer is lost.
        lost_requests: Number of next writes that are lost before they take effect.
        stale_reads: Number of next reads answered from a cache. The cache holds the values of
            the time when the latest outage began, or of now if there was none.
        dropped_changes: Number of next changes that watches never show.
        requests_per_second: Rate limit; 0 switches it off.
        lapse_leases: True expires every lease now.
        machine_list_outage: Whether the machine list refuses every call.
        machine_list_lag_seconds: Delay until a change of the machine list becomes visible.
        machine_list_flapping: Addresses that only every second answer contains.
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
    """Active faults of the key-value service; fields as in ``FaultOrder``."""

    outage: bool = False
    slow_seconds: float = 0.0
    lost_answers: int = 0
    lost_requests: int = 0
    stale_reads: int = 0
    dropped_changes: int = 0


class MachineListFaults(msgspec.Struct):
    """Active faults of the machine list; fields as in ``FaultOrder``."""

    outage: bool = False
    lag_seconds: float = 0.0
    flapping: tuple[str, ...] = ()
