"""Computes one router's resource use at the planned fleet size from measured slopes."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from emulator.capacity import configuration_probes, peer_probes, routing_probes
from emulator.capacity.fleet_size import FleetSize, NodeBudget
from emulator.capacity.peer_probes import ProbeCost
from emulator.capacity.process_memory import router_process_bytes
from emulator.capacity.slopes import Slope
from hopstep.domain.configuration.document import RoutingPolicy
from hopstep.domain.membership import MembershipConfig
from hopstep.services.cluster import ENGINE_REPLICAS
from hopstep.services.engine_watch import probe_interval, publish_interval

SECONDS_PER_DAY = 86_400.0
BLOCKS_PER_EVENT = 1.0
"""Block keys per cache event; the planned event rate counts one event per block."""


class Measured(msgspec.Struct, frozen=True):
    """Measured slopes and costs that the budget is computed from.

    Attributes:
        slopes: Slopes by name.
        probe: Cost of one probe of an engine's facts.
        change_bytes: Encoded bytes of one configuration change.
        engine_entry_bytes: Encoded bytes of one engine's shared facts.
        process_bytes: Resident memory of a process that has only loaded the modules.
    """

    slopes: Mapping[str, Slope]
    probe: ProbeCost
    change_bytes: float
    engine_entry_bytes: float
    process_bytes: int


class BudgetRow(msgspec.Struct, frozen=True):
    """Resource use of one mechanism at a node.

    Attributes:
        mechanism: Mechanism that uses the resource.
        amount: Use in the table's unit.
        basis: What the amount was computed from.
    """

    mechanism: str
    amount: float
    basis: str


class BudgetTable(msgspec.Struct, frozen=True):
    """Use of one resource at a node, by mechanism.

    Attributes:
        resource: Name of the resource.
        unit: Unit of all amounts.
        limit: Budget of the resource, in ``unit``.
        rows: Use by mechanism.
    """

    resource: str
    unit: str
    limit: float
    rows: tuple[BudgetRow, ...]

    @property
    def total(self) -> float:
        """Sum of all rows' amounts."""
        return sum(row.amount for row in self.rows)


def measure() -> Measured:
    """Run all measurements; takes about a minute."""
    configuration, routing, peers = configuration_probes, routing_probes, peer_probes
    process_bytes = router_process_bytes()
    slopes = {
        "tenant_memory": configuration.tenant_memory(),
        "engine_memory": configuration.engine_memory(),
        "tenant_bytes": configuration.tenant_bytes(),
        "engine_bytes": configuration.engine_bytes(),
        "snapshot_decoding": configuration.snapshot_decoding(),
        "change_application": configuration.change_application(),
        "index_building": configuration.index_building(),
        "placement": configuration.placement(),
        "indexed_placement": configuration.indexed_placement(),
        "prompt_hashing": routing.prompt_hashing(),
        "decision": routing.decision(),
        "picture_memory": routing.prefix_index_memory(),
        "event_application": routing.event_application(),
        "event_bytes": routing.event_bytes(),
        "view_memory": routing.facts_memory(),
        "ownership": routing.ownership(),
        "ownership_change": routing.ownership_change(),
        "member_memory": peers.member_memory(),
        "entry_memory": peers.entry_memory(),
        "datagram_encoding": peers.datagram_encoding(),
        "datagram_decoding": peers.datagram_decoding(),
    }
    return Measured(
        slopes,
        peers.probe_cost(),
        configuration.change_bytes(),
        peers.engine_entry_bytes(),
        process_bytes,
    )


