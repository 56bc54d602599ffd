"""Tenant limits, split over the live routers without a central counter.

Each router works out its own share of a tenant's limit from what gossip says of the live
routers and of the demand at each: a floor split evenly, the rest by demand. A share shrinks at
once and grows only after ``HOLD_SECONDS``, so that routers whose pictures differ by less than
that never use the same part twice. A router that has just started takes the floor's part only,
for the same time. The bound that follows is worked out in
``docs/design/0009-limits-and-admission.md``.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Mapping

import msgspec

from hopstep.domain.configuration import TenantLimits

FLOOR_RATIO = 0.2
"""Part of each limit that is split evenly, whatever the demand."""

HOLD_SECONDS = 6.0
"""Time for which a share stays at its lowest recent value; longer than gossip takes."""

BURST_SECONDS = 1.0
"""Seconds of its rate that a router may let through at once."""

OVERSHOOT_BOUND = FLOOR_RATIO
"""Most by which the sum of all shares may exceed a limit, as a part of the limit."""

LEAST_RETRY_SECONDS = 0.1
"""Shortest time to come back after a concurrency refusal."""


class ShareView(msgspec.Struct, frozen=True):
    """What gossip says when a share is worked out.

    Attributes:
        router: Name of this router.
        live_routers: Names of the live routers, this one among them.
        usage_by_router: Demand of the tenant at each router, as last published, this router's
            own published value included. Any unit.
        expected_routers: Routers in the configuration that may serve the tenant; at least that
            many are reckoned with while this router is new.
    """

    router: str
    live_routers: frozenset[str]
    usage_by_router: Mapping[str, float]
    expected_routers: int = 1


def settled_share(view: ShareView) -> float:
    """Return this router's part of each limit under a view, from 0 to 1."""
    routers = view.live_routers | {view.router}
    even = 1.0 / len(routers)
    usage = {name: max(0.0, view.usage_by_router.get(name, 0.0)) for name in routers}
    total = sum(usage.values())
    by_demand = usage[view.router] / total if total > 0 else even
    return FLOOR_RATIO * even + (1.0 - FLOOR_RATIO) * by_demand


def newcomer_share(view: ShareView) -> float:
    """Return the part that a router takes in its first ``HOLD_SECONDS``."""
    routers = max(len(view.live_routers | {view.router}), view.expected_routers)
    return FLOOR_RATIO / routers


class LimitShare:
    """This router's part of a tenant's limits: shrinks at once, grows after the hold.

    Args:
        now: Time in seconds at which the router started.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._recent: deque[tuple[float, float]] = deque()

    def update(self, now: float, view: ShareView) -> float:
        """Take a new view in and return the share in force, from 0 to 1."""
        is_new = now - self._started_at < HOLD_SECONDS
        share = newcomer_share(view) if is_new else settled_share(view)
        self._forget_before(now - HOLD_SECONDS)
        while self._recent and self._recent[-1][1] > share:
            self._recent.pop()
        if not self._recent or self._recent[-1][1] < share:
            # An equal share stays with its first time, or it would never come into force.
            self._recent.append((now, share))
        return self.current(now)

    def current(self, now: float) -> float:
        """Return the lowest share of the last ``HOLD_SECONDS``; 0 before the first update."""
        self._forget_before(now - HOLD_SECONDS)
        return self._recent[0][1] if self._recent else 0.0

    def _forget_before(self, start: float) -> None:
        """Drop shares that were no longer in force at ``start``."""
        while len(self._recent) > 1 and self._recent[1][0] <= start:
            self._recent.popleft()


class TokenBucket:
    """A rate with a burst; may go into debt when a cost is known only afterwards.

    Args:
        now: Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._level = 0.0
        self._rate = 0.0
        self._refilled_at = now

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate; a first rate comes with its burst."""
        self._refill(now)
        if self._rate == 0.0:
            self._level = rate * BURST_SECONDS
        self._rate = rate
        self._level = min(self._level, rate * BURST_SECONDS)

    def wait_for(self, now: float, cost: float) -> float:
        """Return the seconds until ``cost`` may pass; 0 when it may pass now.

        A cost above the whole burst passes when the bucket is full, and leaves a debt.
        """
        self._refill(now)
        needed = min(cost, self._rate * BURST_SECONDS)
        if self._level >= needed:
            return 0.0
        return (needed - self._level) / self._rate if self._rate > 0 else math.inf

    def take(self, now: float, cost: float) -> None:
        """Take ``cost``; a negative cost gives back, up to the burst."""
        self._refill(now)
        self._level = min(self._level - cost, self._rate * BURST_SECONDS)

    def is_full(self, now: float) -> bool:
        """Return whether the whole burst is there."""
        self._refill(now)
        return self._level >= self._rate * BURST_SECONDS

    def _refill(self, now: float) -> None:
        """Add what the rate allows since the last call."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._level = min(self._level + elapsed * self._rate, self._rate * BURST_SECONDS)


