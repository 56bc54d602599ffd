"""Events of claims, limits and the quarantine: HS7xxx."""

from __future__ import annotations

from hopstep.log_events.event import Level, LogEvent

CLAIMS_UNAVAILABLE = LogEvent(
    "HS7001",
    "claims_unavailable",
    Level.WARNING,
    ("reason",),
    "Check the key-value store; until it responds, requests with an idempotency key are refused.",
)
CLAIM_REFUSED = LogEvent(
    "HS7002",
    "claim_refused",
    Level.INFO,
    ("earlier",),
    "Nothing; a caller repeated an idempotency key whose earlier attempt may have run.",
)
CLAIM_TAKEN_OVER = LogEvent(
    "HS7003", "claim_taken_over", Level.INFO, ("earlier_router",), "Nothing."
)
CLAIM_NOT_RELEASED = LogEvent(
    "HS7004", "claim_not_released", Level.INFO, ("reason",), "Nothing; repeats ask the engine."
)
CLAIM_UNREADABLE = LogEvent(
    "HS7005",
    "claim_unreadable",
    Level.ERROR,
    ("version",),
    "Find out which client writes below claims/ in the key-value store.",
)
CLAIMS_SWEPT = LogEvent("HS7006", "claims_swept", Level.INFO, ("deleted", "kept"), "Nothing.")
CLAIM_SWEEP_FAILED = LogEvent(
    "HS7007", "claim_sweep_failed", Level.WARNING, ("reason",), "Check the key-value store."
)
