"""Tenants' limits at this router: its even floor and the share that it holds by lease."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import trio

from hopstep.domain.blocks import count_tokens
from hopstep.domain.configuration.document import Tenant, TenantLimits
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.limits.limiter import PARTS_PER_LIMIT, LimitRefusal, TenantLimiter
from hopstep.domain.limits.sharing import ALWAYS_REPORTED
from hopstep.exceptions import ErrorCode, ServiceError
from hopstep.services.configuration.holder import ConfigurationHolder

MAX_RETRY_AFTER_SECONDS = 60.0

IDLE_SECONDS = 60.0
"""Time without a request after which a tenant's limiter is dropped, unless it still owes tokens."""

LimitShare = Callable[[str], int]
"""Returns the millionths of a tenant's limits that this router may use now."""


class TenantLimitService:
    """Limits each tenant's requests to this router's share of its limits.

    Args:
        holder: Configuration in force.
        part: Returns this router's share of a tenant's limits, in millionths; None for a single
            router, which has all.
    """

    def __init__(self, holder: ConfigurationHolder, part: LimitShare | None = None) -> None:
        self._holder = holder
        self._share = part or (lambda tenant: PARTS_PER_LIMIT)
        self._limiters: dict[str, TenantLimiter] = {}
        self._used_at: dict[str, float] = {}

    @contextlib.contextmanager
    def entered(
        self, request: InferenceRequest, generated_tokens: Callable[[], int]
    ) -> Iterator[None]:
        """Hold a request's share of its tenant's limits during the block.

        Args:
            request: The request.
            generated_tokens: Returns, at the end, the number of tokens that it received.

        Raises:
            ServiceError: ``RATE_LIMITED`` with the limit's name, as not run.
        """
        limiter = self._limiter(request.tenant)
        prompt_tokens = count_tokens(request.prompt)
        tokens = prompt_tokens + request.max_tokens
        refusal = limiter.try_admit(trio.current_time(), tokens)
        if refusal is not None:
            raise _limited(refusal)
        try:
            yield
        finally:
            unused = request.max_tokens - generated_tokens()
            limiter.release(trio.current_time(), max(0, unused))

    def take_wanted(
        self, seconds: float, smoothing_seconds: Callable[[str], float]
    ) -> dict[str, int]:
        """Return the millionths of their limits that tenants demand here, and drop idle ones.

        With few configured tenants the result contains all of them, also those without demand.

        Args:
            seconds: Time since the last call.
            smoothing_seconds: Returns the time constant for a tenant's demand.
        """
        self._refresh()
        if self._holder.current is None:
            return {}
        tenants = self._holder.require_index().tenants
        names = tenants if len(tenants) <= ALWAYS_REPORTED else self._limiters
        wanted = {}
        for name in names:
            if name in tenants and _is_limited(tenants[name].limits):
                limiter = self._limiters.get(name)
                smoothing = smoothing_seconds(name)
                wanted[name] = limiter.take_wanted(seconds, smoothing) if limiter else 0
        return wanted

    def known_tenants(self) -> int:
        """Return the number of tenants with a limiter in memory."""
        return len(self._limiters)

    def _refresh(self) -> None:
        """Update the limiters to this router's current shares, and drop those of idle tenants."""
        now = trio.current_time()
        tenants = self._holder.require_index().tenants if self._limiters else {}
        for name, limiter in list(self._limiters.items()):
            if now - self._used_at[name] >= IDLE_SECONDS and limiter.is_idle(now):
                del self._limiters[name], self._used_at[name]
            elif name in tenants:
                self._update(limiter, tenants[name], now)

    def _limiter(self, tenant: Tenant) -> TenantLimiter:
        """Return a tenant's limiter, up to date."""
        now = trio.current_time()
        index = self._holder.require_index()
        in_force = index.tenants.get(tenant.name, tenant)
        limiter = self._limiters.get(tenant.name)
        if limiter is None:
            limiter = self._limiters[tenant.name] = TenantLimiter(now)
        self._used_at[tenant.name] = now
        self._update(limiter, in_force, now)
        return limiter

    def _update(self, limiter: TenantLimiter, tenant: Tenant, now: float) -> None:
        share = self._share(tenant.name) if _is_limited(tenant.limits) else PARTS_PER_LIMIT
        limiter.update(now, tenant.limits, share)


def _is_limited(limits: TenantLimits) -> bool:
    """Return whether any limit is split between routers."""
    split = (limits.requests_per_second, limits.tokens_per_second, limits.max_concurrent_requests)
    return any(limit > 0 for limit in split)


def _limited(refusal: LimitRefusal) -> ServiceError:
    """Return the error that refuses a request for a limit."""
    return ServiceError(
        ErrorCode.RATE_LIMITED,
        f"the tenant's {refusal.kind.value} is used up",
        field=refusal.kind.value,
        retry_after_seconds=min(refusal.retry_after_seconds, MAX_RETRY_AFTER_SECONDS),
    )
