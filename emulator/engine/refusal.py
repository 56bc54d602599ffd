"""Refusals of the emulated engine."""

from __future__ import annotations

from hopstep.adapters.engine_messages import Refusal
from hopstep.exceptions import ErrorCode, Execution


class EngineRefusalError(Exception):
    """The engine refuses a call; ``refusal`` says why."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def refuse(
    code: ErrorCode,
    message: str,
    *,
    nonce: str = "",
    execution: Execution = Execution.NOT_RUN,
    retry_after_seconds: float = 0.0,
) -> EngineRefusalError:
    """Return the error to raise for a refusal."""
    return EngineRefusalError(Refusal(code, message, execution, nonce, retry_after_seconds))
