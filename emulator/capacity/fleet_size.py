"""The size that hopstep is designed for, and a node's even share of it."""

from __future__ import annotations

import msgspec


class FleetSize(msgspec.Struct, frozen=True):
    """Planned totals of the whole fleet.

    Attributes:
        nodes: Routers.
        engines: Engines behind them.
        requests_per_second: Peak of requests.
        tokens_per_second: Peak of generated tokens.
        cached_blocks: Blocks cached over all engines.
        cache_events_per_second: Block events over all engines.
        tenants: Tenants in steady use.
        models: Models in steady use.
        regions: Regions.
        zones: Zones of all regions.
        configuration_changes_per_day: Accepted changes.
        convergence_seconds: Longest time from acceptance to being in force everywhere.
        machine_restarts_per_day: Machines restarted or replaced.
        machine_failures_per_day: Machines that fail.
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
        """Return the engines of a zone, if zones are alike."""
        return self.engines / self.zones


class NodeBudget(msgspec.Struct, frozen=True):
    """What a node may spend on control, requests and their answers not counted.

    Attributes:
        core_ratio: Part of one core.
        memory_bytes: Memory.
        bytes_per_second: Bytes sent.
    """

    core_ratio: float = 0.026
    memory_bytes: int = 64 * 1024 * 1024
    bytes_per_second: int = 3_000
