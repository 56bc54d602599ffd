"""At-most-once claims on idempotency keys: records and decisions, without I/O.

A claim names the only attempt of a key that may be dispatched: one nonce, at one engine, in one
incarnation. A claim never expires while its attempt could still start. Another router takes a
claim over only after the engine has promised never to start the earlier nonce, so the engine
refuses an earlier holder that resumes after a pause, whatever that holder's clock shows.
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
"""Age up to which a claim may be taken over; engines must remember nonces for longer than this plus
the clock skew between routers."""


class Claim(msgspec.Struct, frozen=True):
    """The attempt of an idempotency key that may be dispatched.

    Attributes:
        nonce: Nonce of the attempt.
        engine_address: ``ip:port`` of the only engine that it may be sent to.
        engine_incarnation: The only incarnation in which it may start.
        router: Name of the router that made the claim.
        created_at: Wall-clock time in seconds; it bounds how long the key is remembered and how
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
    """Proved state of the attempt that an existing claim names."""

    NEVER_STARTS = "never_starts"
    IN_PROGRESS = "in_progress"
    OVER = "over"
    OTHER_INCARNATION = "other_incarnation"
    UNKNOWN = "unknown"


class ClaimStep(enum.StrEnum):
    """What to do about an existing claim in the store."""

    DISPATCH = "dispatch"
    TAKE_OVER = "take_over"
    REFUSE = "refuse"


def claim_key(tenant_name: str, idempotency_key: str) -> str:
    """Return the store key of a claim, which reveals neither argument.

    Args:
        tenant_name: Tenant of the caller; equal keys of two tenants don't collide.
        idempotency_key: Key as the caller sent it.
    """
    text = f"{len(tenant_name)}:{tenant_name}:{idempotency_key}"
    return CLAIM_PREFIX + hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).hexdigest()


def next_step(found: Claim, own_nonce: str, earlier: EarlierAttempt, now: float) -> ClaimStep:
    """Return what a router does when its caller's key has a claim already.

    Args:
        found: The claim in the store.
        own_nonce: Nonce of the attempt that this router wants to dispatch.
        earlier: Proved state of the attempt that ``found`` names.
        now: Wall-clock time in seconds.
    """
    if found.nonce == own_nonce:
        return ClaimStep.DISPATCH
    # The engine may no longer remember the nonce of an older claim's attempt, which may have run.
    is_recent = abs(now - found.created_at) <= TAKE_OVER_SECONDS
    if earlier is EarlierAttempt.NEVER_STARTS and is_recent:
        return ClaimStep.TAKE_OVER
    return ClaimStep.REFUSE


def may_delete(claim: Claim, earlier: EarlierAttempt, now: float, retention_seconds: float) -> bool:
    """Return whether a claim may be deleted.

    A claim older than the retention is deleted once its nonce is proved never to start, so a wrong
    clock can't make the deletion unsafe. Age alone is no proof: a claim on an unresponsive engine
    stays until something answers at that address again.

    Args:
        claim: The claim.
        earlier: Proved state of its attempt.
        now: Wall-clock time in seconds.
        retention_seconds: Shortest time for which keys are remembered.
    """
    if now - claim.created_at < retention_seconds:
        return False
    return earlier not in (EarlierAttempt.IN_PROGRESS, EarlierAttempt.UNKNOWN)