class LimitKind(enum.StrEnum):
    """Which limit refuses."""

    REQUEST_RATE = "requests_per_second"
    TOKEN_RATE = "tokens_per_second"  # noqa: S105 - a field name, not a password
    CONCURRENCY = "max_concurrent_requests"


class LimitRefusal(msgspec.Struct, frozen=True):
    """Why a request is refused.

    Attributes:
        kind: Limit that it breaks.
        retry_after_seconds: When to come back.
    """

    kind: LimitKind
    retry_after_seconds: float


class TenantLimiter:
    """One tenant's limits at one router.

    Args:
        now: Time in seconds at which the router started.
    """

    def __init__(self, now: float) -> None:
        self._share = LimitShare(now)
        self._requests = TokenBucket(now)
        self._tokens = TokenBucket(now)
        self._limits = TenantLimits()
        self._fraction = 0.0
        self.running = 0
        self.offered = 0

    def update(self, now: float, limits: TenantLimits, view: ShareView) -> None:
        """Take in the limits in force and what gossip says.

        Args:
            now: Time in seconds.
            limits: Limits over all routers.
            view: Live routers and demand at each.
        """
        self._limits = limits
        self._fraction = self._share.update(now, view)
        self._requests.set_rate(now, limits.requests_per_second * self._fraction)
        self._tokens.set_rate(now, limits.tokens_per_second * self._fraction)

    def try_enter(self, now: float, tokens: float) -> LimitRefusal | None:
        """Let a request in, or return why not; ``leave`` must follow an entry once.

        Args:
            now: Time in seconds.
            tokens: Prompt tokens plus the longest answer.
        """
        self.offered += 1
        refusal = self._refusal(now, tokens)
        if refusal is not None:
            return refusal
        self.running += 1
        if self._limits.requests_per_second > 0:
            self._requests.take(now, 1.0)
        if self._limits.tokens_per_second > 0:
            self._tokens.take(now, tokens)
        return None

    def leave(self, now: float, unused_tokens: float) -> None:
        """Let a request out and give back the tokens that it didn't use."""
        self.running -= 1
        if self._limits.tokens_per_second > 0:
            self._tokens.take(now, -unused_tokens)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing would be lost by forgetting it: no request, no debt."""
        return self.running == 0 and self._requests.is_full(now) and self._tokens.is_full(now)

    def concurrency(self) -> int | None:
        """Return how many requests this router lets in at once; None for no limit.

        At least one, so that a small limit doesn't shut a tenant out of a router.
        """
        if self._limits.max_concurrent_requests <= 0:
            return None
        return max(1, math.floor(self._limits.max_concurrent_requests * self._fraction))

    def _refusal(self, now: float, tokens: float) -> LimitRefusal | None:
        """Return the first limit that a request breaks."""
        concurrency = self.concurrency()
        if concurrency is not None and self.running >= concurrency:
            return LimitRefusal(LimitKind.CONCURRENCY, LEAST_RETRY_SECONDS)
        if self._limits.requests_per_second > 0:
            wait = self._requests.wait_for(now, 1.0)
            if wait > 0:
                return LimitRefusal(LimitKind.REQUEST_RATE, wait)
        if self._limits.tokens_per_second > 0:
            wait = self._tokens.wait_for(now, tokens)
            if wait > 0:
                return LimitRefusal(LimitKind.TOKEN_RATE, wait)
        return None
