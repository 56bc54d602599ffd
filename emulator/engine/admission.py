"""What an emulated engine refuses before it queues an attempt; nothing of it has run then."""

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
    """Refuse when the engine isn't the one that was meant, or takes no new work.

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
    """Refuse when other weights than the request's are loaded or under way.

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


def check_room(
    request: GenerateRequest, prompt: PreparedPrompt, waiting: int, config: EngineConfig
) -> None:
    """Refuse what can never fit, and what the queue has no room for.

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
