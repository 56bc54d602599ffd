"""Combines the hints on instances, quotas and permits for a message, and splits received ones."""

from __future__ import annotations

import msgspec

from hopstep.domain.limits.fleet_usage import UsageReport
from hopstep.ports.node_exchange import Hints, RelayQuery
from hopstep.services.exchanges.peers.load_sharing import LoadSharing
from hopstep.services.exchanges.peers.permit_sharing import PermitSharing
from hopstep.services.exchanges.requests.intake.quotas import Quotas


class FleetHints:
    """Builds the hints of each message, and dispatches those of received messages."""

    def __init__(self, sharing: LoadSharing, quotas: Quotas, permits: PermitSharing) -> None:
        """Use the three sources of hints.

        Args:
            sharing: Loads, cached segments, and notices of instances.
            quotas: Usage of tenants.
            permits: Permits to send to limited instances.
        """
        self._sharing = sharing
        self._quotas = quotas
        self._permits = permits

    def of_node(self) -> Hints:
        """Return the hints of this node for its relay."""
        hints = _with_usage(self._sharing.own_hints(), self._quotas.usage_table.own_report())
        return msgspec.structs.replace(hints, sends=self._permits.own_sends())

    def of_group(self) -> Hints:
        """Return the hints of this relay's group for other relays; this also allocates permits."""
        permits = self._permits.allocate()
        hints = _with_usage(self._sharing.group_hints(), self._quotas.usage_table.group_report())
        sends = self._permits.group_sends()
        return msgspec.structs.replace(hints, sends=sends, permits=permits)

    def for_asker(self, node: str, query: RelayQuery, received: Hints) -> tuple[Hints, int]:
        """Return the hints for a node that queries this relay, and its next position in the log.

        Args:
            node: Name of the querying node.
            query: Its query.
            received: The hints in the query.
        """
        hints, position = self._sharing.hints_for(node, query.feed, query.position)
        hints = _with_usage(hints, self._quotas.usage_table.fleet_report())
        permits = self._permits.serve(node, received)
        return msgspec.structs.replace(hints, permits=permits), position

    def take_from_member(self, node: str, hints: Hints) -> None:
        """Apply the hints of a node that queries this one; its permits are sent with the answer."""
        self._sharing.take_from_member(node, hints)
        self._quotas.usage_table.take_from_member(node, _usage(hints))

    def take_digest(self, relay: str, number: int, hints: Hints) -> None:
        """Apply the hints of another relay.

        Args:
            relay: Its name.
            number: Number of its digest.
            hints: Hints of its group.
        """
        self._sharing.take_from_relay(relay, hints)
        self._quotas.usage_table.take_from_relay(relay, _usage(hints))
        self._permits.take_digest(relay, number, hints)

    def take_answer(self, relay: str, hints: Hints, asked_at: float) -> None:
        """Apply the hints on all other nodes that this node's relay sent.

        Args:
            relay: Its name.
            hints: Its hints.
            asked_at: When the query was sent.
        """
        self._sharing.take_answer(relay, hints)
        self._quotas.take_fleet_usage(_usage(hints), asked_at)
        self._permits.take_answer(hints.permits, asked_at)


def _with_usage(hints: Hints, report: UsageReport) -> Hints:
    """Return hints with a report of usage added."""
    return msgspec.structs.replace(hints, usage=report.usage, nodes=report.nodes)


def _usage(hints: Hints) -> UsageReport:
    """Return the report of usage in hints."""
    return UsageReport(hints.usage, hints.nodes)
