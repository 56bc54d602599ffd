"""Admission checks of an emulated engine, made before an attempt is queued or run."""

from __future__ import annotations

from emulator.engine.attempts import PreparedPrompt
from emulator.engine.config import EngineConfig
from emulator.engine.refusal import refuse
from emulator.engine.weights import WeightsTable
from hopstep.domain.blocks import BLOCK_TOKENS
from hopstep.domain.engines import EngineRole
from hopstep.exceptions import ErrorCode
from hopstep.ports.engine import GenerateRequest


def check_state(
    request: GenerateRequest, incarnation: str, role: EngineRole, leaving: bool
) -> None:
    """Refuse if the request is for another incarnation or the engine accepts no new work.

    Raises:
        EngineRefusalError: With ``NOT_RUN``.
    """
    nonce = request.nonce
    if request.incarnation and request.incarnation != incarnation:
        raise refuse(ErrorCode.PRECONDITION_FAILED, "this is another incarnation", nonce=nonce)
    if leaving:
        raise refuse(ErrorCode.STOPPING, "the engine is leaving", nonce=nonce)
    if role is not EngineRole.SERVING:
        raise refuse(ErrorCode.NOT_READY, "the engine is on standby", nonce=nonce)


def check_weights(request: GenerateRequest, weights: WeightsTable, config: EngineConfig) -> None:
    """Refuse unless the weights that the request names are loaded.

    Raises:
        EngineRefusalError: With ``NOT_RUN``.
    """
    nonce = request.nonce
    if weights.loading(request.model):
        raise refuse(
            ErrorCode.NOT_READY,
            "weights are being loaded",
            nonce=nonce,
            retry_after_seconds=config.retry_after_seconds,
        )
    loaded = weights.loaded.get(request.model)
    if loaded is None:
        raise refuse(ErrorCode.UNKNOWN_MODEL, "the model isn't served here", nonce=nonce)
    if loaded != request.weights_version:
        raise refuse(ErrorCode.PRECONDITION_FAILED, "other weights are loaded", nonce=nonce)


def check_capacity(
    request: GenerateRequest, prompt: PreparedPrompt, waiting: int, config: EngineConfig
) -> None:
    """Refuse a request that can never fit in memory, or when the queue is full.

    Raises:
        EngineRefusalError: With ``NOT_RUN``.
    """
    blocks = -(-(prompt.token_count + request.max_tokens) // BLOCK_TOKENS)
    if blocks > config.block_count:
        raise refuse(ErrorCode.PROMPT_TOO_LONG, "the prompt doesn't fit", nonce=request.nonce)
    if waiting >= config.max_waiting_requests:
        raise refuse(
            ErrorCode.OVERLOADED,
            "the queue is full",
            nonce=request.nonce,
            retry_after_seconds=config.retry_after_seconds,
        )
