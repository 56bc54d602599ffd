"""The fleet size that hopstep is designed for, and the resource budget of a node."""

from __future__ import annotations

import msgspec


class FleetSize(msgspec.Struct, frozen=True):
    """Planned totals of the whole fleet.

    Attributes:
        nodes: Number of routers.
        engines: Number of engines behind the routers.
        requests_per_second: Peak request rate.
        tokens_per_second: Peak rate of generated tokens.
        cached_blocks: Blocks cached on all engines together.
        cache_events_per_second: Rate of block events on all engines together.
        tenants: Number of active tenants.
        models: Number of active models.
        regions: Number of regions.
        zones: Number of zones in all regions together.
        configuration_changes_per_day: Configuration changes accepted per day.
        convergence_seconds: Longest time until an accepted change is in force on all routers.
        machine_restarts_per_day: Machines restarted or replaced per day.
        machine_failures_per_day: Machines that fail per day.
    """

    nodes: int = 390
    engines: int = 10_000
    requests_per_second: int = 12_000
    tokens_per_second: int = 5_400_000
    cached_blocks: int = 360_000_000
    cache_events_per_second: int = 1_200_000
    tenants: int = 2_400
    models: int = 17
    regions: int = 6
    zones: int = 20
    configuration_changes_per_day: int = 6_000
    convergence_seconds: float = 14.0
    machine_restarts_per_day: int = 1_100
    machine_failures_per_day: int = 120

    def per_node(self, total: float) -> float:
        """Return a node's even share of a fleet-wide total."""
        return total / self.nodes

    def engines_per_zone(self) -> float:
        """Return the number of engines per zone, if all zones are equal."""
        return self.engines / self.zones


class NodeBudget(msgspec.Struct, frozen=True):
    """Limits on a node's resources for control; requests and responses aren't counted.

    Attributes:
        core_ratio: Fraction of one core.
        memory_bytes: Resident memory.
        bytes_per_second: Bytes sent per second.
    """

    core_ratio: float = 0.026
    memory_bytes: int = 64 * 1024 * 1024
    bytes_per_second: int = 3_000
