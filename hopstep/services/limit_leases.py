"""Shares tenants' limits between routers: reports demand to owners, and grants as an owner."""

from __future__ import annotations

import trio

from hopstep.domain.configuration.document import AcceptedConfiguration, BackEnd, BackEndKind
from hopstep.domain.labels import LabelSelector
from hopstep.domain.limits.sharing import LimitSharing
from hopstep.domain.membership import Action, LimitMessage
from hopstep.domain.peer_message import LimitReport
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.membership import MembershipService
from hopstep.services.requests.tenant_limits import TenantLimitService

REPORT_SECONDS = 1.0
"""Time between two checks of which demands are due to be reported."""


class LimitLeaseService:
    """Connects the sharing of limits with membership and the clock."""

    def __init__(self, membership: MembershipService, holder: ConfigurationHolder) -> None:
        """Prepare the sharing; ``run`` does the work.

        Args:
            membership: Live routers, and messages to them.
            holder: Configuration in force; says which routers may serve a tenant.
        """
        self._membership = membership
        self._sharing = LimitSharing(membership.own.name, trio.current_time())
        self._holder = holder
        self._placement: tuple[list[BackEnd], dict[str, LabelSelector]] = ([], {})
        membership.subscribe(self._handle)
        holder.subscribe(self._follow_configuration)

    def part(self, tenant: str) -> int:
        """Return the millionths of a tenant's limits that this router may use now."""
        return self._sharing.part(tenant, trio.current_time())

    async def run(self, limits: TenantLimitService) -> None:
        """Report demand until cancelled.

        Args:
            limits: Applies the limits to requests.
        """
        while True:
            self._report(limits)
            await trio.sleep(REPORT_SECONDS)

    def _report(self, limits: TenantLimitService) -> None:
        now = trio.current_time()
        self._update_routers(now)
        wanted = limits.take_wanted(REPORT_SECONDS, self._sharing.smoothing_seconds)
        for addressed in self._sharing.reports(now, wanted):
            if not self._membership.send_limits(addressed.owner, addressed.report):
                # The byte budget is used up: the remaining reports are due at the next check.
                return

    def _update_routers(self, now: float) -> None:
        """Pass the live routers and the number of members to the sharing."""
        live = [record.name for record in self._membership.alive_routers()]
        self._sharing.update_routers(now, live, len(self._membership.members()))

    def _follow_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Pass on which routers may serve each tenant, if that has changed."""
        configuration = accepted.configuration
        routers = [item for item in configuration.back_ends if item.kind is BackEndKind.ROUTER]
        selectors = {tenant.name: tenant.selector for tenant in configuration.tenants}
        if (routers, selectors) == self._placement:
            return
        self._placement = routers, selectors
        index = self._holder.require_index()
        placed = {
            tenant.name: index.tenant_back_ends(tenant, BackEndKind.ROUTER)
            for tenant in configuration.tenants
        }
        # The index returns one tuple per selector. Its names are shared likewise, to bound memory.
        names = {
            id(routers): frozenset(router.name for router in routers) for routers in placed.values()
        }
        admitted = {tenant: names[id(routers)] for tenant, routers in placed.items()}
        self._sharing.set_admitted(trio.current_time(), admitted)

    def _handle(self, action: Action) -> None:
        if not isinstance(action, LimitMessage):
            return
        if not isinstance(action.body, LimitReport):
            self._sharing.take(action.body)
            return
        now = trio.current_time()
        self._update_routers(now)
        answer = self._sharing.answer(now, action.sender, action.incarnation, action.body)
        if answer is not None:
            self._membership.send_limits(action.sender, answer)
