"""Tenant limits at one router: its even floor, and the requests that its part of them admits.

Each router has an even share of a floor at any time; the rest is leased by demand (see
``leases``). The bound on the sum of all parts is derived in
``docs/design/0009-limits-and-admission.md``.
"""

from __future__ import annotations

import enum
import math

import msgspec

from hopstep.domain.configuration.document import TenantLimits

PARTS_PER_LIMIT = 1_000_000
"""Parts in a whole limit; one part is a millionth of it."""

FLOOR_RATIO = 0.2
"""Fraction of each limit that is split evenly among the routers, whatever the demand."""

BURST_SECONDS = 1.0
"""Burst that a router may admit at once, in seconds of its rate."""

SMOOTHED_REQUESTS = 3
"""Number of requests in one count up to which a rise in demand is smoothed; more count at once."""

OVERSHOOT_BOUND = FLOOR_RATIO
"""Maximum by which the sum of all shares may exceed a limit, as a fraction of the limit."""

MIN_RETRY_SECONDS = 0.1
"""Shortest time in seconds until a retry after a concurrency refusal."""


class TokenBucket:
    """A rate with a burst; its level may become negative when a cost is known only afterwards.

    Args:
        now: Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._level = 0.0
        self._rate = 0.0
        self._refilled_at = now

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate; the first rate starts with a full burst."""
        self._refill(now)
        if self._rate == 0.0:
            self._level = rate * BURST_SECONDS
        self._rate = rate
        self._level = min(self._level, rate * BURST_SECONDS)

    def wait_for(self, now: float, cost: float) -> float:
        """Return the seconds until ``cost`` may be taken; 0 when it may be taken now.

        A cost above the whole burst may be taken when the bucket is full; the level is negative
        afterwards.
        """
        self._refill(now)
        needed = min(cost, self._rate * BURST_SECONDS)
        if self._level >= needed:
            return 0.0
        return (needed - self._level) / self._rate if self._rate > 0 else math.inf

    def take(self, now: float, cost: float) -> None:
        """Take ``cost``; a negative cost is a refund, up to the burst."""
        self._refill(now)
        self._level = min(self._level - cost, self._rate * BURST_SECONDS)

    def is_full(self, now: float) -> bool:
        """Return whether the whole burst is available."""
        self._refill(now)
        return self._level >= self._rate * BURST_SECONDS

    def _refill(self, now: float) -> None:
        """Add the amount that the rate allows since the last call."""
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
        retry_after_seconds: Time until a retry may be admitted.
    """

    kind: LimitKind
    retry_after_seconds: float


class TenantLimiter:
    """One tenant's limits at one router.

    Args:
        now: Time in seconds at which the router started.
    """

    def __init__(self, now: float) -> None:
        self._requests = TokenBucket(now)
        self._tokens = TokenBucket(now)
        self._limits = TenantLimits()
        self._fraction = 0.0
        self._offered_requests = 0
        self._offered_tokens = 0.0
        self._peak_running = 0
        self._refused_running = 0
        self._wanted = 0.0
        self.running = 0

    def update(self, now: float, limits: TenantLimits, part: int) -> None:
        """Set the limits in force and this router's part of them.

        Args:
            now: Time in seconds.
            limits: Limits over all routers.
            part: Millionths of them that this router may use.
        """
        self._limits = limits
        self._fraction = part / PARTS_PER_LIMIT
        self._requests.set_rate(now, limits.requests_per_second * self._fraction)
        self._tokens.set_rate(now, limits.tokens_per_second * self._fraction)

    def take_wanted(self, seconds: float, smoothing_seconds: float) -> int:
        """Return the millionths of its limits that the tenant wants here, and reset the counts.

        Demand is smoothed, so that single requests don't move parts back and forth; demand above
        ``SMOOTHED_REQUESTS`` at a time counts at once.

        Args:
            seconds: Time since the last call.
            smoothing_seconds: Time constant.
        """
        latest = max(
            _ratio(self._offered_requests / seconds, self._limits.requests_per_second),
            _ratio(self._offered_tokens / seconds, self._limits.tokens_per_second),
            _ratio(
                self._peak_running + self._refused_running, self._limits.max_concurrent_requests
            ),
        )
        self._wanted += (1.0 - math.exp(-seconds / smoothing_seconds)) * (latest - self._wanted)
        offered = max(self._offered_requests, self._peak_running + self._refused_running)
        immediate = (
            latest * (1.0 - SMOOTHED_REQUESTS / offered) if offered > SMOOTHED_REQUESTS else 0.0
        )
        self._wanted = min(1.0, max(immediate, self._wanted))
        self._offered_requests, self._offered_tokens = 0, 0.0
        self._peak_running, self._refused_running = self.running, 0
        return int(self._wanted * PARTS_PER_LIMIT)

    def try_admit(self, now: float, tokens: float) -> LimitRefusal | None:
        """Admit a request, or return why not; each admission needs one ``release``.

        Args:
            now: Time in seconds.
            tokens: Prompt tokens plus the longest answer.
        """
        self._offered_requests += 1
        self._offered_tokens += tokens
        refusal = self._refusal(now, tokens)
        if refusal is not None:
            self._refused_running += refusal.kind is LimitKind.CONCURRENCY
            return refusal
        self.running += 1
        self._peak_running = max(self._peak_running, self.running)
        if self._limits.requests_per_second > 0:
            self._requests.take(now, 1.0)
        if self._limits.tokens_per_second > 0:
            self._tokens.take(now, tokens)
        return None

    def release(self, now: float, unused_tokens: float) -> None:
        """End an admitted request and refund the tokens that it didn't use."""
        self.running -= 1
        if self._limits.tokens_per_second > 0:
            self._tokens.take(now, -unused_tokens)

    def is_idle(self, now: float) -> bool:
        """Return whether it holds no state worth keeping: no request, and full buckets."""
        return self.running == 0 and self._requests.is_full(now) and self._tokens.is_full(now)

    def concurrency(self) -> int | None:
        """Return the number of requests that this router admits at once; None for no limit.

        At least one, so that a small limit doesn't exclude a tenant from a router.
        """
        if self._limits.max_concurrent_requests <= 0:
            return None
        return max(1, math.floor(self._limits.max_concurrent_requests * self._fraction))

    def _refusal(self, now: float, tokens: float) -> LimitRefusal | None:
        """Return the first limit that a request breaks."""
        concurrency = self.concurrency()
        if concurrency is not None and self.running >= concurrency:
            return LimitRefusal(LimitKind.CONCURRENCY, MIN_RETRY_SECONDS)
        if self._limits.requests_per_second > 0:
            wait = self._requests.wait_for(now, 1.0)
            if wait > 0:
                return LimitRefusal(LimitKind.REQUEST_RATE, wait)
        if self._limits.tokens_per_second > 0:
            wait = self._tokens.wait_for(now, tokens)
            if wait > 0:
                return LimitRefusal(LimitKind.TOKEN_RATE, wait)
        return None


def _ratio(demand: float, limit: float) -> float:
    """Return a demand as a part of a limit; 0 for no limit."""
    return demand / limit if limit > 0 else 0.0
