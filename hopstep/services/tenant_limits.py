"""Tenants' limits at this router, fed by the configuration in force and by usage gossip."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator, Mapping

import trio

from hopstep.domain.blocks import count_tokens
from hopstep.domain.configuration import BackEndKind, Tenant, TenantLimits
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.limits import LimitRefusal, ShareView, TenantLimiter
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.services.configuration_holder import ConfigurationHolder

UPDATE_SECONDS = 0.5
"""Time between two looks at gossip, for one tenant."""

DEMAND_SMOOTHING = 0.3
"""Weight of the latest count in the demand that is published."""

MIN_DEMAND = 0.05
"""Demand below which a tenant counts as idle here."""

MAX_RETRY_AFTER_SECONDS = 60.0

IDLE_SECONDS = 60.0
"""Time without a request after which a tenant is forgotten, unless it still owes tokens."""

REFRESH_TENANTS = 512
"""Tenants looked at in one refresh, the longest waiting first."""

LiveRouters = Callable[[], frozenset[str]]
"""Returns the names of the live routers, this one among them."""

UsageByRouter = Callable[[str], Mapping[str, float]]
"""Returns a tenant's demand by router, as last published."""


class TenantLimitService:
    """Holds each tenant's requests to this router's part of its limits.

    Args:
        router: Name of this router.
        holder: Configuration in force.
        live_routers: Live routers by gossip; None for this router alone.
        usage_by_router: Demand by gossip; None while nothing is published.
    """

    def __init__(
        self,
        router: str,
        holder: ConfigurationHolder,
        live_routers: LiveRouters | None = None,
        usage_by_router: UsageByRouter | None = None,
    ) -> None:
        self._router = router
        self._holder = holder
        self._live_routers = live_routers or (lambda: frozenset({router}))
        self._usage_by_router = usage_by_router or (lambda tenant: {})
        self._started_at = trio.current_time()
        self._limiters: dict[str, TenantLimiter] = {}
        self._updated_at: dict[str, float] = {}
        self._used_at: dict[str, float] = {}
        self._demand: dict[str, float] = {}

    @contextlib.contextmanager
    def entered(
        self, request: InferenceRequest, generated_tokens: Callable[[], int]
    ) -> Iterator[None]:
        """Hold a request's part of its tenant's limits for the length of the block.

        Args:
            request: The request.
            generated_tokens: Returns, at the end, the tokens that it was given.

        Raises:
            ServiceError: ``RATE_LIMITED`` with the limit's name, as not run.
        """
        limiter = self._limiter(request.tenant)
        prompt_tokens = count_tokens(request.prompt)
        tokens = prompt_tokens + request.max_tokens
        refusal = limiter.try_enter(trio.current_time(), tokens)
        if refusal is not None:
            raise _limited(refusal)
        try:
            yield
        finally:
            unused = request.max_tokens - generated_tokens()
            limiter.leave(trio.current_time(), max(0, unused))

    def take_offered(self) -> dict[str, float]:
        """Return the smoothed number of requests offered by tenant between two calls.

        Smoothing keeps demand that comes and goes from moving shares to and fro.
        """
        for name, limiter in self._limiters.items():
            before = self._demand.get(name, float(limiter.offered))
            self._demand[name] = before + DEMAND_SMOOTHING * (limiter.offered - before)
            limiter.offered = 0
        self._demand = {name: value for name, value in self._demand.items() if value > MIN_DEMAND}
        return dict(self._demand)

    def refresh(self) -> None:
        """Follow gossip for tenants that send nothing now, and forget idle ones.

        The bound on the sum of shares holds for routers that take every view within the hold,
        also for tenants whose next request comes later.
        """
        now = trio.current_time()
        if not self._limiters:
            return
        tenants = self._holder.require_index().tenants
        for name in sorted(self._limiters, key=self._updated_at.__getitem__)[:REFRESH_TENANTS]:
            limiter = self._limiters[name]
            if now - self._used_at[name] >= IDLE_SECONDS and limiter.is_idle(now):
                self._forget(name)
            elif name in tenants:
                self._update(now, limiter, tenants[name])

    def known_tenants(self) -> int:
        """Return the number of tenants whose limits are held in memory."""
        return len(self._limiters)

    def _forget(self, name: str) -> None:
        del self._limiters[name], self._updated_at[name], self._used_at[name]
        self._demand.pop(name, None)

    def _limiter(self, tenant: Tenant) -> TenantLimiter:
        """Return a tenant's limiter, up to date."""
        now = trio.current_time()
        self._used_at[tenant.name] = now
        limiter = self._limiters.get(tenant.name)
        if limiter is None:
            limiter = TenantLimiter(self._started_at)
            self._limiters[tenant.name] = limiter
        if now - self._updated_at.get(tenant.name, float("-inf")) >= UPDATE_SECONDS:
            self._update(now, limiter, tenant)
        return limiter

    def _update(self, now: float, limiter: TenantLimiter, tenant: Tenant) -> None:
        self._updated_at[tenant.name] = now
        limiter.update(now, self._limits_in_force(tenant), self._view(tenant))

    def _limits_in_force(self, tenant: Tenant) -> TenantLimits:
        """Return a tenant's limits as configured now."""
        return self._holder.require_index().tenants.get(tenant.name, tenant).limits

    def _view(self, tenant: Tenant) -> ShareView:
        """Return what gossip says of a tenant's demand."""
        routers = self._holder.require_index().tenant_back_ends(tenant, BackEndKind.ROUTER)
        return ShareView(
            router=self._router,
            live_routers=self._live_routers(),
            usage_by_router=self._usage_by_router(tenant.name),
            expected_routers=len(routers),
        )


def _limited(refusal: LimitRefusal) -> ServiceError:
    """Return the refusal that a caller gets."""
    return ServiceError(
        ErrorCode.RATE_LIMITED,
        f"the tenant's {refusal.kind.value} is used up",
        field=refusal.kind.value,
        retry_after_seconds=min(refusal.retry_after_seconds, MAX_RETRY_AFTER_SECONDS),
    )
