"""Prepares attempts: a slot at an engine, its incarnation, the claim, the preconditions."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import trio

from hopstep.domain.blocks import cache_salt
from hopstep.domain.claims import HeldClaim
from hopstep.domain.inference import InferenceRequest
from hopstep.domain.requests_in_force import (
    choose_kv_cache_store,
    may_take_attempt,
    request_in_force,
)
from hopstep.domain.routing.routing_table import RoutingTable
from hopstep.exceptions import DomainError, ErrorCode, ServiceError
from hopstep.ports.engine import EnginePort, GenerateRequest
from hopstep.services.claims import ClaimService
from hopstep.services.configuration.holder import ConfigurationHolder
from hopstep.services.engine_calls import probe_engine
from hopstep.services.requests.admission import AdmissionService
from hopstep.services.requests.attempt import Attempt
from hopstep.services.requests.engine_slots import EngineSlot, engine_priority

NONCE_BYTES = 16

MAX_PREPARATIONS = 3
"""Engines tried before a request is refused: some don't answer, or may no longer serve it."""


def new_nonce() -> str:
    """Return a nonce that no other attempt of any router has."""
    return secrets.token_hex(NONCE_BYTES)


class AttemptFactory:
    """Prepares the attempts of all requests.

    Args:
        port: Calls to engines, which are probed for an unknown incarnation.
        table: The router's view of engines.
        holder: Configuration in force.
        admission: Grants slots at engines.
        claims: At-most-once claims; None refuses requests that need one.
        make_nonce: Returns a new nonce.
    """

    def __init__(
        self,
        port: EnginePort,
        table: RoutingTable,
        holder: ConfigurationHolder,
        admission: AdmissionService,
        claims: ClaimService | None,
        make_nonce: Callable[[], str] = new_nonce,
    ) -> None:
        self.table = table
        self._port = port
        self._holder = holder
        self._admission = admission
        self._claims = claims
        self._make_nonce = make_nonce
        self._held_claims: dict[str, HeldClaim] = {}

    async def prepare(
        self,
        request: InferenceRequest,
        delivered: tuple[str, ...],
        tried: frozenset[str],
        further: bool,
    ) -> Attempt:
        """Wait for a slot, determine the incarnation, claim, and return an attempt to dispatch.

        Args:
            request: The request.
            delivered: Tokens that the caller has received.
            tried: Engines to avoid.
            further: Whether this isn't the first attempt.

        Raises:
            ServiceError: The request is refused, as not run by this attempt.
        """
        for _ in range(MAX_PREPARATIONS):
            revision = self._holder.revision
            slot = await self._admission.acquire(request, tried, further)
            try:
                incarnation = await self._incarnation(request, slot)
                if incarnation is not None:
                    attempt = self._assemble(request, slot, incarnation, delivered)
                    await self._claim(request, attempt)
                    if self._is_current(request, attempt, revision):
                        self.table.record_dispatch(attempt.nonce, slot.choice, trio.current_time())
                        return attempt
            except BaseException:
                slot.release()
                raise
            slot.release()
            tried |= {slot.choice.back_end.name}
        raise ServiceError(ErrorCode.ENGINE_UNREACHABLE, "no engine could be prepared")

    def prepare_hedge(self, request: InferenceRequest, tried: frozenset[str]) -> Attempt | None:
        """Return a second attempt at another engine with free capacity, or None."""
        try:
            slot = self._admission.try_acquire(request, tried)
        except ServiceError:
            return None
        if slot is None:
            return None
        attempt = self._assemble(request, slot, slot.choice.incarnation, ())
        self.table.record_dispatch(attempt.nonce, slot.choice, trio.current_time())
        return attempt

    async def _incarnation(self, request: InferenceRequest, slot: EngineSlot) -> str | None:
        """Return the engine's incarnation, empty where it may stay unknown.

        A request that must run at most once needs it; None when the engine doesn't answer.
        """
        known = slot.choice.incarnation
        if known or request.request_class.repeatable:
            return known
        address = slot.choice.back_end.address
        facts = await probe_engine(self._port, address)
        if facts is None:
            self.table.record_failure(address, trio.current_time())
            return None
        self.table.update_facts(address, facts, trio.current_time())
        return facts.incarnation

    def _assemble(
        self,
        request: InferenceRequest,
        slot: EngineSlot,
        incarnation: str,
        delivered: tuple[str, ...],
    ) -> Attempt:
        """Return an attempt with its preconditions, under the configuration in force."""
        index = self._holder.require_index()
        try:
            current = request_in_force(request, index)
        except DomainError as error:
            slot.release()
            raise ServiceError(error.code, error.message, field=error.field) from error
        weights = current.model.weights_version
        bound = slot.choice.relies_on_cache or not request.request_class.repeatable
        generate = GenerateRequest(
            nonce=self._make_nonce(),
            model=current.model.name,
            prompt=request.prompt,
            max_tokens=request.max_tokens - len(delivered),
            priority=engine_priority(current.request_class.priority, slot.yields),
            cache_salt=cache_salt(current.tenant.name, weights),
            weights_version=weights,
            incarnation=incarnation if bound else "",
            continued_text=delivered,
            kv_cache_store=choose_kv_cache_store(index, current, slot.choice.back_end),
        )
        return Attempt(generate, slot, incarnation, len(delivered), trio.current_time())

    async def _claim(self, request: InferenceRequest, attempt: Attempt) -> None:
        """Claim the idempotency key of a request that must run at most once.

        A claim of an earlier attempt is replaced only when that attempt is proved not to
        have run: ``decide_next`` never retries such a request otherwise.
        """
        if request.request_class.repeatable or not request.idempotency_key:
            return
        if self._claims is None:
            raise ServiceError(ErrorCode.CLAIMS_UNAVAILABLE, "this router can't hold claims")
        self._held_claims[request.request_id] = await self._claims.claim(
            request.tenant.name,
            request.idempotency_key,
            attempt.nonce,
            attempt.address,
            attempt.incarnation,
            self._held_claims.get(request.request_id),
        )

    def _is_current(self, request: InferenceRequest, attempt: Attempt, revision: int) -> bool:
        """Return whether placement still allows an attempt after the waits of its preparation.

        Args:
            request: The request.
            attempt: The prepared attempt.
            revision: Configuration revision before the preparation began.
        """
        return self._holder.revision == revision or may_take_attempt(
            request,
            self._holder.require_index(),
            attempt.engine_name,
            attempt.request.weights_version,
        )

    def record_overloaded(self, attempt: Attempt) -> None:
        """Reduce the load on an engine that refused an attempt, and back off as it asks."""
        self.table.record_backoff(attempt.address, attempt.retry_after_seconds, trio.current_time())
        self._admission.slots.record_overloaded(attempt.slot.choice.back_end)

    def forget(self, request: InferenceRequest) -> None:
        """Drop the held claim of a request that has ended."""
        self._held_claims.pop(request.request_id, None)
