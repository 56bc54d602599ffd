"""Holds tenants' quotas: admits or refuses requests here, and tells other nodes what was used.

What is told goes along with the messages that nodes send each other anyway.
"""

from __future__ import annotations

import random

import trio

from hopstep import log_events
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
from hopstep.logs import emit
from hopstep.services.exchanges.directory.knowledge import ServingKnowledge
from hopstep.services.exchanges.peers.usage_registry import UsageRegistry

MILLISECONDS = 1_000

FIRST_TELLING_SECONDS = 1.5
"""A node that has just started waits so long to hear what others have used, before it refuses: five
of its queries to a relay, and some time to find one.
"""


class Quotas:
    """Quotas of one node.

    Attributes:
        book: What all nodes have used of their tenants' quotas.
    """

    def __init__(
        self, knowledge: ServingKnowledge, bounds: QuotaBounds, generator: random.Random
    ) -> None:
        """Start without any usage. Must be called inside the event loop.

        Args:
            knowledge: Tenants, nodes and relays.
            bounds: What operators tolerate.
            generator: Draws who admits where a node's share is less than a request.
        """
        self._knowledge = knowledge
        self._generator = generator
        self._started_at = trio.current_time()
        self._told = trio.Event()
        self._ledger = QuotaLedger(bounds, self._started_at)
        self.book = UsageRegistry(knowledge, bounds.window_seconds, self._own_report)

    async def require(self, request: ExchangeRequest) -> None:
        """Count a request, or refuse it.

        Raises:
            ServiceError: ``RATE_LIMITED``, with the time after which one like it may be admitted.
        """
        tenant = request.tenant
        if tenant is None or tenant.quota is None:
            return
        cost = tenant.quota.cost(request.usage_tokens)
        decision = self._decide(tenant.name, tenant.quota, cost)
        if decision.wait_seconds and not self._told.is_set():
            with trio.move_on_at(self._started_at + FIRST_TELLING_SECONDS):
                await self._told.wait()
            decision = self._decide(tenant.name, tenant.quota, cost)
        if not decision.wait_seconds:
            return
        emit(
            log_events.QUOTA_EXCEEDED,
            request_id=request.request_id,
            tenant=tenant.name,
            cost=cost,
            room=round(decision.room),
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
        """Admit and count a request, or return when to come back."""
        now = trio.current_time()
        if not self._knowledge.relays.relay():
            self._take_told(self.book.fleet_report(), now)
        return self._ledger.admit(
            tenant, quota, cost, now, self._knowledge.count_nodes(), self._generator.random()
        )

    def _take_told(self, report: UsageReport, asked_at: float) -> None:
        """Take the usage of all nodes; the report of this one alone tells nothing."""
        self._ledger.take_told(FleetUsage(report, asked_at))
        if report.nodes > 1:
            self._told.set()

    def give_back(self, request: ExchangeRequest) -> None:
        """Count a request no longer that has not run."""
        tenant = request.tenant
        if tenant is not None and tenant.quota is not None:
            cost = tenant.quota.cost(request.usage_tokens)
            self._ledger.give_back(tenant.name, cost, trio.current_time())

    def _own_report(self) -> UsageReport:
        """Return this node's usage."""
        quotas = self._quotas()
        if not quotas:
            return UsageReport()
        return self._ledger.own_report(quotas, trio.current_time(), self._knowledge.count_nodes())

    def take_answer(self, report: UsageReport, asked_at: float) -> None:
        """Take what the own relay tells of all nodes.

        Args:
            report: Usage of all nodes.
            asked_at: When the query was sent that told the relay of this node's own.
        """
        self._take_told(report, asked_at)

    def _quotas(self) -> dict[str, TenantQuota]:
        """Return the quotas by tenant."""
        current = self._knowledge.current
        tenants = current.tenants if current is not None else ()
        return {tenant.name: tenant.quota for tenant in tenants if tenant.quota is not None}
