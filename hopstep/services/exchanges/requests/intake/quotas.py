"""Enforces tenants' quotas: admits or refuses requests, and reports usage to other nodes.

Usage reports are carried by the messages that nodes exchange anyway.
"""

from __future__ import annotations

import random

import trio

from hopstep.domain.exchanges.request import ExchangeRequest
from hopstep.domain.limits.fleet_usage import UsageReport
from hopstep.domain.limits.quota_ledger import (
    FleetUsage,
    QuotaBounds,
    QuotaDecision,
    QuotaLedger,
    TenantQuota,
)
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.log_events.requests import QUOTA_EXCEEDED
from hopstep.logs import emit
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.peers.usage_registry import UsageRegistry

MILLISECONDS = 1_000

FIRST_USAGE_SECONDS = 1.5
"""Longest wait of a node that has just started for the usage of other nodes, before it refuses
requests: five of its queries to a relay, and some time to find one.
"""


class Quotas:
    """Quotas of one node.

    Attributes:
        usage_table: What all nodes have used of the tenants' quotas.
    """

    def __init__(
        self, knowledge: ServingKnowledge, bounds: QuotaBounds, generator: random.Random
    ) -> None:
        """Start without any usage. Must be called inside the event loop.

        Args:
            knowledge: Tenants, nodes and relays.
            bounds: Tolerated overshoot and slack, and the window of quotas.
            generator: Draws which node admits a request when a node's share is less than one.
        """
        self._knowledge = knowledge
        self._generator = generator
        self._started_at = trio.current_time()
        self._others_reported = trio.Event()
        self._ledger = QuotaLedger(bounds, self._started_at)
        self.usage_table = UsageRegistry(knowledge, bounds.window_seconds, self._own_report)

    async def require(self, request: ExchangeRequest) -> None:
        """Count a request against its tenant's quota, or refuse it.

        Raises:
            ServiceError: ``RATE_LIMITED``, with the time after which a request of the same cost may
                be admitted.
        """
        tenant = request.tenant
        if tenant is None or tenant.quota is None:
            return
        cost = tenant.quota.cost(request.usage_tokens)
        decision = self._decide(tenant.name, tenant.quota, cost)
        if decision.wait_seconds and not self._others_reported.is_set():
            with trio.move_on_at(self._started_at + FIRST_USAGE_SECONDS):
                await self._others_reported.wait()
            decision = self._decide(tenant.name, tenant.quota, cost)
        if not decision.wait_seconds:
            return
        emit(
            QUOTA_EXCEEDED,
            request_id=request.request_id,
            tenant=tenant.name,
            cost=cost,
            room=round(decision.free_units),
            share=round(decision.share, 4),
            used=round(decision.used),
            nodes=decision.nodes,
            wait_ms=round(decision.wait_seconds * MILLISECONDS),
        )
        raise ServiceError(
            ErrorCode.RATE_LIMITED,
            "the tenant's quota is used up",
            retry_after_seconds=decision.wait_seconds,
        )

    def _decide(self, tenant: str, quota: TenantQuota, cost: int) -> QuotaDecision:
        """Admit and count a request, or return when to retry."""
        now = trio.current_time()
        if not self._knowledge.relays.relay():
            self._apply_usage(self.usage_table.fleet_report(), now)
        return self._ledger.admit(
            tenant, quota, cost, now, self._knowledge.count_nodes(), self._generator.random()
        )

    def _apply_usage(self, report: UsageReport, asked_at: float) -> None:
        """Apply the usage of all nodes; a report of this node alone ends no wait for others."""
        self._ledger.update_fleet_usage(FleetUsage(report, asked_at))
        if report.nodes > 1:
            self._others_reported.set()

    def uncount(self, request: ExchangeRequest) -> None:
        """Stop counting a request that has not run."""
        tenant = request.tenant
        if tenant is not None and tenant.quota is not None:
            cost = tenant.quota.cost(request.usage_tokens)
            self._ledger.refund(tenant.name, cost, trio.current_time())

    def _own_report(self) -> UsageReport:
        """Return this node's usage of quotas."""
        quotas = self._quotas()
        if not quotas:
            return UsageReport()
        return self._ledger.own_report(quotas, trio.current_time(), self._knowledge.count_nodes())

    def take_fleet_usage(self, report: UsageReport, asked_at: float) -> None:
        """Apply the usage of all nodes that this node's relay reports.

        Args:
            report: Usage of all nodes.
            asked_at: When the query with this node's own usage was sent to the relay, by the
                steady clock in seconds.
        """
        self._apply_usage(report, asked_at)

    def _quotas(self) -> dict[str, TenantQuota]:
        """Return the quotas by name of tenant."""
        current = self._knowledge.current
        tenants = current.tenants if current is not None else ()
        return {tenant.name: tenant.quota for tenant in tenants if tenant.quota is not None}