def memory_table(measured: Measured, size: FleetSize, budget: NodeBudget) -> BudgetTable:
    """Return one node's memory use."""
    slopes = measured.slopes
    heads = min(
        RoutingPolicy().max_prefix_heads,
        size.per_node(size.cached_blocks) / RoutingPolicy().prefix_stride_blocks,
    )
    mebibyte = 1024.0 * 1024.0
    parts = (
        ("process, modules loaded", measured.process_bytes, "resident memory, measured"),
        (
            "configuration: tenants",
            slopes["tenant_memory"].at(size.tenants),
            f"{size.tenants} tenants",
        ),
        (
            "configuration: engines",
            slopes["engine_memory"].at(size.engines),
            f"{size.engines} engines",
        ),
        ("views of engines", slopes["view_memory"].at(size.engines), f"{size.engines} engines"),
        (
            "shared facts of engines",
            ENGINE_REPLICAS * slopes["entry_memory"].at(size.engines),
            f"{size.engines} engines, {ENGINE_REPLICAS} owners each",
        ),
        ("members", slopes["member_memory"].at(size.nodes), f"{size.nodes} members"),
        ("prefix picture", slopes["picture_memory"].at(heads), f"{heads:,.0f} heads"),
    )
    rows = tuple(BudgetRow(name, amount / mebibyte, basis) for name, amount, basis in parts)
    return BudgetTable("memory", "MiB", budget.memory_bytes / mebibyte, rows)


def processor_table(measured: Measured, size: FleetSize, budget: NodeBudget) -> BudgetTable:
    """Return one node's processor time for control traffic; membership isn't included."""
    slopes = measured.slopes
    watched = ENGINE_REPLICAS * size.per_node(size.engines)
    probes = watched / probe_interval(round(watched))
    changes = size.configuration_changes_per_day / SECONDS_PER_DAY
    items = size.engines
    change_seconds = slopes["change_application"].at(items) + slopes["index_building"].at(items)
    events = ENGINE_REPLICAS * size.per_node(size.cache_events_per_second) * BLOCKS_PER_EVENT
    membership_changes = (
        size.machine_restarts_per_day + size.machine_failures_per_day
    ) / SECONDS_PER_DAY
    ownership_seconds = slopes["ownership_change"].at(size.engines)
    parts = (
        (
            "reading engines' facts",
            probes * measured.probe.seconds,
            f"{probes:.0f} probes a second",
        ),
        (
            "taking cache events",
            events * slopes["event_application"].per_unit,
            f"{events:,.0f} keys a second",
        ),
        ("configuration changes", changes * change_seconds, f"{changes:.3f} changes a second"),
        (
            "ownership after changes of membership",
            membership_changes * ownership_seconds,
            f"{membership_changes:.3f} changes a second, if every machine were a router",
        ),
    )
    rows = tuple(BudgetRow(name, 100.0 * amount, basis) for name, amount, basis in parts)
    return BudgetTable("processor time", "% of a core", 100.0 * budget.core_ratio, rows)


def network_table(measured: Measured, size: FleetSize, budget: NodeBudget) -> BudgetTable:
    """Return one node's bytes per second of control traffic; membership isn't included."""
    watched = ENGINE_REPLICAS * size.per_node(size.engines)
    probes = watched / probe_interval(round(watched))
    probe_bytes = measured.probe.sent_bytes + measured.probe.received_bytes
    events = ENGINE_REPLICAS * size.per_node(size.cache_events_per_second) * BLOCKS_PER_EVENT
    changes = size.configuration_changes_per_day / SECONDS_PER_DAY
    facts = ENGINE_REPLICAS * size.engines / publish_interval(size.engines)
    config = MembershipConfig()
    snapshot = measured.slopes["tenant_bytes"].at(size.tenants)
    snapshot += measured.slopes["engine_bytes"].at(size.engines)
    restarts = size.machine_restarts_per_day / SECONDS_PER_DAY / size.nodes
    rows = (
        BudgetRow("reading engines' facts", probes * probe_bytes, f"{probe_bytes} bytes a probe"),
        BudgetRow(
            "reading cache events",
            events * measured.slopes["event_bytes"].per_unit,
            f"{events:,.0f} keys a second",
        ),
        BudgetRow(
            "configuration changes",
            changes * measured.change_bytes,
            f"{changes:.3f} changes a second, each received once",
        ),
        BudgetRow(
            "snapshots after restarts",
            restarts * snapshot,
            f"{snapshot / 1e6:.2f} MB each, if every restarted machine were a router",
        ),
        BudgetRow(
            "shared facts, received",
            facts * measured.engine_entry_bytes,
            f"{facts:.0f} entries a second",
        ),
        BudgetRow(
            "sharing of tenants' limits",
            config.limits_ratio * config.bytes_per_second,
            "at most: held to its part of the peers' byte budget",
        ),
    )
    return BudgetTable("network", "bytes a second", float(budget.bytes_per_second), rows)
