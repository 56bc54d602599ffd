"""Joins what nodes tell each other of instances, quotas and permits, and takes it apart."""

from __future__ import annotations

import msgspec

from hopstep.domain.limits.fleet_usage import UsageReport
from hopstep.ports.node_exchange import Hints, RelayQuery
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.permit_sharing import PermitSharing
from hopstep.services.exchanges.requests.quotas import Quotas


class FleetHints:
    """Makes the hints of each message, and hands those that come to whom they are for."""

    def __init__(self, sharing: LoadSharing, quotas: Quotas, permits: PermitSharing) -> None:
        """Join the parts.

        Args:
            sharing: Loads, kept segments, and what instances say of themselves.
            quotas: What tenants have used.
            permits: What may be sent to limited instances.
        """
        self._sharing = sharing
        self._quotas = quotas
        self._permits = permits

    def of_node(self) -> Hints:
        """Return what this node tells its relay."""
        hints = _with_usage(self._sharing.own_hints(), self._quotas.usage_table.own_report())
        return msgspec.structs.replace(hints, sends=self._permits.own_sends())

    def of_group(self) -> Hints:
        """Return what this relay tells the others: permits are given out with that."""
        permits = self._permits.allocate()
        hints = _with_usage(self._sharing.group_hints(), self._quotas.usage_table.group_report())
        sends = self._permits.group_sends()
        return msgspec.structs.replace(hints, sends=sends, permits=permits)

    def for_asker(self, node: str, query: RelayQuery, told: Hints) -> tuple[Hints, int]:
        """Return what this relay tells a node that asks, and the node's position behind it.

        Args:
            node: Who asks.
            query: Its query.
            told: The hints in it.
        """
        hints, position = self._sharing.hints_for(node, query.feed, query.position)
        hints = _with_usage(hints, self._quotas.usage_table.fleet_report())
        permits = self._permits.serve(node, told)
        return msgspec.structs.replace(hints, permits=permits), position

    def take_from_member(self, node: str, hints: Hints) -> None:
        """Take the hints of a node that asks this one; its permits come with the answer."""
        self._sharing.take_from_member(node, hints)
        self._quotas.usage_table.take_from_member(node, _usage(hints))

    def take_digest(self, relay: str, number: int, hints: Hints) -> None:
        """Take the hints of another relay.

        Args:
            relay: Its name.
            number: Of its digest.
            hints: Of its group.
        """
        self._sharing.take_from_relay(relay, hints)
        self._quotas.usage_table.take_from_relay(relay, _usage(hints))
        self._permits.take_digest(relay, number, hints)

    def take_answer(self, relay: str, hints: Hints, asked_at: float) -> None:
        """Take what the own relay tells of all other nodes.

        Args:
            relay: Its name.
            hints: Its hints.
            asked_at: When it was asked.
        """
        self._sharing.take_answer(relay, hints)
        self._quotas.take_fleet_usage(_usage(hints), asked_at)
        self._permits.take_answer(hints.permits, asked_at)


def _with_usage(hints: Hints, report: UsageReport) -> Hints:
    """Return hints that tell a report of usage."""
    return msgspec.structs.replace(hints, usage=report.usage, nodes=report.nodes)


def _usage(hints: Hints) -> UsageReport:
    """Return the report of usage in hints."""
    return UsageReport(hints.usage, hints.nodes)
