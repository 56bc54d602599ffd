"""At-most-once claims on idempotency keys: records and decisions, without I/O.

A claim says which attempt of a key may be dispatched: one nonce, at one engine, in one
incarnation. Claims never lapse while their attempt could still start. A later holder takes a
claim over only after the engine has promised that the earlier nonce never starts, so a paused
holder that wakes is refused by the engine whatever its clock says.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from hopstep.domain.store_position import StorePosition

CLAIM_PREFIX = "claims/"
"""Prefix of all claims in the key-value store."""

HASH_BYTES = 20
"""Bytes of the hash of tenant and key."""


TAKE_OVER_SECONDS = 600.0
"""Age up to which a claim may be taken over; engines must remember nonces for longer than this
and the skew of the routers' clocks."""


class Claim(msgspec.Struct, frozen=True):
    """Which attempt of an idempotency key may be dispatched.

    Attributes:
        nonce: The attempt.
        engine_address: ``ip:port`` of the only engine that it may be sent to.
        engine_incarnation: The only incarnation in which it may start.
        router: Name of the router that made the claim.
        created_at: Wall-clock time in seconds; bounds how long a key is remembered and for how
            long the claim may be taken over.
    """

    nonce: str
    engine_address: str
    engine_incarnation: str
    router: str
    created_at: float


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim as read from or written to the store.

    Attributes:
        key: Its key in the store.
        version: Its version in the store.
        claim: The claim.
    """

    key: str
    version: StorePosition
    claim: Claim


class EarlierAttempt(enum.StrEnum):
    """What is proved of the attempt that an existing claim names."""

    NEVER_STARTS = "never_starts"
    IN_PROGRESS = "in_progress"
    OVER = "over"
    OTHER_INCARNATION = "other_incarnation"
    UNKNOWN = "unknown"


class ClaimStep(enum.StrEnum):
    """What to do about a claim that was found in the store."""

    DISPATCH = "dispatch"
    TAKE_OVER = "take_over"
    REFUSE = "refuse"


def claim_key(tenant_name: str, idempotency_key: str) -> str:
    """Return the store key of a claim; it reveals neither argument.

    Args:
        tenant_name: Whose key it is; equal keys of two tenants never meet.
        idempotency_key: Key as the caller sent it.
    """
    text = f"{len(tenant_name)}:{tenant_name}:{idempotency_key}"
    return CLAIM_PREFIX + hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).hexdigest()


def next_step(found: Claim, own_nonce: str, earlier: EarlierAttempt, now: float) -> ClaimStep:
    """Return what a router does that found a claim on its caller's key.

    Args:
        found: The claim in the store.
        own_nonce: The attempt that this router wants to dispatch.
        earlier: What is proved of the attempt that ``found`` names.
        now: Wall-clock time in seconds.
    """
    if found.nonce == own_nonce:
        return ClaimStep.DISPATCH
    # An older claim's attempt may have run so long ago that the engine has forgotten its nonce.
    is_recent = abs(now - found.created_at) <= TAKE_OVER_SECONDS
    if earlier is EarlierAttempt.NEVER_STARTS and is_recent:
        return ClaimStep.TAKE_OVER
    return ClaimStep.REFUSE


def may_forget(claim: Claim, earlier: EarlierAttempt, now: float, retention_seconds: float) -> bool:
    """Return whether a claim may be deleted.

    A claim older than the retention goes once its nonce is proved not to start any more, which
    a wrong clock can't make unsafe. Age alone is no proof: a claim on an engine that never
    answers stays until something answers at that address again.

    Args:
        claim: The claim.
        earlier: What is proved of its attempt.
        now: Wall-clock time in seconds.
        retention_seconds: How long keys are remembered at least.
    """
    if now - claim.created_at < retention_seconds:
        return False
    return earlier not in (EarlierAttempt.IN_PROGRESS, EarlierAttempt.UNKNOWN)
