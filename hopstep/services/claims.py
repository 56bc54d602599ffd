"""At-most-once claims on idempotency keys, held in the platform's key-value store.

A router claims a key before it dispatches the attempt, and dispatches only under the claimed
nonce, engine and incarnation (``GenerateRequest.incarnation`` must be set). Requests without
an idempotency key need no claim: only one router has them, and it dispatches them once.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from hopstep.clock import time_of_day_seconds
from hopstep.decoding import decode_json
from hopstep.domain.claims import (
    Claim,
    ClaimStep,
    EarlierAttempt,
    HeldClaim,
    claim_key,
    next_step,
)
from hopstep.domain.store_position import ABSENT, StorePosition
from hopstep.exceptions import (
    EngineError,
    ErrorCode,
    Execution,
    ServiceError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from hopstep.log_events.limits import (
    CLAIM_NOT_RELEASED,
    CLAIM_REFUSED,
    CLAIM_TAKEN_OVER,
    CLAIM_UNREADABLE,
    CLAIMS_UNAVAILABLE,
)
from hopstep.logs import emit
from hopstep.ports.engine import AttemptStatus, EnginePort
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue

DEFAULT_TIMEOUT_SECONDS = 3.0
"""Longest time for a claim, including all calls to the store and the engine."""

FENCE_TIMEOUT_SECONDS = 1.0
"""Longest wait for the engine of an earlier claim to fence its attempt."""

UNAVAILABLE_RETRY_SECONDS = 2.0
"""``Retry-After`` for a caller whose claim failed because of the store."""

CLAIMED_RETRY_SECONDS = 5.0
"""``Retry-After`` for a caller whose key has an earlier attempt that may be running."""

EARLIER_OF_STATUS = {
    AttemptStatus.NOT_SEEN: EarlierAttempt.NEVER_STARTS,
    AttemptStatus.QUEUED: EarlierAttempt.IN_PROGRESS,
    AttemptStatus.RUNNING: EarlierAttempt.IN_PROGRESS,
    AttemptStatus.FINISHED: EarlierAttempt.OVER,
    AttemptStatus.CANCELLED: EarlierAttempt.OVER,
}


class ClaimService:
    """Claims idempotency keys for one router.

    When the store is down every claim is refused at once as ``CLAIMS_UNAVAILABLE`` and not
    run; requests without an idempotency key are not affected.

    Args:
        store: Key-value store.
        engines: Calls to the engines that earlier claims name.
        router_name: Name of this router, written into claims for operators.
        wall_clock: Returns seconds since the epoch; only ages of claims depend on it.
        timeout_seconds: Longest time for a claim.
    """

    def __init__(
        self,
        store: KeyValueStorePort,
        engines: EnginePort,
        router_name: str,
        wall_clock: Callable[[], float] = time_of_day_seconds,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._store = store
        self._engines = engines
        self._router_name = router_name
        self._wall_clock = wall_clock
        self._timeout_seconds = timeout_seconds

    async def claim(
        self,
        tenant_name: str,
        idempotency_key: str,
        nonce: str,
        engine_address: str,
        engine_incarnation: str,
        replaces: HeldClaim | None = None,
    ) -> HeldClaim:
        """Claim a key for one attempt; on return, and only then, it may be dispatched.

        Args:
            tenant_name: Tenant that the key belongs to.
            idempotency_key: Key as the caller sent it; not empty.
            nonce: Nonce of the attempt to dispatch, used for no other claim.
            engine_address: Engine that the attempt will be sent to.
            engine_incarnation: Incarnation that the attempt will require; not empty.
            replaces: Claim of an earlier attempt of the same request, which is proved not
                to have run and which this router never sends again.

        Raises:
            ServiceError: ``CLAIMS_UNAVAILABLE`` and not run when the store gives no usable answer;
                ``ALREADY_CLAIMED`` with execution unknown when an earlier attempt of the key
                may have run.
        """
        if not engine_incarnation:
            raise _unavailable("the engine's incarnation isn't known yet")
        own = Claim(
            nonce, engine_address, engine_incarnation, self._router_name, self._wall_clock()
        )
        key = claim_key(tenant_name, idempotency_key)
        try:
            with trio.fail_after(self._timeout_seconds):
                return await self._claim(key, own, replaces.version if replaces else ABSENT)
        except (StoreError, trio.TooSlowError) as error:
            emit(CLAIMS_UNAVAILABLE, reason=type(error).__name__)
            raise _unavailable("the store of idempotency claims gave no answer") from error

    async def release(self, held: HeldClaim) -> None:
        """Delete a claim whose attempt is proved not run and is never sent again.

        Best effort: when the store is down the claim stays, and the next request with the key
        has the engine fence the attempt instead.
        """
        try:
            with trio.move_on_after(self._timeout_seconds):
                await self._store.delete(held.key, held.version)
        except StoreError as error:
            emit(CLAIM_NOT_RELEASED, reason=error.code.value)

    async def _claim(self, key: str, own: Claim, expected_version: StorePosition) -> HeldClaim:
        """Write the claim at the expected version, or take over the claim found in its place."""
        held = await self._swap(key, expected_version, own)
        if held is not None:
            return held
        found = await self._read(key)
        if found is None:
            # A stale answer, or a claim that was released in between: neither proves anything.
            raise _unavailable("the claim on this idempotency key changed meanwhile")
        earlier = EarlierAttempt.UNKNOWN
        if found.claim.nonce != own.nonce:
            earlier = await fence_claim(self._engines, found.claim)
        match next_step(found.claim, own.nonce, earlier, self._wall_clock()):
            case ClaimStep.DISPATCH:
                return found
            case ClaimStep.TAKE_OVER:
                return await self._take_over(found, own)
            case ClaimStep.REFUSE:
                raise _already_claimed(earlier)

    async def _take_over(self, found: HeldClaim, own: Claim) -> HeldClaim:
        """Replace a claim whose nonce is fenced, unless another router replaced it first."""
        held = await self._swap(found.key, found.version, own)
        if held is None:
            raise _already_claimed(EarlierAttempt.UNKNOWN)
        emit(CLAIM_TAKEN_OVER, earlier_router=found.claim.router)
        return held

    async def _swap(
        self, key: str, expected_version: StorePosition, own: Claim
    ) -> HeldClaim | None:
        """Write the claim; return None when the key has another version."""
        try:
            version = await self._store.compare_and_swap(
                key, expected_version, msgspec.json.encode(own)
            )
        except StoreOutcomeUnknownError:
            return await self._read_back(key, own)
        except StoreConflictError:
            return None
        return HeldClaim(key, version, own)

    async def _read_back(self, key: str, own: Claim) -> HeldClaim:
        """Return the router's own claim after the answer to its write was lost.

        Reading the own nonce proves that the write took effect, even when the answer is
        stale: a router that has replaced the claim since has fenced the nonce first. Any other
        value proves nothing, as the write may still arrive; it does no harm then, since its
        nonce is never sent.
        """
        found = await self._read(key)
        if found is None or found.claim.nonce != own.nonce:
            raise _unavailable("the answer to the claim was lost")
        return found

    async def _read(self, key: str) -> HeldClaim | None:
        """Return the claim in the store."""
        value = await self._store.get(key)
        return decode_claim(value) if value else None


def decode_claim(value: StoredValue) -> HeldClaim:
    """Return a claim as stored.

    Raises:
        ServiceError: ``ALREADY_CLAIMED`` when it can't be decoded: the key is claimed all the same.
    """
    try:
        claim = decode_json(value.value, Claim)
    except msgspec.DecodeError as error:
        emit(CLAIM_UNREADABLE, version=value.version.revision)
        raise _already_claimed(EarlierAttempt.UNKNOWN) from error
    return HeldClaim(value.key, value.version, claim)


async def fence_claim(engines: EnginePort, claim: Claim) -> EarlierAttempt:
    """Ask the engine to keep a claim's attempt from starting; return what its answer proves."""
    status = None
    try:
        with trio.move_on_after(FENCE_TIMEOUT_SECONDS):
            status = await engines.fence_nonce(
                claim.engine_address, claim.nonce, claim.engine_incarnation
            )
    except EngineError as error:
        if error.code is ErrorCode.PRECONDITION_FAILED:
            return EarlierAttempt.OTHER_INCARNATION
        return EarlierAttempt.UNKNOWN
    return EARLIER_OF_STATUS[status] if status else EarlierAttempt.UNKNOWN


def _unavailable(message: str) -> ServiceError:
    """Return the refusal of a request that was not dispatched."""
    return ServiceError(
        ErrorCode.CLAIMS_UNAVAILABLE, message, retry_after_seconds=UNAVAILABLE_RETRY_SECONDS
    )


def _already_claimed(earlier: EarlierAttempt) -> ServiceError:
    """Return the refusal of a key whose earlier attempt may have run."""
    emit(CLAIM_REFUSED, earlier=earlier.value)
    return ServiceError(
        ErrorCode.ALREADY_CLAIMED,
        f"an earlier request with this idempotency key is {earlier.value}",
        execution=Execution.UNKNOWN,
        retry_after_seconds=CLAIMED_RETRY_SECONDS,
    )
